// Package eventqueue plays planned events in virtual time, for the emulator's models. It is
// deterministic: events of one time run in the order in which they were planned.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds the events of one run. The zero value stands at time zero. It is not safe for
// concurrent use.
type Queue struct {
	now     time.Duration
	planned events
	count   int
}

// Now returns the virtual time.
func (q *Queue) Now() time.Duration { return q.now }

// After plans an event.
func (q *Queue) After(delay time.Duration, run func()) {
	q.count++
	heap.Push(&q.planned, event{q.now + delay, q.count, run})
}

// RunUntil runs the events that are planned up to a time.
func (q *Queue) RunUntil(until time.Duration) {
	for len(q.planned) > 0 && q.planned[0].at <= until {
		q.next()
	}
}

// RunAll runs all events, those included that others plan.
func (q *Queue) RunAll() {
	for len(q.planned) > 0 {
		q.next()
	}
}

func (q *Queue) next() {
	next := heap.Pop(&q.planned).(event)
	q.now = next.at
	next.run()
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// events orders events by time, then by when they were planned.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(value any) { *e = append(*e, value.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	removed := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return removed
}
