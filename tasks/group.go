package tasks

import "sync"

// Group is a set of goroutines. The zero value is ready. It is safe for
// concurrent use.
type Group struct {
	mu     sync.Mutex
	count  int
	closed bool
	idle   []chan struct{}
}

// Go starts a goroutine. It reports false, and starts none, after Close.
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
	for _, waiting := range g.idle {
		close(waiting)
	}
	g.idle = nil
}

// Wait returns when no goroutine of the group runs.
func (g *Group) Wait() {
	g.mu.Lock()
	if g.count == 0 {
		g.mu.Unlock()
		return
	}
	waiting := make(chan struct{})
	g.idle = append(g.idle, waiting)
	g.mu.Unlock()
	<-waiting
}

// Close keeps more goroutines from being started and waits for those that run.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.Wait()
}
