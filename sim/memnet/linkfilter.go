package memnet

import (
	"net"
	"strings"
	"sync"
)

// Link is one direction between two hosts, identified by address without port.
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

// LinkFilter blocks links between hosts. It is safe for concurrent use.
type LinkFilter struct {
	mu      sync.Mutex
	blocked func(Link) bool
	changed chan struct{}
}

// NewLinkFilter returns a filter that blocks no link.
func NewLinkFilter() *LinkFilter {
	return &LinkFilter{blocked: func(Link) bool { return false }, changed: make(chan struct{})}
}

// Block replaces the function that selects the blocked links.
func (f *LinkFilter) Block(blocked func(Link) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
	close(f.changed)
	f.changed = make(chan struct{})
}

// wait returns nil once the link is not blocked, or net.ErrClosed when done closes.
func (f *LinkFilter) wait(link Link, done <-chan struct{}) error {
	for {
		f.mu.Lock()
		blocked, changed := f.blocked(link), f.changed
		f.mu.Unlock()
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
