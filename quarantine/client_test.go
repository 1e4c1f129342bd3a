package quarantine

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// noCoordinator is a fleet in which no coordinator has been chosen.
type noCoordinator struct{}

func (noCoordinator) Coordinator(string) (string, bool) { return "", false }
func (noCoordinator) Own() string                       { return "own" }
func (noCoordinator) Answered(string)                   {}
func (noCoordinator) Missed(string, error)              {}

// TestClientEvidenceIsBounded has backends crash under more requests than the table holds, without a
// coordinator. It guards against evidence that is never removed after the table has evicted its request.
func TestClientEvidenceIsBounded(t *testing.T) {
	const beyond = 2000
	g := NewWithT(t)
	now := time.Duration(0)
	client := NewClient(ClientOptions{Coordinators: noCoordinator{}, Now: func() time.Duration { return now }})
	for number := range maxRequests + beyond {
		now += time.Millisecond
		client.Crashed(context.Background(), Crash{Request: Subject{Content: testRequest(number)}, Backend: "life"})
	}
	g.Expect(client.evidence).To(HaveLen(maxRequests))
	for number := range maxRequests + beyond {
		client.Answered(Subject{Content: testRequest(number)})
		client.Crashed(context.Background(), Crash{Request: Subject{Content: testRequest(number)}, Backend: "life"})
		client.Answered(Subject{Content: testRequest(number)})
	}
	g.Expect(len(client.answered)).To(BeNumerically("<=", maxRequests))
}

// crashUnderPart reports a crash of a backend under a request with these parts.
func (c *Client) crashUnderPart(backend string, parts ...string) {
	c.Crashed(context.Background(), Crash{
		Request: Subject{Content: testRequest(len(c.evidence)), Parts: NewParts("", parts)}, Backend: backend,
	})
}

// TestClientQuarantinesPartsWithoutCoordinator has a node decide by the crashes that it saw itself. A part that it has seen answered
// is no reason.
func TestClientQuarantinesPartsWithoutCoordinator(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	client := NewClient(ClientOptions{Coordinators: noCoordinator{}, Now: func() time.Duration { return now }})
	tick := func() {
		now += checkInterval
		client.expire()
	}
	client.Answered(Subject{Parts: NewParts("", []string{"first"})})
	for _, backend := range []string{"1", "2", "3"} {
		client.crashUnderPart(backend, "first", "cause")
		for range 4 {
			tick()
		}
	}
	status := client.Status(Subject{Parts: NewParts("", []string{"other", "cause"})})
	g.Expect(status.Quarantined).To(BeNumerically(">", suspectDuration))
	g.Expect(status.Record).To(Equal(groupName(testParts("cause"))))
	g.Expect(client.Status(Subject{Parts: NewParts("", []string{"first", "other"})}).Quarantined).To(BeZero())
}

// TestGroupCountsByItsUnansweredParts has a group of two parts, of which this node sees one answered: the other one must be the
// cause, so that requests with both are still rejected, and requests with the answered one are not.
func TestGroupCountsByItsUnansweredParts(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	client := NewClient(ClientOptions{Coordinators: noCoordinator{}, Now: func() time.Duration { return now }})
	client.Announced(Announcement{
		Request: testRequest(1), Parts: testParts("first", "cause"), Backends: []string{"1", "2", "3"}, Quarantined: time.Minute,
	})
	both, first := Subject{Parts: NewParts("", []string{"first", "cause"})}, Subject{Parts: NewParts("", []string{"first"})}
	g.Expect(client.Status(both).Quarantined).To(Equal(time.Minute))
	g.Expect(client.Status(first).Quarantined).To(BeZero(), "it lacks a part of the group")
	g.Expect(client.Status(Subject{Parts: NewParts("", []string{"first", "first"})}).Quarantined).To(BeZero(), "a repeated part counts once")
	client.Answered(first)
	g.Expect(client.Status(both).Quarantined).To(Equal(time.Minute))
	client.Answered(both)
	g.Expect(client.Status(both).Quarantined).To(BeZero())
}

// TestClientTellsCoordinatorOfAnswers has a coordinator suspect a part that this node has seen answered, and one that it sees
// answered later. The tenant whose request was answered is not rejected meanwhile.
func TestClientTellsCoordinatorOfAnswers(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	client := NewClient(ClientOptions{Coordinators: noCoordinator{}, Now: func() time.Duration { return now }})
	earlier, later := NewParts("tenant", []string{"earlier"}), NewParts("tenant", []string{"later"})
	client.Answered(Subject{Parts: earlier})
	now += time.Second
	client.Announced(Announcement{Request: testRequest(1), Parts: testParts("earlier"), Backends: []string{"1", "2", "3"}, Quarantined: time.Minute})
	client.Announced(Announcement{Request: testRequest(2), Parts: testParts("later"), Backends: []string{"1", "2", "3"}, Quarantined: time.Minute})
	g.Expect(client.Status(Subject{Parts: earlier}).Quarantined).To(BeZero())
	g.Expect(client.Status(Subject{Parts: NewParts("other", []string{"earlier"})}).Quarantined).To(Equal(time.Minute))
	g.Expect(client.Status(Subject{Parts: later}).Quarantined).To(Equal(time.Minute))
	client.Answered(Subject{Parts: later})
	unreported, due := client.unreported()
	g.Expect(due).To(BeTrue())
	g.Expect(unreported.answeredParts).To(ConsistOf(answeredPart{earlier[0], time.Minute}, answeredPart{later[0], now}))
	client.Announced(Announcement{Request: testRequest(2)})
	g.Expect(client.Status(Subject{Parts: NewParts("other", []string{"later"})}).Quarantined).To(BeZero(), "the record is revoked")
}
