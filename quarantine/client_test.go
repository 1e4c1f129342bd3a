package quarantine

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// noKeeper is a fleet in which nobody has been chosen for anything.
type noKeeper struct{}

func (noKeeper) Coordinator(string) (string, bool) { return "", false }
func (noKeeper) Own() string                       { return "own" }
func (noKeeper) Answered(string)                   {}
func (noKeeper) Missed(string, error)              {}

// TestANodeForgetsEvidenceWithItsTable has back ends end under more requests than are remembered, with
// nobody to tell. The evidence of those that the table had dropped was kept for ever.
func TestANodeForgetsEvidenceWithItsTable(t *testing.T) {
	const beyond = 2000
	g := NewWithT(t)
	now := time.Duration(0)
	client := NewClient(ClientOptions{Coordinators: noKeeper{}, Now: func() time.Duration { return now }})
	for number := range maxRequests + beyond {
		now += time.Millisecond
		client.Crashed(context.Background(), requestNumber(number), "life")
	}
	g.Expect(client.evidence).To(HaveLen(maxRequests))
	for number := range maxRequests + beyond {
		client.Answered(requestNumber(number))
		client.Crashed(context.Background(), requestNumber(number), "life")
		client.Answered(requestNumber(number))
	}
	g.Expect(len(client.answered)).To(BeNumerically("<=", maxRequests))
}
