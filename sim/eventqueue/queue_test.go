package eventqueue_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/sim/eventqueue"
)

// TestOrder schedules random events, some of them from within other events, and checks that
// each runs exactly once, at its time, and that events at the same time run in the order in
// which they were scheduled.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue eventqueue.Queue
		type execution struct {
			at    time.Duration
			order int
		}
		var ran []execution
		scheduled := 0
		var schedule func(nested bool)
		schedule = func(nested bool) {
			delay := time.Duration(rapid.IntRange(0, 3).Draw(t, "delay"))
			at, order := queue.Now()+delay, scheduled
			scheduled++
			queue.After(delay, func() {
				if queue.Now() != at {
					t.Fatalf("event scheduled for %v ran at %v", at, queue.Now())
				}
				ran = append(ran, execution{at, order})
				if nested {
					schedule(false)
				}
			})
		}
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			schedule(rapid.Bool().Draw(t, "plans another"))
		}
		queue.RunUntil(2)
		if slices.ContainsFunc(ran, func(s execution) bool { return s.at > 2 }) {
			t.Fatal("RunUntil ran an event beyond its end")
		}
		queue.RunAll()
		if len(ran) != scheduled {
			t.Fatalf("%d of %d events ran", len(ran), scheduled)
		}
		sorted := slices.IsSortedFunc(ran, func(a, b execution) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.order - b.order
		})
		if !sorted {
			t.Fatalf("events ran out of order: %v", ran)
		}
	})
}
