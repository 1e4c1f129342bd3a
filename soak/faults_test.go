package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/reelrun/reelrun/platform/standin"
)

// injectFaults starts faults one after the other, so that some overlap, and waits until
// all have ended.
func (h *harness) injectFaults(random *rand.Rand, duration time.Duration) {
	var running sync.WaitGroup
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		inject := h.drawFault(random)
		running.Go(inject)
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
	}
	running.Wait()
	h.clearFaults()
}

// injectStallFaults stalls connections and stores large configurations, in parallel with the other faults. It
// has its own random stream, so that seeds that failed before it was added still draw the same faults.
func (h *harness) injectStallFaults(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		towardsTarget, towardsCaller := random.IntN(3) > 0, random.IntN(3) > 0
		n := h.nodes[random.IntN(len(h.nodes))]
		h.mu.Lock()
		b := h.backends[random.IntN(len(h.backends))]
		h.mu.Unlock()
		switch random.IntN(4) {
		case 0:
			n.store.stall(towardsTarget, towardsCaller)
		case 1:
			h.stallBackends(b.proxy)
		case 2:
			h.stallAll()
		default:
			h.configureWith(1000 + random.IntN(4000))
		}
		time.Sleep(time.Duration(300+random.IntN(1200)) * time.Millisecond)
	}
}

// stallBackends stalls the open connections to some backends.
func (h *harness) stallBackends(proxies ...*proxy) {
	h.recordInterruption(time.Now(), time.Now().Add(stalledRequestTime))
	for _, p := range proxies {
		p.stall(true, true)
	}
}

// stallAll stalls the open connections of all nodes to the store and to backends.
func (h *harness) stallAll() {
	for _, n := range h.nodes {
		n.store.stall(true, true)
	}
	h.mu.Lock()
	var proxies []*proxy
	for _, b := range h.backends {
		proxies = append(proxies, b.proxy)
	}
	h.mu.Unlock()
	h.stallBackends(proxies...)
}

// stalledRequestTime is how long requests may stay in progress on a stalled connection.
const stalledRequestTime = 6 * time.Second

// drawFault returns a fault with all random values already drawn.
func (h *harness) drawFault(random *rand.Rand) func() {
	n := h.nodes[random.IntN(len(h.nodes))]
	faultDuration := time.Duration(200+random.IntN(2300)) * time.Millisecond
	h.mu.Lock()
	b := h.backends[random.IntN(len(h.backends))]
	h.mu.Unlock()
	mode := []proxyMode{modeDelay, modeHold, modeOneWay, modeRefuse}[random.IntN(4)]
	count := 1 + random.IntN(4)
	switch random.IntN(12) {
	case 0:
		return func() { h.freeze(n, faultDuration) }
	case 1:
		return func() { h.kill(n, faultDuration) }
	case 2:
		return func() { h.restart(n) }
	case 3:
		return func() { h.hangup(n) }
	case 4:
		return func() { h.interruptConnections(n.store, mode, faultDuration) }
	case 5:
		return func() { h.interruptConnections(b.proxy, mode, faultDuration) }
	case 6:
		return func() { b.proxy.reset() }
	case 7:
		return func() { h.dropWatches(faultDuration) }
	case 8:
		return h.configure
	case 9:
		return func() { h.failRequests(b, count) }
	case 10:
		return func() { h.failRequests(b, count); n.store.reset() }
	default:
		return func() { h.replaceBackend(b) }
	}
}

func (h *harness) freeze(n *node, faultDuration time.Duration) {
	end := h.recordDisturbance(n)
	h.signal(n, syscall.SIGSTOP)
	time.Sleep(faultDuration)
	h.signal(n, syscall.SIGCONT)
	end()
}

// signalsHandledAfter is how long after its start a process has installed its signal handlers. Until
// then, a signal has the kernel's default effect, whatever the program does.
const signalsHandledAfter = 100 * time.Millisecond

// hangup sends SIGHUP. It may hit a process that has only just started, and terminate it: the platform
// restarts a process that ends, and so does this test. Later it must not terminate a process.
func (h *harness) hangup(n *node) {
	end := h.recordDisturbance(n)
	h.mu.Lock()
	ended, started, process := n.ended, n.started, n.process
	h.mu.Unlock()
	sent := time.Now()
	h.signal(n, syscall.SIGHUP)
	select {
	case <-ended:
	case <-time.After(signalsHandledAfter):
		return
	}
	status, known := process.ProcessState.Sys().(syscall.WaitStatus)
	if !known || !status.Signaled() || status.Signal() != syscall.SIGHUP {
		return
	}
	if sent.Sub(started) > signalsHandledAfter {
		h.t.Errorf("node %d was terminated by SIGHUP %v after its start", n.index, sent.Sub(started))
	}
	h.startOnce(n, ended)
	end()
}

func (h *harness) kill(n *node, faultDuration time.Duration) {
	end := h.recordDisturbance(n)
	h.mu.Lock()
	ended := n.ended
	h.mu.Unlock()
	h.signal(n, syscall.SIGCONT)
	h.signal(n, syscall.SIGKILL)
	<-ended
	time.Sleep(faultDuration)
	h.startOnce(n, ended)
	end()
}

// restart performs a planned stop of a node, which must answer all requests it has accepted, and starts it again.
func (h *harness) restart(n *node) {
	h.mu.Lock()
	ended := n.ended
	h.mu.Unlock()
	h.signal(n, syscall.SIGTERM)
	defer h.recordLateStop(n, time.Now())
	select {
	case <-ended:
	case <-time.After(12 * time.Second):
		// It was frozen in the meantime, or killed and started again.
		return
	}
	h.startOnce(n, ended)
}

// recordLateStop records a planned stop that lasts until now if it has reached the last part of the grace period.
func (h *harness) recordLateStop(n *node, began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	late := disturbance{node: n.index, from: began.Add(lateStop), to: time.Now(), sentBy: began.Add(sentAfterStop)}
	if late.to.After(late.from) {
		h.lateStops = append(h.lateStops, late)
	}
}

// startOnce starts a node after a process has ended, unless another fault has done so.
func (h *harness) startOnce(n *node, ended chan struct{}) {
	h.mu.Lock()
	isCurrent := n.ended == ended
	if isCurrent {
		n.ended = make(chan struct{})
	}
	h.mu.Unlock()
	if isCurrent {
		h.start(n)
	}
}

// interruptConnections sets the mode of a proxy for a time.
func (h *harness) interruptConnections(p *proxy, mode proxyMode, faultDuration time.Duration) {
	h.recordInterruption(time.Now(), time.Now().Add(faultDuration))
	p.set(mode)
	time.Sleep(faultDuration)
	p.set(modePass)
}

// dropWatches has the store drop its watches and discard its history while the configuration changes.
func (h *harness) dropWatches(faultDuration time.Duration) {
	h.store.SetFaults(standin.StoreFaults{DropWatches: true, DropResponses: 1})
	h.configure()
	time.Sleep(min(faultDuration, time.Second))
	h.store.Compact()
	h.store.SetFaults(standin.StoreFaults{})
}

// failRequests has a backend fail in several ways.
func (h *harness) failRequests(b *backend, count int) {
	if b.engine != nil {
		b.engine.SetFaults(standin.EngineFaults{RejectHandles: count, TruncateAfter: count, Truncations: count, FailPrefills: count, UnresponsivePrefills: 1, LateOrders: 1})
		return
	}
	b.server.SetFaults(standin.ServerFaults{
		Fail: count, Reject: count, Unavailable: 1, Truncate: count, DropResponses: count, Misattribute: 1, Unsigned: 1, Unresponsive: 1,
	})
}

// replaceBackend adds a backend and drains and removes another one.
func (h *harness) replaceBackend(b *backend) {
	h.addBackend(b.service, b.stage)
	h.announce(b, "draining", b.stage)
	time.Sleep(2500 * time.Millisecond)
	h.store.Remove("servers", b.id)
}

// clearFaults removes the faults that are still set at the store, the backends and the proxies.
func (h *harness) clearFaults() {
	h.store.SetFaults(standin.StoreFaults{})
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.backends {
		b.proxy.set(modePass)
		if b.engine != nil {
			b.engine.SetFaults(standin.EngineFaults{})
		} else {
			b.server.SetFaults(standin.ServerFaults{})
		}
	}
	for _, n := range h.nodes {
		n.store.set(modePass)
	}
}
