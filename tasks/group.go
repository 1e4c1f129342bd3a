package tasks

import "sync"

// Group is a set of goroutines. The zero value is ready for use. It is safe for
// concurrent use.
type Group struct {
	mu      sync.Mutex
	count   int
	closed  bool
	waiters []chan struct{}
}

// Go starts a goroutine that calls run. After Close it starts none and returns
// false.
func (g *Group) Go(run func()) bool {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return false
	}
	g.count++
	g.mu.Unlock()
	go func() {
		defer g.done()
		run()
	}()
	return true
}

func (g *Group) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.count > 0 {
		return
	}
	for _, waiter := range g.waiters {
		close(waiter)
	}
	g.waiters = nil
}

// Wait blocks until no goroutine of the group is running.
func (g *Group) Wait() {
	g.mu.Lock()
	if g.count == 0 {
		g.mu.Unlock()
		return
	}
	waiter := make(chan struct{})
	g.waiters = append(g.waiters, waiter)
	g.mu.Unlock()
	<-waiter
}

// Close rejects further goroutines and waits for the running ones.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.Wait()
}
