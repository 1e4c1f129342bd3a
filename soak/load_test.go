package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/reelrun/reelrun/platform/standin"
)

// load sends requests until it is stopped.
type load struct {
	harness  *harness
	stopping chan struct{}
	done     sync.WaitGroup
	next     atomic.Int64
	prefix   string

	mu       sync.Mutex
	observed []observation
}

func startLoad(h *harness, seed uint64) *load {
	l := &load{harness: h, stopping: make(chan struct{}), prefix: fmt.Sprintf("s%d-%d", seed, os.Getpid())}
	for i := range callerCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)+100))
		l.done.Go(func() { l.sendLoad(random, steadyTenant) })
	}
	for i, tenant := range []string{limitedTenant, limitedTenant, ""} {
		random := rand.New(rand.NewPCG(seed, uint64(i)+500))
		l.done.Go(func() { l.sendLoad(random, tenant) })
	}
	return l
}

// sendLoad sends one request after the other, most of them on persistent connections.
func (l *load) sendLoad(random *rand.Rand, tenant string) {
	kinds := []kind{kindNonIdempotent, kindIdempotent, kindStream, kindResumable}
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}
	defer transport.CloseIdleConnections()
	for {
		select {
		case <-l.stopping:
			return
		case <-time.After(time.Duration(20+random.IntN(120)) * time.Millisecond):
		}
		n := l.harness.nodes[random.IntN(len(l.harness.nodes))]
		id := fmt.Sprintf("%s-%d", l.prefix, l.next.Add(1))
		o := send(transport, n, kinds[random.IntN(len(kinds))], id, random.IntN(4) == 0, tenant)
		l.mu.Lock()
		l.observed = append(l.observed, o)
		l.mu.Unlock()
	}
}

func (l *load) observations() []observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]observation(nil), l.observed...)
}

func (l *load) stop() {
	close(l.stopping)
	l.done.Wait()
}

// send sends one request and returns what its caller sees.
func send(transport http.RoundTripper, n *node, k kind, id string, lastOnConnection bool, tenant string) observation {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	return sendUntil(ctx, transport, n, k, id, lastOnConnection, tenant)
}

// sendUntil is send for a caller that disconnects when the context ends.
func sendUntil(ctx context.Context, transport http.RoundTripper, n *node, k kind, id string, lastOnConnection bool, tenant string) observation {
	caller := standin.CallerHeaders{ID: id, Wait: 4 * time.Second, PromptTokens: 3000, MaxOutputTokens: 2000, LengthHint: 600, Key: keyOf(tenant), Tenant: "forged"}
	return sendAs(ctx, transport, n, k, caller, lastOnConnection, tenant)
}

// sendAs is sendUntil for a caller with the given headers.
func sendAs(ctx context.Context, transport http.RoundTripper, n *node, k kind, caller standin.CallerHeaders, lastOnConnection bool, tenant string) observation {
	id := caller.ID
	o := observation{id: id, kind: k, node: n.index, tenant: tenant, began: time.Now()}
	n.requests.add(k, o.began)
	defer func() { o.ended = time.Now() }()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { sent.Store(info.Err == nil) }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://127.0.0.1:%d/%s/x", n.ports[0], k), strings.NewReader("body of "+id))
	if err != nil {
		return o
	}
	request.Host, request.Close, request.GetBody = routeHost, lastOnConnection, nil
	caller.Set(request.Header)
	response, err := transport.RoundTrip(request)
	o.sent = sent.Load()
	if err != nil {
		return withEnd(o)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	received := standin.ReadStream(string(body))
	o.sent, o.status, o.complete, o.body = true, response.StatusCode, err == nil, received.Text
	o.events, o.versions = received.Events, received.Versions
	o.requestID, o.signature = standin.ResponseIdentity(response.Header)
	o.leaving = standin.AnnouncesLeaving(response.Header)
	return withEnd(o)
}

// withEnd returns an observation that ends now.
func withEnd(o observation) observation {
	o.ended = time.Now()
	return o
}
