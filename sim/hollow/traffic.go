package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/sim/load"
	"github.com/reelrun/reelrun/sim/rehearsal"
)

const (
	callerHost = "192.0.2.1"
	// promptWords is the length of a prompt in words.
	promptWords = 100
	// maxOutputTokens is the largest length of an ordinary output, endlessTokens the
	// length of an output that only a cancellation ends.
	maxOutputTokens = 40
	endlessTokens   = 20000
	// nodesPerCaller is the number of nodes that the load balancer offers to a caller.
	nodesPerCaller = 4
)

// traffic sends requests to a fleet as callers behind a load balancer do.
type traffic struct {
	fleet   *rehearsal.Fleet
	options Options
	random  *rand.Rand

	running sync.WaitGroup
	mu      sync.Mutex
	results []load.Result
}

func newTraffic(fleet *rehearsal.Fleet, options Options) *traffic {
	const seed, stream = 1, 7
	return &traffic{fleet: fleet, options: options, random: rand.New(rand.NewPCG(seed, stream))}
}

// completion returns a streaming completion call of a tenant.
func (t *traffic) completion(tenant, tokens int) load.Call {
	model := tenant % t.options.Models
	return load.Call{
		Kind: &load.Kind{
			Name: "long", Token: rehearsal.Token(tenant), Class: fmt.Sprintf("long-%d", model), Model: fmt.Sprintf("model-%d", model), Stream: true,
			FirstToken: api.Duration(1500 * time.Millisecond), TokenInterval: api.Duration(50 * time.Millisecond),
		},
		Prompt: strings.Repeat(fmt.Sprintf("%04d ", t.random.IntN(10000)), promptWords), Tokens: tokens,
	}
}

// nonIdempotentCall returns a non-idempotent call to a service.
func (t *traffic) nonIdempotentCall(tenant int) load.Call {
	return load.Call{
		Kind: &load.Kind{
			Name: "log", Token: rehearsal.Token(tenant), Service: "service-0", Method: http.MethodPost, Path: "/entries", NonIdempotent: true,
			FirstToken: api.Duration(time.Second),
		},
		Body: fmt.Sprintf(`{"entry":%d}`, t.random.Uint32()),
	}
}

// start sends a call through the given nodes and records its result.
func (t *traffic) start(ctx context.Context, call load.Call, nodes []*rehearsal.Node) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	call.Key, call.Client = key.String(), t.fleet.Client(callerHost)
	for _, through := range nodes {
		call.Nodes = append(call.Nodes, through.CallerAddress())
	}
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		result := load.Send(ctx, call)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.results = append(t.results, result)
	}()
	return nil
}

// balanced returns the nodes that the load balancer offers to a caller: some of
// the ready ones, in random order.
func (t *traffic) balanced() []*rehearsal.Node {
	var ready []*rehearsal.Node
	for _, running := range t.fleet.Alive() {
		if running.Core.IsReady() {
			ready = append(ready, running)
		}
	}
	t.random.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	return ready[:min(len(ready), nodesPerCaller)]
}

// nonIdempotentEvery is the mean number of requests per non-idempotent request.
const nonIdempotentEvery = 4

// startAny sends a random request of the mix through the load balancer.
func (t *traffic) startAny() error {
	tenant := t.random.IntN(t.options.Tenants)
	call := t.completion(tenant, 1+t.random.IntN(maxOutputTokens))
	if t.random.IntN(nonIdempotentEvery) == 0 {
		call = t.nonIdempotentCall(tenant)
	}
	return t.start(context.Background(), call, t.balanced())
}

// wait waits for every caller and returns their results.
func (t *traffic) wait() []load.Result {
	t.running.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.results
}
