package load

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Options describe one run.
type Options struct {
	Workload Workload
	// Nodes are the addresses at which the nodes accept callers. An address that
	// begins with https:// is called with TLS.
	Nodes []string
	// TLS is the configuration for the nodes that are called with TLS.
	TLS *tls.Config
	// Requests is the number of requests, Rate the mean number per second.
	Requests int
	Rate     float64
	// Seed determines arrivals, kinds and prompts.
	Seed uint64
}

// Run sends the requests at random intervals and returns their results.
func Run(ctx context.Context, options Options) ([]Result, error) {
	const seedStream = 0x9e3779b97f4a7c15
	random := rand.New(rand.NewPCG(options.Seed, seedStream))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: options.TLS}}
	results := make([]Result, options.Requests)
	var running sync.WaitGroup
	for i := range options.Requests {
		created, err := newCaller(client, options, i, random)
		if err != nil {
			return nil, err
		}
		running.Add(1)
		go func() {
			defer running.Done()
			results[i] = created.run(ctx)
		}()
		wait := time.Duration(random.ExpFloat64() / options.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
	}
	running.Wait()
	return results, nil
}

// Call describes one request to send.
type Call struct {
	// Client sends the request.
	Client *http.Client
	// Nodes are the addresses of nodes; the attempts use them in turn. An address that
	// begins with https:// is called with TLS.
	Nodes []string
	Kind  *Kind
	// Key is the Idempotency-Key.
	Key string
	// Prompt and Tokens are set for completions, Body for calls to services.
	Prompt string
	Tokens int
	Body   string
}

// Send sends one request, with client retries, and returns its result.
func Send(ctx context.Context, call Call) Result {
	created := &caller{
		client: call.Client, nodes: call.Nodes, kind: call.Kind, key: call.Key,
		prompt: call.Prompt, tokens: call.Tokens, body: call.Body,
	}
	return created.run(ctx)
}

func newCaller(client *http.Client, options Options, index int, random *rand.Rand) (*caller, error) {
	kind := options.Workload.draw(random)
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	nodes := make([]string, 0, len(options.Nodes))
	for shift := range options.Nodes {
		nodes = append(nodes, options.Nodes[(index+shift)%len(options.Nodes)])
	}
	created := &caller{client: client, nodes: nodes, kind: kind, key: key}
	if kind.Service == "" {
		created.tokens = uniform(random, kind.OutputTokens)
		created.prompt = prompt(kind, uniform(random, kind.PromptTokens), random)
	} else if kind.NonIdempotent {
		created.body = fmt.Sprintf(`{"entry":%d,"note":%d}`, index, random.Uint32())
	}
	return created, nil
}
