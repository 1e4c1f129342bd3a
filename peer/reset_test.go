package peer

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/peer/peerpb"
)

// TestResetUnusedLaneKeepsCallInProgress resets a lane during a call on it, and again after the call has
// ended.
func TestResetUnusedLaneKeepsCallInProgress(t *testing.T) {
	g := NewWithT(t)
	arrived, answer := make(chan struct{}), make(chan struct{})
	client, address := pair(t, func(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
		close(arrived)
		<-answer
		return echo(ctx, request)
	})
	ended := make(chan error, 1)
	go func() {
		_, err := client.CallOn(context.Background(), LaneBulk, address, fetchPart("x"))
		ended <- err
	}()
	<-arrived
	client.ResetUnusedLane(LaneBulk, address, time.Now())
	close(answer)
	g.Expect(<-ended).To(Succeed())
	g.Expect(client.lookup(sessionKey{address, LaneBulk})).NotTo(BeNil())
	client.ResetUnusedLane(LaneBulk, address, time.Now())
	g.Expect(client.lookup(sessionKey{address, LaneBulk})).To(BeNil())
}
