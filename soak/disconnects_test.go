package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// disconnectingCount is how many callers disconnect before their responses are complete.
	disconnectingCount = 3
	// cancelTimeout is how long a request may still be processed after its caller has disconnected.
	cancelTimeout = 500 * time.Millisecond
	// maxOrphanedShare is the maximum share of such requests that may be processed longer, and minDisconnects the
	// number of disconnects below which the share is not checked.
	maxOrphanedShare = 0.25
	minDisconnects   = 8
)

// disconnect is a caller that closed its connection before the end of its response.
type disconnect struct {
	id   string
	node int
	// sent is when its request began, and at when it disconnected.
	sent, at time.Time
}

// disconnectingCallers are callers that disconnect early.
type disconnectingCallers struct {
	harness  *harness
	stopping chan struct{}
	done     sync.WaitGroup

	mu           sync.Mutex
	disconnected []disconnect
}

func startDisconnectingCallers(h *harness, seed uint64) *disconnectingCallers {
	c := &disconnectingCallers{harness: h, stopping: make(chan struct{})}
	for i := range disconnectingCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1000))
		prefix := fmt.Sprintf("left%d-%d-%d", seed, os.Getpid(), i)
		c.done.Go(func() { c.run(prefix, random) })
	}
	return c
}

func (c *disconnectingCallers) run(prefix string, random *rand.Rand) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	repeatUntil(c.stopping, random, func(number int) {
		n := c.harness.nodes[random.IntN(len(c.harness.nodes))]
		id := fmt.Sprintf("%s-%d", prefix, number)
		k := []kind{kindStream, kindResumable}[random.IntN(2)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(10+random.IntN(300))*time.Millisecond)
		o := sendUntil(ctx, transport, n, k, id, true, steadyTenant)
		cancel()
		if o.complete {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disconnected = append(c.disconnected, disconnect{id: id, node: n.index, sent: o.began, at: o.ended})
	})
}

// repeatUntil calls send with rising numbers, each time after 50 to 250 ms, until the channel closes.
func repeatUntil(stopping <-chan struct{}, random *rand.Rand, send func(number int)) {
	for number := 0; ; number++ {
		select {
		case <-stopping:
			return
		case <-time.After(time.Duration(50+random.IntN(200)) * time.Millisecond):
		}
		send(number)
	}
}

func (c *disconnectingCallers) stop() {
	close(c.stopping)
	c.done.Wait()
}

func (c *disconnectingCallers) disconnects() []disconnect {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]disconnect(nil), c.disconnected...)
}

// countOrphaned counts the disconnects whose requests were processed for longer than cancelTimeout afterwards. It
// considers only requests that reached a backend, and only if no disturbance of their node and no interruption of
// connections to backends overlaps the time from one second before the disconnect until cancelTimeout after it.
func countOrphaned(disconnected []disconnect, endings map[string]time.Time, disturbances, interruptions []disturbance) (orphaned, counted int) {
	for _, d := range disconnected {
		o := observation{node: d.node, began: d.at.Add(-time.Second), ended: d.at.Add(cancelTimeout)}
		ended, ran := endings[d.id]
		if !ran || disturbed(o, disturbances) || interruptedDuring(o, interruptions) {
			continue
		}
		counted++
		if ended.Sub(d.at) > cancelTimeout {
			orphaned++
		}
	}
	return orphaned, counted
}

// interruptedDuring reports whether connections were interrupted while a request was in progress.
func interruptedDuring(o observation, interruptions []disturbance) bool {
	for _, interruption := range interruptions {
		if interruption.from.Before(o.ended) && o.began.Before(interruption.to) {
			return true
		}
	}
	return false
}

// checkOrphaned returns a violation if too many requests continued without their callers.
func checkOrphaned(orphaned, counted int) []string {
	if counted < minDisconnects || float64(orphaned) <= maxOrphanedShare*float64(counted) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d requests were still processed half a second after their callers had disconnected", orphaned, counted)}
}

// TestChecksDetectOrphanedRequests lets runs continue after their callers have disconnected, among them some
// that are exempt.
func TestChecksDetectOrphanedRequests(t *testing.T) {
	g := NewWithT(t)
	at := time.Unix(100, 0)
	var disconnected []disconnect
	endings := map[string]time.Time{}
	for i := range 12 {
		id := strconv.Itoa(i)
		disconnected = append(disconnected, disconnect{id: id, node: i % 2, at: at})
		endings[id] = at.Add(100 * time.Millisecond)
	}
	orphaned, counted := countOrphaned(disconnected, endings, nil, nil)
	g.Expect(orphaned).To(BeZero())
	g.Expect(counted).To(Equal(12))
	g.Expect(checkOrphaned(orphaned, counted)).To(BeEmpty())
	for _, id := range []string{"0", "2", "4", "6"} {
		endings[id] = at.Add(time.Second)
	}
	orphaned, counted = countOrphaned(disconnected, endings, nil, nil)
	g.Expect(orphaned).To(Equal(4))
	g.Expect(checkOrphaned(orphaned, counted)).To(HaveLen(1))
	killed := []disturbance{{node: 0, from: at, to: at.Add(time.Second)}}
	orphaned, counted = countOrphaned(disconnected, endings, killed, nil)
	g.Expect(orphaned).To(BeZero())
	g.Expect(counted).To(Equal(6))
	_, counted = countOrphaned(disconnected, endings, nil, killed)
	g.Expect(counted).To(BeZero())
}
