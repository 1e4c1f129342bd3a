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
	world    *world
	stopping chan struct{}
	done     sync.WaitGroup
	next     atomic.Int64
	prefix   string

	mu   sync.Mutex
	seen []observation
}

func startLoad(w *world, seed uint64) *load {
	l := &load{world: w, stopping: make(chan struct{}), prefix: fmt.Sprintf("s%d-%d", seed, os.Getpid())}
	for i := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(i)+100))
		l.done.Go(func() { l.call(random, steadyTenant) })
	}
	for i, tenant := range []string{limitedTenant, limitedTenant, ""} {
		random := rand.New(rand.NewPCG(seed, uint64(i)+500))
		l.done.Go(func() { l.call(random, tenant) })
	}
	return l
}

// call sends one request after the other, on kept connections for the most part.
func (l *load) call(random *rand.Rand, tenant string) {
	kinds := []kind{kindOnce, kindAgain, kindStream, kindResume}
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}
	defer transport.CloseIdleConnections()
	for {
		select {
		case <-l.stopping:
			return
		case <-time.After(time.Duration(20+random.IntN(120)) * time.Millisecond):
		}
		n := l.world.nodes[random.IntN(len(l.world.nodes))]
		id := fmt.Sprintf("%s-%d", l.prefix, l.next.Add(1))
		o := ask(transport, n, kinds[random.IntN(len(kinds))], id, random.IntN(4) == 0, tenant)
		l.mu.Lock()
		l.seen = append(l.seen, o)
		l.mu.Unlock()
	}
}

func (l *load) observations() []observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]observation(nil), l.seen...)
}

func (l *load) stop() {
	close(l.stopping)
	l.done.Wait()
}

// ask sends one request and returns what its caller sees.
func ask(transport http.RoundTripper, n *node, k kind, id string, lastOnConnection bool, tenant string) observation {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	return askUntil(ctx, transport, n, k, id, lastOnConnection, tenant)
}

// askUntil is ask by a caller that leaves when the context ends.
func askUntil(ctx context.Context, transport http.RoundTripper, n *node, k kind, id string, lastOnConnection bool, tenant string) observation {
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
	caller := standin.CallerHeaders{ID: id, Wait: 4 * time.Second, PromptTokens: 3000, MaxOutputTokens: 2000, LengthHint: 600, Key: keyOf(tenant), Tenant: "forged"}
	caller.Set(request.Header)
	response, err := transport.RoundTrip(request)
	o.sent = sent.Load()
	if err != nil {
		return finished(o)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	o.sent, o.status, o.complete, o.body = true, response.StatusCode, err == nil, string(body)
	o.requestID, o.signature = standin.ResponseIdentity(response.Header)
	o.leaving = standin.AnnouncesLeaving(response.Header)
	return finished(o)
}

func finished(o observation) observation {
	o.ended = time.Now()
	return o
}
