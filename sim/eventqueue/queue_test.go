package eventqueue_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/sim/eventqueue"
)

// TestOrder plans events by chance, some of them by others, and wants each to run once, at
// its time, those of one time in the order in which they were planned.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue eventqueue.Queue
		type seen struct {
			at    time.Duration
			order int
		}
		var ran []seen
		planned := 0
		var plan func(deep bool)
		plan = func(deep bool) {
			delay := time.Duration(rapid.IntRange(0, 3).Draw(t, "delay"))
			at, order := queue.Now()+delay, planned
			planned++
			queue.After(delay, func() {
				if queue.Now() != at {
					t.Fatalf("event of %v ran at %v", at, queue.Now())
				}
				ran = append(ran, seen{at, order})
				if deep {
					plan(false)
				}
			})
		}
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			plan(rapid.Bool().Draw(t, "plans another"))
		}
		queue.RunUntil(2)
		if slices.ContainsFunc(ran, func(s seen) bool { return s.at > 2 }) {
			t.Fatal("an event ran after the end")
		}
		queue.RunAll()
		if len(ran) != planned {
			t.Fatalf("%d of %d events ran", len(ran), planned)
		}
		sorted := slices.IsSortedFunc(ran, func(a, b seen) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.order - b.order
		})
		if !sorted {
			t.Fatalf("out of order: %v", ran)
		}
	})
}
