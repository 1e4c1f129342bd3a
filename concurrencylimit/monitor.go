package concurrencylimit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/reelrun/reelrun/periodic"
)

const (
	// sampleInterval is the interval at which delays are observed while there are requests to observe.
	sampleInterval = 10 * time.Millisecond
	// maxTransmissions is the number of transmissions of a kind that are observed at a time. Each is observed for an interval at most, so that
	// callers that are slow or out of reach leave places to others.
	maxTransmissions = 6
	// callerSilence is how long no caller must have answered for that to show a queue.
	callerSilence = 2 * interval
	// minNodes is the number of nodes whose answers must be late for the own link to be the cause.
	minNodes = 2
	// roundTripInterval is the interval between round trips to other nodes.
	roundTripInterval = 50 * time.Millisecond
)

// Transmission is bytes that were sent, and that their receiver acknowledges or answers at once.
type Transmission interface {
	// Acknowledged reports whether that has happened, and false for known if it cannot be found out any more.
	Acknowledged() (acknowledged, known bool)
}

// RoundTrip is a transmission to another node whose usual time is known.
type RoundTrip interface {
	Transmission
	Usual() time.Duration
	// Node identifies the other node.
	Node() string
}

// Adjustment is an adjustment of the limit.
type Adjustment struct {
	At     time.Time
	Delays Delays
}

// Options configure a Monitor.
type Options struct {
	Limit *Limit
	// Adjusted is called after each adjustment. It must not block.
	Adjusted func(Adjustment)
	// BeginRoundTrip sends something to another node. It reports false if there is none.
	BeginRoundTrip func() (RoundTrip, bool)
}

// Monitor observes the delays of a process and adjusts a limit. It is safe for concurrent use.
type Monitor struct {
	options Options
	// wanted is the number of transmissions to callers that may be added.
	wanted atomic.Int32

	mu sync.Mutex
	// toCallers and toNodes are the transmissions that have not been acknowledged.
	toCallers, toNodes []sent
	// callerAnsweredAt is when one to a caller was acknowledged last, or when observing began.
	callerAnsweredAt time.Time
	// usual is how long transmissions to callers take without a queue.
	usual usualDelay
}

// sent is a transmission and the time of its begin.
type sent struct {
	transmission Transmission
	at           time.Time
}

// NewMonitor returns a monitor that adjusts a limit while it runs.
func NewMonitor(options Options) *Monitor { return &Monitor{options: options} }

// WantsTransmission reports whether a transmission to a caller is to be observed.
func (m *Monitor) WantsTransmission() bool { return m.wanted.Load() > 0 }

// AddTransmission has a transmission to a caller observed that begins now.
func (m *Monitor) AddTransmission(transmission Transmission) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.toCallers) >= maxTransmissions {
		return
	}
	m.toCallers = append(m.toCallers, sent{transmission, time.Now()})
	m.want()
}

// want publishes how many transmissions to callers may be added; the lock is held.
func (m *Monitor) want() { m.wanted.Store(int32(maxTransmissions - len(m.toCallers))) }

// Run observes until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.options.Limit.Observed():
			m.observe(ctx)
		}
	}
}

// observe observes until the limit does not need it any more.
func (m *Monitor) observe(ctx context.Context) {
	m.begin()
	defer m.stop()
	for {
		delays, err := m.observeInterval(ctx)
		if err != nil {
			return
		}
		goesOn := m.options.Limit.Adjust(delays)
		m.options.Adjusted(Adjustment{At: time.Now(), Delays: delays})
		if !goesOn {
			return
		}
	}
}

// begin asks for transmissions.
func (m *Monitor) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callerAnsweredAt = time.Now()
	m.want()
}

// stop forgets all transmissions.
func (m *Monitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted.Store(0)
	m.toCallers, m.toNodes = nil, nil
}

// observations holds the smallest delays of one interval.
type observations struct {
	processor, callers smallest
	nodes              map[string]*smallest
}

// addNode adds the delay of a round trip to a node.
func (o *observations) addNode(node string, delay time.Duration) {
	if o.nodes[node] == nil {
		o.nodes[node] = &smallest{}
	}
	o.nodes[node].add(delay)
}

// nodesDelay returns the smallest delay of round trips to several nodes. That of a single node may be its own.
func (o *observations) nodesDelay() time.Duration {
	if len(o.nodes) < minNodes {
		return 0
	}
	var all smallest
	for _, delays := range o.nodes {
		all.add(delays.value())
	}
	return all.value()
}

// observeInterval returns the smallest delays of one interval.
func (m *Monitor) observeInterval(ctx context.Context) (Delays, error) {
	observed := observations{nodes: map[string]*smallest{}}
	begins := time.Now()
	for ends, nextTrip := begins.Add(m.options.Limit.Interval()), begins; time.Now().Before(ends); {
		if !time.Now().Before(nextTrip) {
			m.beginRoundTrip()
			nextTrip = time.Now().Add(roundTripInterval)
		}
		due := time.Now().Add(sampleInterval)
		if err := periodic.Pause(ctx, sampleInterval); err != nil {
			return Delays{}, err
		}
		now := time.Now()
		observed.processor.add(now.Sub(due))
		m.collect(now, &observed)
	}
	m.addPending(&observed)
	return Delays{Processor: observed.processor.value(), Callers: observed.callers.value(), Nodes: observed.nodesDelay()}, nil
}

// beginRoundTrip sends something to another node, unless too many transmissions are outstanding.
func (m *Monitor) beginRoundTrip() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.toNodes) >= maxTransmissions {
		return
	}
	if trip, ok := m.options.BeginRoundTrip(); ok {
		m.toNodes = append(m.toNodes, sent{trip, time.Now()})
	}
}

// collect adds the delays of the transmissions that have been acknowledged.
func (m *Monitor) collect(now time.Time, observed *observations) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.toCallers = collect(m.toCallers, now, func(_ Transmission, took time.Duration) {
		m.callerAnsweredAt = now
		m.usual.add(now, took)
		observed.callers.add(took - m.usual.value())
	})
	m.toNodes = collect(m.toNodes, now, func(transmission Transmission, took time.Duration) {
		trip := roundTrip(transmission)
		observed.addNode(trip.Node(), took-trip.Usual())
	})
	m.want()
}

func roundTrip(transmission Transmission) RoundTrip {
	return transmission.(RoundTrip) //nolint:forcetypeassert // only round trips are added to toNodes
}

// collect passes on the times of the transmissions that have been acknowledged, and returns those that still may be.
func collect(transmissions []sent, now time.Time, acknowledge func(transmission Transmission, took time.Duration)) []sent {
	pending := transmissions[:0]
	for _, t := range transmissions {
		acknowledged, known := t.transmission.Acknowledged()
		took := now.Sub(t.at)
		switch {
		case acknowledged:
			acknowledge(t.transmission, took)
		case known && took < interval:
			pending = append(pending, t)
		}
	}
	return pending
}

// addPending adds the time that transmissions have taken so far if none has been acknowledged. For callers that must have been so for
// callerSilence: all observed ones may be slow by chance.
func (m *Monitor) addPending(observed *observations) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if observed.callers.isEmpty() && time.Since(m.callerAnsweredAt) >= callerSilence {
		for _, t := range m.toCallers {
			observed.callers.add(time.Since(t.at) - m.usual.value())
		}
	}
	for _, t := range m.toNodes {
		trip := roundTrip(t.transmission)
		if observed.nodes[trip.Node()] == nil {
			observed.addNode(trip.Node(), time.Since(t.at)-trip.Usual())
		}
	}
}
