package router

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/replica"
)

// TestInvalidEntriesDescribeNoNode applies a valid entry, and then an invalid version of it.
func TestInvalidEntriesDescribeNoNode(t *testing.T) {
	g := NewWithT(t)
	var nodes nodeList
	entry := func(spec string) replica.Record {
		return replica.Record{Object: objectapi.Object{Kind: kindNode, Name: "n", Spec: []byte(spec)}}
	}
	valid := entry(`{"address":"10.0.0.1:80","zone":"a","started":7,"capacity":0.8,"linkBytes":1000}`)
	for _, invalid := range []string{
		``, `[]`, `null`, `{}`, `{"address":7}`, `{"address":"x","started":7}`, `{"address":"10.0.0.1:80","capacity":-1}`,
		`{"address":"10.0.0.1:80","started":"then"}`, "\xff",
	} {
		g.Expect(nodes.apply(valid)).To(Succeed())
		g.Expect(nodes.count()).To(Equal(1))
		g.Expect(nodes.apply(entry(invalid))).NotTo(Succeed(), invalid)
		g.Expect(nodes.count()).To(BeZero(), invalid)
	}
}
