package concurrencylimit_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/concurrencylimit"
)

// fakeTransmission is acknowledged at a time.
type fakeTransmission struct {
	at    time.Time
	lost  bool
	usual time.Duration
	node  string
}

func (f fakeTransmission) Acknowledged() (acknowledged, known bool) {
	return !f.lost && !time.Now().Before(f.at), !f.lost
}

func (f fakeTransmission) Usual() time.Duration { return f.usual }

func (f fakeTransmission) Node() string { return f.node }

// monitored is a limit with its monitor, whose observations a test provides.
type monitored struct {
	limit   *concurrencylimit.Limit
	monitor *concurrencylimit.Monitor
	// roundTrip is how long a round trip to another node takes; it usually takes a millisecond.
	roundTrip atomic.Int64
	// slowNode is the only node whose answers take that long; empty for all. trips counts round trips.
	slowNode string
	trips    atomic.Int64
	delays   atomic.Pointer[concurrencylimit.Delays]
}

// observe runs a function beside a monitor, whose limit is in use.
func observe(t *testing.T, test func(g *WithT, m *monitored)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := &monitored{limit: concurrencylimit.NewLimit(time.Now)}
		m.monitor = concurrencylimit.NewMonitor(concurrencylimit.Options{
			Limit:    m.limit,
			Adjusted: func(adjusted concurrencylimit.Adjustment) { m.delays.Store(&adjusted.Delays) },
			BeginRoundTrip: func() (concurrencylimit.RoundTrip, bool) {
				node := []string{"a", "b"}[m.trips.Add(1)%2]
				took := time.Duration(m.roundTrip.Load())
				if m.slowNode != "" && m.slowNode != node {
					took = time.Millisecond
				}
				return fakeTransmission{at: time.Now().Add(took), usual: time.Millisecond, node: node}, true
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			m.monitor.Run(ctx)
		}()
		defer func() {
			cancel()
			<-ended
		}()
		for range firstRequests {
			m.limit.Admit()
		}
		synctest.Wait()
		test(g, m)
	})
}

// send has transmissions to callers observed that take the given times, one after the other, for a while.
func (m *monitored) send(duration time.Duration, times ...time.Duration) {
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		if m.monitor.WantsTransmission() {
			m.monitor.AddTransmission(fakeTransmission{at: time.Now().Add(times[i%len(times)])})
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestDelayOfAllCallersCounts(t *testing.T) {
	observe(t, func(g *WithT, m *monitored) {
		m.send(time.Second, 5*time.Millisecond)
		m.send(time.Second, 60*time.Millisecond)
		g.Expect(m.delays.Load().Callers).To(BeNumerically("~", 55*time.Millisecond, 10*time.Millisecond))
	})
}

func TestDelayOfSomeCallersDoesNotCount(t *testing.T) {
	observe(t, func(g *WithT, m *monitored) {
		m.send(2*time.Second, 300*time.Millisecond, 5*time.Millisecond, 300*time.Millisecond)
		g.Expect(m.delays.Load().Callers).To(BeNumerically("<", 20*time.Millisecond))
	})
}

// TestDelayWithoutAcknowledgementsCounts has a link whose queue is longer than an interval.
func TestDelayWithoutAcknowledgementsCounts(t *testing.T) {
	observe(t, func(g *WithT, m *monitored) {
		m.send(time.Second, 5*time.Millisecond)
		m.send(900*time.Millisecond, 10*time.Second)
		g.Expect(m.delays.Load().Callers).To(BeNumerically(">", 20*time.Millisecond))
	})
}

func TestLostTransmissionsDoNotCount(t *testing.T) {
	observe(t, func(g *WithT, m *monitored) {
		for range 100 {
			if m.monitor.WantsTransmission() {
				m.monitor.AddTransmission(fakeTransmission{lost: true})
			}
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(m.delays.Load().Callers).To(BeZero())
	})
}

func TestDelayOfRoundTripsCounts(t *testing.T) {
	observe(t, func(g *WithT, m *monitored) {
		time.Sleep(time.Second)
		g.Expect(m.delays.Load().Nodes).To(BeNumerically("<", 20*time.Millisecond))
		before, _ := m.limit.State()
		g.Expect(before).To(BeZero())
		m.roundTrip.Store(int64(80 * time.Millisecond))
		time.Sleep(time.Second)
		g.Expect(m.delays.Load().Nodes).To(BeNumerically("~", 80*time.Millisecond, 10*time.Millisecond))
		after, _ := m.limit.State()
		g.Expect(after).To(BeNumerically("~", firstRequests/3, firstRequests/10))
	})
}

// TestIdleNodeObservesNothing checks that a node with few requests in progress pays nothing for the limit.
func TestIdleNodeObservesNothing(t *testing.T) {
	observe(t, func(g *WithT, m *monitored) {
		_, inProgress := m.limit.State()
		for range inProgress {
			m.limit.Release()
		}
		time.Sleep(time.Second)
		m.delays.Store(nil)
		g.Expect(m.monitor.WantsTransmission()).To(BeFalse())
		time.Sleep(time.Second)
		g.Expect(m.delays.Load()).To(BeNil())
	})
}

// TestDelayOfOneNodeDoesNotCount guards against a starved node that slows down the others.
func TestDelayOfOneNodeDoesNotCount(t *testing.T) {
	observe(t, func(g *WithT, m *monitored) {
		m.slowNode = "a"
		m.roundTrip.Store(int64(time.Second))
		time.Sleep(time.Second)
		g.Expect(m.delays.Load().Nodes).To(BeNumerically("<", 20*time.Millisecond))
	})
}
