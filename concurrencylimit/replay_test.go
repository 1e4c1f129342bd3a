package concurrencylimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/concurrencylimit"
)

// machine is a model of a node's machine: its work is done in order, at a rate, and a request that has been admitted stays in progress for its
// backend's time and for the time that its work waits.
type machine struct {
	clock *fakeClock
	limit *concurrencylimit.Limit
	// workPerRequest is how long the machine works on a request, and backendTime how long a backend does.
	workPerRequest, backendTime time.Duration
	// backlog is the work that waits.
	backlog time.Duration
	// ends are the times at which the requests in progress end.
	ends []time.Time
	// admitted and inTime count requests; one is in time if it takes less than target.
	admitted, inTime int
	target           time.Duration
	// smallest is the smallest backlog since the last adjustment.
	smallest   time.Duration
	adjustedAt time.Time
}

const machineStep = time.Millisecond

// step lets a millisecond pass in which a number of requests arrive on new connections.
func (m *machine) step(arrivals int) {
	m.clock.advance(machineStep)
	now := m.clock.Now()
	m.backlog = max(0, m.backlog-machineStep)
	m.smallest = min(m.smallest, m.backlog)
	running := m.ends[:0]
	for _, end := range m.ends {
		if end.After(now) {
			running = append(running, end)
			continue
		}
		m.limit.Release()
	}
	m.ends = running
	for range arrivals {
		if m.limit.Full() || !m.limit.AdmitNew() {
			continue
		}
		m.backlog += m.workPerRequest
		took := m.backlog + m.backendTime
		m.ends = append(m.ends, now.Add(took))
		m.admitted++
		if took <= m.target {
			m.inTime++
		}
	}
	if now.Sub(m.adjustedAt) >= m.limit.Interval() {
		m.limit.Adjust(concurrencylimit.Delays{Processor: m.smallest})
		m.smallest, m.adjustedAt = m.backlog, now
	}
}

// TestFloodIsServedInTimeAsFarAsItIsRead replays a flood of new connections at a machine that can serve a fraction of them: what is read is
// answered in time, and the machine is used.
func TestFloodIsServedInTimeAsFarAsItIsRead(t *testing.T) {
	const (
		// capacity is what the machine can serve, a second, and seconds the duration of the flood.
		capacity = 100
		seconds  = 20
	)
	for _, overload := range []int{1, 2, 4, 10} {
		g := NewWithT(t)
		clock := newFakeClock()
		m := &machine{
			clock: clock, limit: concurrencylimit.NewLimit(clock.Now), adjustedAt: clock.Now(),
			workPerRequest: time.Second / capacity, backendTime: 100 * time.Millisecond, target: 500 * time.Millisecond,
		}
		arrived := 0
		for millisecond := range seconds * 1000 {
			due := millisecond * capacity * overload / 1000
			m.step(due - arrived)
			arrived = due
		}
		t.Logf("%d times the capacity: %d of %d in time", overload, m.inTime, m.admitted)
		g.Expect(float64(m.inTime)).To(BeNumerically(">=", 0.9*float64(m.admitted)), "%d times the capacity", overload)
		g.Expect(float64(m.inTime)).To(BeNumerically(">=", 0.6*capacity*seconds), "%d times the capacity", overload)
	}
}
