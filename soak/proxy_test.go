package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyMode is what a proxy does to the bytes of its connections.
type proxyMode int

// The modes of a proxy.
const (
	modePass proxyMode = iota
	// modeDelay delays all bytes by proxyDelay.
	modeDelay
	// modeHold holds back all bytes until the mode changes.
	modeHold
	// modeOneWay holds back only the bytes sent to the caller.
	modeOneWay
	// modeRefuse closes new connections at once.
	modeRefuse
)

// proxy forwards connections to a loopback address.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    proxyMode
	changed chan struct{}
	open    map[net.Conn]struct{}
	// directions has one entry for each open connection: its stalled directions.
	directions map[*stalledDirections]struct{}
	// interrupted are the times in which the proxy did not pass bytes at once, or refused connections.
	interrupted []interruption
	closed      bool
	done        sync.WaitGroup
}

// interruption is a time in which a proxy did not pass bytes at once, or refused connections. keepsOpen is set if the open
// connections passed all bytes, at once or after proxyDelay.
type interruption struct {
	disturbance
	keepsOpen bool
}

// stalledDirections records which directions of one connection are stalled.
type stalledDirections struct{ towardsTarget, towardsCaller atomic.Bool }

const proxyDelay = 150 * time.Millisecond

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), open: map[net.Conn]struct{}{}, directions: map[*stalledDirections]struct{}{}}
	p.done.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.done.Go(func() { p.serve(client) })
	}
}

func (p *proxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	if p.current() == modeRefuse {
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	stalled := &stalledDirections{}
	if !p.track(stalled, client, upstream) {
		return
	}
	defer p.untrack(stalled, client, upstream)
	var both sync.WaitGroup
	both.Go(func() { p.pass(upstream, client, &stalled.towardsTarget, false) })
	both.Go(func() { p.pass(client, upstream, &stalled.towardsCaller, true) })
	both.Wait()
}

// stall makes the open connections discard all bytes in the given directions, and no longer pass on that the other
// end was closed. New connections work.
func (p *proxy) stall(towardsTarget, towardsCaller bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordInstant()
	for stalled := range p.directions {
		stalled.towardsTarget.Store(stalled.towardsTarget.Load() || towardsTarget)
		stalled.towardsCaller.Store(stalled.towardsCaller.Load() || towardsCaller)
	}
}

// pass copies bytes in one direction, and closes both ends when one closes. The receiving end of a
// stalled direction is not closed.
func (p *proxy) pass(to, from net.Conn, stalled *atomic.Bool, towardsCaller bool) {
	defer func() {
		_ = from.Close()
		if !stalled.Load() {
			_ = to.Close()
		}
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.hold(towardsCaller) {
				return
			}
			if stalled.Load() {
				continue
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold blocks while the mode holds back the bytes of a direction. It returns false
// if the proxy is closed.
func (p *proxy) hold(towardsCaller bool) bool {
	for {
		p.mu.Lock()
		mode, changed, closed := p.mode, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case mode == modeDelay:
			time.Sleep(proxyDelay)
			return true
		case mode == modeHold || mode == modeOneWay && towardsCaller:
			<-changed
		default:
			return true
		}
	}
}

func (p *proxy) current() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordMode(mode)
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// recordInstant records that connections are closed or stalled now; the caller holds the lock.
func (p *proxy) recordInstant() {
	now := time.Now()
	p.interrupted = append(p.interrupted, interruption{disturbance: disturbance{from: now, to: now}})
}

// recordMode records the beginning or the end of a time in which connections are held; the caller holds the lock.
// Until the end is known, it is recorded as one hour from now.
func (p *proxy) recordMode(mode proxyMode) {
	now := time.Now()
	if p.mode != modePass {
		p.interrupted[len(p.interrupted)-1].to = now
	}
	if mode != modePass {
		p.interrupted = append(p.interrupted, interruption{disturbance{from: now, to: now.Add(time.Hour)}, mode == modeDelay || mode == modeRefuse})
	}
}

// interruptions returns the times in which the proxy did not pass bytes at once, or refused connections.
func (p *proxy) interruptions() []disturbance {
	return p.interruptionsWhere(func(interruption) bool { return true })
}

// breaks returns the times in which the proxy held, closed or stalled open connections.
func (p *proxy) breaks() []disturbance {
	return p.interruptionsWhere(func(i interruption) bool { return !i.keepsOpen })
}

func (p *proxy) interruptionsWhere(include func(interruption) bool) []disturbance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var included []disturbance
	for _, i := range p.interrupted {
		if include(i) {
			included = append(included, i.disturbance)
		}
	}
	return included
}

// reset resets all connections. None is closed before all are set to be reset: the end of one side closes the other.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordInstant()
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	for conn := range p.open {
		_ = conn.Close()
	}
}

func (p *proxy) track(stalled *stalledDirections, conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directions[stalled] = struct{}{}
	for _, conn := range conns {
		p.open[conn] = struct{}{}
	}
	return !p.closed
}

func (p *proxy) untrack(stalled *stalledDirections, conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.directions, stalled)
	for _, conn := range conns {
		delete(p.open, conn)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.set(modePass)
	p.reset()
	p.done.Wait()
}
