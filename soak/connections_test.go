package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// fewDescriptors is the number of files that the process of a node may have open.
	fewDescriptors = 400
	// keptConnections is how many connections callers open and keep, with one request each.
	keptConnections = 600
	// leastServedShare is the share of the requests that must be served at a node that most new connections go to.
	leastServedShare = 0.75
)

// TestMostNewConnectionsAtOneNodeExhaustDescriptors guards against a node that most new connections go to, and that runs out
// of descriptors: callers keep their connections open, and the node can neither accept new ones nor open any to backends.
func TestMostNewConnectionsAtOneNodeExhaustDescriptors(t *testing.T) {
	h := newHarnessWith(t, 66, harnessOptions{nodes: 3, zones: 1, engines: 6, plain: 4, descriptors: fewDescriptors})
	defer h.close()
	h.awaitReady()
	g := NewWithT(t)
	target := h.nodes[0]
	kept := make([]*http.Transport, keptConnections)
	defer func() {
		for _, transport := range kept {
			transport.CloseIdleConnections()
		}
	}()
	var running sync.WaitGroup
	var sent, served atomic.Int64
	concurrent := make(chan struct{}, callerCount)
	for i := range kept {
		kept[i] = &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
		concurrent <- struct{}{}
		running.Go(func() {
			defer func() { <-concurrent }()
			k := []kind{kindNonIdempotent, kindIdempotent, kindStream, kindResumable}[i%4]
			o := send(kept[i], target, k, fmt.Sprintf("kept%d-%d", os.Getpid(), i), false, steadyTenant)
			if i < fewDescriptors {
				return
			}
			sent.Add(1)
			if o.status == http.StatusOK && o.complete {
				served.Add(1)
			}
		})
	}
	running.Wait()
	t.Logf("%d of %d requests on connections beyond the descriptors served", served.Load(), sent.Load())
	g.Expect(float64(served.Load())).To(BeNumerically(">=", leastServedShare*float64(sent.Load())))
}
