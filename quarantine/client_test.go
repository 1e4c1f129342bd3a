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
		client.Crashed(context.Background(), testRequest(number), "life")
	}
	g.Expect(client.evidence).To(HaveLen(maxRequests))
	for number := range maxRequests + beyond {
		client.Answered(testRequest(number))
		client.Crashed(context.Background(), testRequest(number), "life")
		client.Answered(testRequest(number))
	}
	g.Expect(len(client.answered)).To(BeNumerically("<=", maxRequests))
}
