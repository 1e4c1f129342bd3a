package soak

import (
	"net"
	"sync"
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
	closed  bool
	done    sync.WaitGroup
}

const proxyDelay = 150 * time.Millisecond

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), open: map[net.Conn]struct{}{}}
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
	if !p.track(near, far) {
		return
	}
	defer p.untrack(near, far)
	var both sync.WaitGroup
	both.Go(func() { p.pass(far, near, false) })
	both.Go(func() { p.pass(near, far, true) })
	both.Wait()
}

// pass copies bytes in one direction, and closes both ends when one does.
func (p *proxy) pass(to, from net.Conn, towardsCaller bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.hold(towardsCaller) {
				return
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
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset closes all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.open[conn] = struct{}{}
	}
	return !p.closed
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
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
