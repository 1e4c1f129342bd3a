package periodic_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/periodic"
)

func TestRunCallsAtEachInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		periodic.Run(ctx, time.Second, func(context.Context) { calls++ })
		g.Expect(calls).To(Equal(3))
	})
}

func TestRunSkipsCallsThatFallDueDuringACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 9500*time.Millisecond)
		defer cancel()
		var starts []time.Duration
		periodic.Run(ctx, time.Second, func(context.Context) {
			starts = append(starts, time.Since(start))
			time.Sleep(2500 * time.Millisecond)
		})
		for i := 1; i < len(starts); i++ {
			g.Expect(starts[i] - starts[i-1]).To(BeNumerically(">=", 2500*time.Millisecond))
		}
		g.Expect(starts).To(HaveLen(4), "none after the context has ended")
	})
}

func TestRunNowCallsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		var starts []time.Duration
		work := func(context.Context) { starts = append(starts, time.Since(start)) }
		periodic.RunNow(ctx, time.Second, work)
		g.Expect(starts).To(Equal([]time.Duration{0, time.Second, 2 * time.Second}))
		periodic.RunNow(ctx, time.Second, work)
		g.Expect(starts).To(HaveLen(3), "none after the context has ended")
	})
}

// TestPauseEndsWithTheContext pauses for the whole duration, then until the context ends.
func TestPauseEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		g.Expect(periodic.Pause(t.Context(), time.Second)).To(Succeed())
		g.Expect(time.Since(start)).To(Equal(time.Second))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(periodic.Pause(ctx, time.Minute)).To(MatchError(context.DeadlineExceeded))
		g.Expect(time.Since(start)).To(Equal(2 * time.Second))
	})
}
