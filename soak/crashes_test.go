package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	// crashText is in the bodies of requests that crash the backends that run them.
	crashText = "ends its back end"
	// crashAfter is how long such a request runs, and crashDowntime how long its backend is down.
	crashAfter    = 50 * time.Millisecond
	crashDowntime = time.Second
	// crashEntryExpiry is how long after its crash the entry of a backend is removed.
	crashEntryExpiry = 2 * time.Second
	// crashThreshold is the number of crashes after which a request is quarantined, for quarantineTime at least,
	// and quarantineDelay is the time within which all undisturbed nodes receive the quarantine.
	crashThreshold  = 2
	quarantineTime  = 30 * time.Second
	quarantineDelay = 3 * time.Second
	// maxQuarantinedRetries is how many client retries may reach backends in spite of the quarantine, since a
	// killed node loses its evidence.
	maxQuarantinedRetries = 3
	// crashStream numbers the random stream of the callers of such requests.
	crashStream = 4
	// meanRetryPause is the mean pause between two client retries.
	meanRetryPause = 400 * time.Millisecond
)

// crash terminates a backend. Another one starts at another address after a while, and the old entry expires.
func (h *harness) crash(b *backend) {
	b.crashOnce.Do(func() {
		h.recordInterruption(time.Now(), time.Now().Add(crashEntryExpiry))
		h.mu.Lock()
		h.crashes = append(h.crashes, time.Now())
		h.mu.Unlock()
		stage := b.stage
		if b.engine != nil {
			stage = b.engine.Stage()
		}
		h.backendFaults.Go(func() {
			b.proxy.close()
			_ = b.httpServer.Close()
			time.Sleep(crashDowntime)
			h.addBackend(b.service, stage)
			time.Sleep(crashEntryExpiry - crashDowntime)
			h.store.Remove("servers", b.id)
		})
	})
}

// crashRetry is one client retry of a request that crashes backends.
type crashRetry struct {
	id   string
	node int
	sent time.Time
}

// crashCaller repeatedly sends one request that crashes backends, each time to a random node.
type crashCaller struct {
	harness  *harness
	stopping chan struct{}
	done     sync.WaitGroup
	retries  []crashRetry
}

func startCrashCaller(h *harness, seed uint64) *crashCaller {
	c := &crashCaller{harness: h, stopping: make(chan struct{})}
	random := rand.New(rand.NewPCG(seed, crashStream))
	c.done.Go(func() { c.run(fmt.Sprintf("crash%d-%d", seed, os.Getpid()), random) })
	return c
}

func (c *crashCaller) run(prefix string, random *rand.Rand) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	k := []kind{kindNonIdempotent, kindIdempotent, kindStream, kindResumable}[random.IntN(4)]
	body := fmt.Sprint(crashText, " ", prefix)
	for {
		select {
		case <-c.stopping:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * meanRetryPause)))):
		}
		next := crashRetry{id: fmt.Sprintf("%s-%d", prefix, len(c.retries)), node: random.IntN(len(c.harness.nodes)), sent: time.Now()}
		c.retries = append(c.retries, next)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		sendBody(ctx, transport, c.harness.nodes[next.node], k, next.id, body)
		cancel()
	}
}

// sendBody sends a request with the given body, waits for the response and discards it.
func sendBody(ctx context.Context, transport http.RoundTripper, n *node, k kind, id, body string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://127.0.0.1:%d/%s/x", n.ports[0], k), strings.NewReader(body))
	if err != nil {
		return
	}
	n.requests.add(k, time.Now())
	request.Host, request.GetBody = routeHost, nil
	caller := standin.CallerHeaders{ID: id, Wait: 4 * time.Second, PromptTokens: 3000, MaxOutputTokens: 2000, LengthHint: 600, Key: keyOf(steadyTenant)}
	caller.Set(request.Header)
	response, err := transport.RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// stop ends the caller and returns what it has sent.
func (c *crashCaller) stop() []crashRetry {
	close(c.stopping)
	c.done.Wait()
	return c.retries
}

// checkCrashes returns violations of the guarantee that a request which has crashed its backends reaches no
// more of them. Retries through nodes that were disturbed shortly before are not checked.
func checkCrashes(retries []crashRetry, crashes []time.Time, received map[string][]standin.Run, disturbances []disturbance) []string {
	if len(crashes) < crashThreshold {
		return nil
	}
	from := crashes[crashThreshold-1].Add(quarantineDelay)
	until := crashes[crashThreshold-1].Add(quarantineTime)
	var reached []string
	for _, retry := range retries {
		span := observation{node: retry.node, began: retry.sent.Add(-quarantineDelay), ended: retry.sent.Add(time.Second)}
		if retry.sent.Before(from) || retry.sent.After(until) || disturbed(span, disturbances) {
			continue
		}
		if len(received[retry.id]) > 0 {
			reached = append(reached, retry.id)
		}
	}
	if len(reached) <= maxQuarantinedRetries {
		return nil
	}
	return []string{fmt.Sprintf("a request that crashed %d backends reached backends %d more times: %v", len(crashes), len(reached), reached)}
}

// TestChecksDetectCrashingRequests counts retries. Early ones, those through disturbed nodes and a few others are
// allowed.
func TestChecksDetectCrashingRequests(t *testing.T) {
	g := NewWithT(t)
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	received := map[string][]standin.Run{}
	var retries []crashRetry
	for second := range 10 {
		id := strconv.Itoa(second)
		retries = append(retries, crashRetry{id: id, sent: at(second)})
		received[id] = []standin.Run{{ID: id}}
	}
	crashes := []time.Time{at(0), at(1)}
	g.Expect(checkCrashes(retries[:7], crashes, received, nil)).To(BeEmpty())
	g.Expect(checkCrashes(retries, crashes, received, nil)).To(HaveLen(1))
	g.Expect(checkCrashes(retries, crashes[:1], received, nil)).To(BeEmpty())
	g.Expect(checkCrashes(retries, crashes, received, []disturbance{{node: 0, from: at(5), to: at(9)}})).To(BeEmpty())
	g.Expect(checkCrashes(retries, crashes, nil, nil)).To(BeEmpty())
}
