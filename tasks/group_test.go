package tasks

import (
	"sync/atomic"
	"testing"
)

func TestCloseWaitsAndRejects(t *testing.T) {
	var group Group
	var ended atomic.Int64
	release := make(chan struct{})
	for range 10 {
		group.Go(func() {
			<-release
			ended.Add(1)
		})
	}
	close(release)
	group.Close()
	if ended.Load() != 10 {
		t.Fatalf("%d of 10 goroutines have ended", ended.Load())
	}
	if group.Go(func() {}) {
		t.Fatal("a goroutine was started after Close")
	}
	group.Wait()
}
