package main

import (
	"sync"
	"time"
)

// balancer knows which nodes the platform gives new connections: "Every second the platform asks each node `GET /-/ready`; a node that
// misses twice is given no new connections until it answers 200 again."
type balancer struct {
	mu     sync.Mutex
	nodes  []*node
	misses map[*node]int
}

func (f *fleet) balance(stop <-chan struct{}) *balancer {
	b := &balancer{nodes: f.nodes, misses: map[*node]int{}}
	for _, n := range f.nodes {
		go func() {
			for {
				ready := n.isReady()
				b.mu.Lock()
				if ready {
					b.misses[n] = 0
				} else {
					b.misses[n]++
				}
				b.mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
	return b
}

// in returns the nodes that are given new connections.
func (b *balancer) in() []*node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*node
	for _, n := range b.nodes {
		if b.misses[n] < 2 {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		return b.nodes
	}
	return in
}
