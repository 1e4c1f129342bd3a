package router

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/quota"
	"github.com/reelrun/reelrun/replica"
)

// TestRolesGoToNodesThatKnowThem takes nodes of three builds: one that lists nothing, one that lacks a
// role, and one with abilities that this build has not heard of.
func TestRolesGoToNodesThatKnowThem(t *testing.T) {
	g := NewWithT(t)
	var nodes nodeList
	take := func(name, spec string) {
		object := objectapi.Object{Kind: kindNode, Name: name, Spec: []byte(spec)}
		g.Expect(nodes.take(replica.Record{Object: object})).To(Succeed())
	}
	take("unlisted", `{"address":"10.0.0.1:80","zone":"a","started":7,"capacity":0.8}`)
	take("lacking", `{"address":"10.0.0.2:80","zone":"a","started":7,"capacity":0.8,"abilities":["services","quotas"]}`)
	take("later", `{"address":"10.0.0.3:80","zone":"a","started":7,"capacity":0.8,"abilities":["quarantines","of a later build"]}`)
	able := func(scope string) []string {
		var names []string
		for _, name := range []string{"unlisted", "lacking", "later"} {
			node, _ := nodes.named(name)
			if node.isAble(abilityFor(scope)) {
				names = append(names, name)
			}
		}
		return names
	}
	g.Expect(able("any service")).To(Equal([]string{"unlisted", "lacking"}))
	g.Expect(able(quota.Scope)).To(Equal([]string{"unlisted", "lacking"}))
	g.Expect(able(quarantine.Scope)).To(Equal([]string{"unlisted", "later"}))
}
