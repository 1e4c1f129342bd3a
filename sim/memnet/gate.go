package memnet

import (
	"net"
	"strings"
	"sync"
)

// Link is a direction between two hosts, named without their ports.
type Link struct{ From, To string }

func linkOf(from, to string) Link { return Link{hostOf(from), hostOf(to)} }

// hostOf returns an address without its port.
func hostOf(address string) string {
	host, _, found := strings.Cut(address, ":")
	if !found {
		return address
	}
	return host
}

// LinkFilter decides which links pass bytes. It is safe for concurrent use.
type LinkFilter struct {
	mu      sync.Mutex
	blocked func(Link) bool
	changed chan struct{}
}

// NewLinkFilter returns a gate that passes everything.
func NewLinkFilter() *LinkFilter {
	return &LinkFilter{blocked: func(Link) bool { return false }, changed: make(chan struct{})}
}

// Block replaces the decision which links are blocked.
func (g *LinkFilter) Block(blocked func(Link) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked = blocked
	close(g.changed)
	g.changed = make(chan struct{})
}

// wait returns when the link passes bytes, or net.ErrClosed when done closes.
func (g *LinkFilter) wait(link Link, done <-chan struct{}) error {
	for {
		g.mu.Lock()
		blocked, changed := g.blocked(link), g.changed
		g.mu.Unlock()
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return net.ErrClosed
		}
	}
}
