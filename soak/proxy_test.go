package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyMode is what a proxy does to the bytes of its connections.
type proxyMode int

// The modes.
const (
	modePass proxyMode = iota
	// modeDelay holds all bytes back for a while.
	modeDelay
	// modeSilent holds all bytes back until the mode changes.
	modeSilent
	// modeOneWay holds the bytes towards the caller back.
	modeOneWay
	// modeRefuse closes new connections.
	modeRefuse
)

// proxy passes connections on to an address of loopback.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    proxyMode
	changed chan struct{}
	open    map[net.Conn]struct{}
	// muted holds what is silent of each connection that is open.
	muted map[*mute]struct{}
	// troubles are the times in which it held, cut or silenced connections.
	troubles []disturbance
	closed   bool
	done     sync.WaitGroup
}

// mute records which directions of one connection carry nothing any more.
type mute struct{ towardsTarget, towardsCaller atomic.Bool }

const proxyDelay = 150 * time.Millisecond

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), open: map[net.Conn]struct{}{}, muted: map[*mute]struct{}{}}
	p.done.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.done.Go(func() { p.serve(near) })
	}
}

func (p *proxy) serve(near net.Conn) {
	defer func() { _ = near.Close() }()
	if p.current() == modeRefuse {
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	silent := &mute{}
	if !p.track(silent, near, far) {
		return
	}
	defer p.untrack(silent, near, far)
	var both sync.WaitGroup
	both.Go(func() { p.pass(far, near, &silent.towardsTarget, false) })
	both.Go(func() { p.pass(near, far, &silent.towardsCaller, true) })
	both.Wait()
}

// silence lets the connections that are open now carry nothing any more, neither bytes nor their
// end. New ones work.
func (p *proxy) silence(towardsTarget, towardsCaller bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteCut()
	for silent := range p.muted {
		silent.towardsTarget.Store(silent.towardsTarget.Load() || towardsTarget)
		silent.towardsCaller.Store(silent.towardsCaller.Load() || towardsCaller)
	}
}

// pass copies bytes in one direction, and closes both ends when one does. Of a silent direction
// the other end hears nothing.
func (p *proxy) pass(to, from net.Conn, silent *atomic.Bool, towardsCaller bool) {
	defer func() {
		_ = from.Close()
		if !silent.Load() {
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
			if silent.Load() {
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

// hold waits while the mode holds bytes of a direction back. It reports false
// where the proxy is closed.
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
		case mode == modeSilent || mode == modeOneWay && towardsCaller:
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
	p.noteMode(mode)
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// noteCut notes that connections are cut or silenced now; the lock is held.
func (p *proxy) noteCut() {
	now := time.Now()
	p.troubles = append(p.troubles, disturbance{from: now, to: now})
}

// noteMode notes the beginning or the end of a time in which connections are held; the lock is held.
// One that has not ended lasts for ever.
func (p *proxy) noteMode(mode proxyMode) {
	now := time.Now()
	if p.mode != modePass {
		p.troubles[len(p.troubles)-1].to = now
	}
	if mode != modePass {
		p.troubles = append(p.troubles, disturbance{from: now, to: now.Add(time.Hour)})
	}
}

// troubled returns the times in which it held, cut or silenced connections.
func (p *proxy) troubled() []disturbance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]disturbance(nil), p.troubles...)
}

// reset closes all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteCut()
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) track(silent *mute, conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted[silent] = struct{}{}
	for _, conn := range conns {
		p.open[conn] = struct{}{}
	}
	return !p.closed
}

func (p *proxy) untrack(silent *mute, conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.muted, silent)
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
