package soak

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/platform/standin"
)

// TestPausedProcessEndsItsStreams has a node's process get no processor for longer than an engine may be silent, while its streams
// are in progress. Their engines go on, and what they have sent waits in the node's sockets: no stream may be cut.
func TestPausedProcessEndsItsStreams(t *testing.T) {
	const (
		streams = 12
		// events are sent for 2.4 s, and the pause begins after the first of them.
		events   = 30
		interval = 80 * time.Millisecond
		begun    = 500 * time.Millisecond
		pause    = 2200 * time.Millisecond
	)
	h := newHarness(t, 72, 1, "")
	defer h.close()
	h.awaitReady()
	for _, b := range h.backends {
		if b.engine != nil {
			b.engine.EventCount, b.engine.EventInterval = events, interval
		}
	}
	n := h.nodes[0]
	observed := make([]observation, streams)
	var sending sync.WaitGroup
	for i := range observed {
		sending.Go(func() {
			observed[i] = send(&http.Transport{DisableKeepAlives: true}, n, kindResumable, fmt.Sprintf("paused%d-%d", os.Getpid(), i), true, steadyTenant)
		})
	}
	time.Sleep(begun)
	h.signal(n, syscall.SIGSTOP)
	time.Sleep(pause)
	h.signal(n, syscall.SIGCONT)
	sending.Wait()
	whole, cut, calls := 0, 0, 0
	received := h.received()
	for _, o := range observed {
		calls += len(received[o.id])
		switch {
		case o.complete && o.body == standin.StreamText(o.id, events):
			whole++
		case o.status == http.StatusOK:
			cut++
		}
	}
	t.Logf("%d streams: %d whole, %d cut, %d calls to engines", streams, whole, cut, calls)
	g := NewWithT(t)
	g.Expect(cut).To(BeZero())
	g.Expect(whole).To(Equal(streams))
	g.Expect(calls).To(Equal(2*streams), "one prefill and one run for each stream: the engines have not been silent")
}
