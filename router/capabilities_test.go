package router

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/quota"
	"github.com/reelrun/reelrun/replica"
)

// TestRolesRequireCapability checks which of three builds are eligible for each role: one that lists no
// capabilities, one that lacks a capability, and one with a capability that is unknown to this build.
func TestRolesRequireCapability(t *testing.T) {
	g := NewWithT(t)
	var nodes nodeList
	apply := func(name, spec string) {
		object := objectapi.Object{Kind: kindNode, Name: name, Spec: []byte(spec)}
		g.Expect(nodes.apply(replica.Record{Object: object})).To(Succeed())
	}
	apply("unlisted", `{"address":"10.0.0.1:80","zone":"a","started":7,"capacity":0.8}`)
	apply("lacking", `{"address":"10.0.0.2:80","zone":"a","started":7,"capacity":0.8,"abilities":["services","quotas"]}`)
	apply("later", `{"address":"10.0.0.3:80","zone":"a","started":7,"capacity":0.8,"abilities":["quarantines","of a later build"]}`)
	capable := func(scope string) []string {
		var names []string
		for _, name := range []string{"unlisted", "lacking", "later"} {
			node, _ := nodes.named(name)
			if node.hasCapability(capabilityFor(scope)) {
				names = append(names, name)
			}
		}
		return names
	}
	g.Expect(capable("any service")).To(Equal([]string{"unlisted", "lacking"}))
	g.Expect(capable(quota.Scope)).To(Equal([]string{"unlisted", "lacking"}))
	g.Expect(capable(quarantine.Scope)).To(Equal([]string{"unlisted", "later"}))
}
