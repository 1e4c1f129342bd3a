package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/reelrun/reelrun/platform/standin"
)

// faults injects faults in series, some of them at the same time, and waits until
// all are over.
func (w *world) faults(random *rand.Rand, duration time.Duration) {
	var running sync.WaitGroup
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		inject := w.draw(random)
		running.Go(inject)
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
	}
	running.Wait()
	w.heal()
}

// newerFaults injects the faults that came later, beside the others and from numbers of their own:
// seeds that failed before still draw what they drew.
func (w *world) newerFaults(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		towardsTarget, towardsCaller := random.IntN(3) > 0, random.IntN(3) > 0
		n := w.nodes[random.IntN(len(w.nodes))]
		w.mu.Lock()
		b := w.backEnds[random.IntN(len(w.backEnds))]
		w.mu.Unlock()
		switch random.IntN(4) {
		case 0:
			n.store.silence(towardsTarget, towardsCaller)
		case 1:
			w.silenceBackEnds(b.proxy)
		case 2:
			w.silenceAll()
		default:
			w.configureWith(1000 + random.IntN(4000))
		}
		time.Sleep(time.Duration(300+random.IntN(1200)) * time.Millisecond)
	}
}

// silenceBackEnds has the open connections to some back ends fall silent.
func (w *world) silenceBackEnds(proxies ...*proxy) {
	w.troubled(time.Now(), time.Now().Add(silenceFelt))
	for _, p := range proxies {
		p.silence(true, true)
	}
}

// silenceAll has the open connections of all nodes to the store and to back ends fall silent.
func (w *world) silenceAll() {
	for _, n := range w.nodes {
		n.store.silence(true, true)
	}
	w.mu.Lock()
	var proxies []*proxy
	for _, b := range w.backEnds {
		proxies = append(proxies, b.proxy)
	}
	w.mu.Unlock()
	w.silenceBackEnds(proxies...)
}

// silenceFelt is how long requests may be under way on a connection that fell silent.
const silenceFelt = 6 * time.Second

// draw returns a fault with all its chances taken.
func (w *world) draw(random *rand.Rand) func() {
	n := w.nodes[random.IntN(len(w.nodes))]
	lasting := time.Duration(200+random.IntN(2300)) * time.Millisecond
	w.mu.Lock()
	b := w.backEnds[random.IntN(len(w.backEnds))]
	w.mu.Unlock()
	mode := []proxyMode{modeDelay, modeSilent, modeOneWay, modeRefuse}[random.IntN(4)]
	count := 1 + random.IntN(4)
	switch random.IntN(12) {
	case 0:
		return func() { w.freeze(n, lasting) }
	case 1:
		return func() { w.kill(n, lasting) }
	case 2:
		return func() { w.restart(n) }
	case 3:
		return func() { w.hangup(n) }
	case 4:
		return func() { w.hold(n.store, mode, lasting) }
	case 5:
		return func() { w.hold(b.proxy, mode, lasting) }
	case 6:
		return func() { b.proxy.reset() }
	case 7:
		return func() { w.deafStore(lasting) }
	case 8:
		return w.configure
	case 9:
		return func() { w.spoil(b, count) }
	case 10:
		return func() { w.spoil(b, count); n.store.reset() }
	default:
		return func() { w.replace(b) }
	}
}

func (w *world) freeze(n *node, lasting time.Duration) {
	end := w.disturb(n)
	w.signal(n, syscall.SIGSTOP)
	time.Sleep(lasting)
	w.signal(n, syscall.SIGCONT)
	end()
}

// signalsHandledAfter is how long after its start a process has its handlers of signals. Before
// that a signal has the kernel's default effect, whatever the program does.
const signalsHandledAfter = 100 * time.Millisecond

// hangup sends SIGHUP. It may reach a process that has only just begun, and end it: the platform
// starts a process again that ends, and so does the soak. Later it must not end one.
func (w *world) hangup(n *node) {
	end := w.disturb(n)
	w.mu.Lock()
	ended, started, process := n.ended, n.started, n.process
	w.mu.Unlock()
	sent := time.Now()
	w.signal(n, syscall.SIGHUP)
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
		w.t.Errorf("node %d was ended by a hangup %v after its start", n.index, sent.Sub(started))
	}
	w.startOnce(n, ended)
	end()
}

func (w *world) kill(n *node, lasting time.Duration) {
	end := w.disturb(n)
	w.mu.Lock()
	ended := n.ended
	w.mu.Unlock()
	w.signal(n, syscall.SIGCONT)
	w.signal(n, syscall.SIGKILL)
	<-ended
	time.Sleep(lasting)
	w.startOnce(n, ended)
	end()
}

// restart stops a node as planned: whatever it has taken must be answered.
func (w *world) restart(n *node) {
	w.mu.Lock()
	ended := n.ended
	w.mu.Unlock()
	w.signal(n, syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(12 * time.Second):
		// It was frozen meanwhile, or killed and started again.
		return
	}
	w.startOnce(n, ended)
}

// startOnce starts a node after a process has ended, unless another fault has.
func (w *world) startOnce(n *node, ended chan struct{}) {
	w.mu.Lock()
	isCurrent := n.ended == ended
	if isCurrent {
		n.ended = make(chan struct{})
	}
	w.mu.Unlock()
	if isCurrent {
		w.start(n)
	}
}

func (w *world) hold(p *proxy, mode proxyMode, lasting time.Duration) {
	w.troubled(time.Now(), time.Now().Add(lasting))
	p.set(mode)
	time.Sleep(lasting)
	p.set(modePass)
}

// deafStore has the store forget its watches and its history while things change.
func (w *world) deafStore(lasting time.Duration) {
	w.store.SetFaults(standin.StoreFaults{DropWatches: true, DropAnswers: 1})
	w.configure()
	time.Sleep(min(lasting, time.Second))
	w.store.Compact()
	w.store.SetFaults(standin.StoreFaults{})
}

// spoil has a back end fail in several ways.
func (w *world) spoil(b *backEnd, count int) {
	if b.engine != nil {
		b.engine.SetFaults(standin.EngineFaults{RefuseHandles: count, TruncateAfter: count, Truncations: count, FailPrefills: count, SilentPrefills: 1, LateOrders: 1})
		return
	}
	b.server.SetFaults(standin.ServerFaults{
		Fail: count, Reject: count, Unavailable: 1, Truncate: count, Drop: count, Misattribute: 1, Unsigned: 1, Silent: 1,
	})
}

// replace lets a back end leave and another one come.
func (w *world) replace(b *backEnd) {
	w.addBackEnd(b.service, b.stage)
	w.announce(b, "draining", b.stage)
	time.Sleep(2500 * time.Millisecond)
	w.store.Remove("servers", b.id)
}

// heal ends what has no end of its own.
func (w *world) heal() {
	w.store.SetFaults(standin.StoreFaults{})
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.backEnds {
		b.proxy.set(modePass)
		if b.engine != nil {
			b.engine.SetFaults(standin.EngineFaults{})
		} else {
			b.server.SetFaults(standin.ServerFaults{})
		}
	}
	for _, n := range w.nodes {
		n.store.set(modePass)
	}
}
