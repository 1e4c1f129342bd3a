// Package eventqueue runs scheduled events in virtual time, for the discrete-event models.
// It is deterministic: events at the same time run in the order in which they were scheduled.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds the events of one simulation run. The zero value is empty and starts at time
// zero. It is not safe for concurrent use.
type Queue struct {
	now       time.Duration
	scheduled events
	lastOrder int
}

// Now returns the virtual time.
func (q *Queue) Now() time.Duration { return q.now }

// After schedules an event to run after a delay from the current virtual time.
func (q *Queue) After(delay time.Duration, run func()) {
	q.lastOrder++
	heap.Push(&q.scheduled, event{q.now + delay, q.lastOrder, run})
}

// RunUntil runs the events scheduled up to and including a time.
func (q *Queue) RunUntil(until time.Duration) {
	for len(q.scheduled) > 0 && q.scheduled[0].at <= until {
		q.runNext()
	}
}

// RunAll runs all events, including those that events schedule, until none is left.
func (q *Queue) RunAll() {
	for len(q.scheduled) > 0 {
		q.runNext()
	}
}

func (q *Queue) runNext() {
	next := heap.Pop(&q.scheduled).(event)
	q.now = next.at
	next.run()
}

// event is a function scheduled at a time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// events is a heap ordered by time, then by the order of scheduling.
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
