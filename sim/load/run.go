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
	// Nodes are the callers' addresses of the fleet. One that begins with https://
	// is called by TLS.
	Nodes []string
	// TLS is the configuration for such nodes.
	TLS *tls.Config
	// Requests is the number of requests; Rate how many arrive a second.
	Requests int
	Rate     float64
	// Seed fixes arrivals, kinds and prompts.
	Seed uint64
}

// Run sends the requests at random times and returns what each caller saw.
func Run(ctx context.Context, options Options) ([]Result, error) {
	const seedStream = 0x9e3779b97f4a7c15
	random := rand.New(rand.NewPCG(options.Seed, seedStream))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: options.TLS}}
	results := make([]Result, options.Requests)
	var running sync.WaitGroup
	for i := range options.Requests {
		made, err := newCaller(client, options, i, random)
		if err != nil {
			return nil, err
		}
		running.Add(1)
		go func() {
			defer running.Done()
			results[i] = made.run(ctx)
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
	// Client sends it.
	Client *http.Client
	// Nodes are tried in turn; https:// before an address means TLS.
	Nodes []string
	Kind  *Kind
	// Key is the Idempotency-Key.
	Key string
	// Prompt and Tokens are set for completions, Body for calls to services.
	Prompt string
	Tokens int
	Body   string
}

// Send follows one request to its end and returns what its caller saw.
func Send(ctx context.Context, call Call) Result {
	made := &caller{
		client: call.Client, nodes: call.Nodes, kind: call.Kind, key: call.Key,
		prompt: call.Prompt, tokens: call.Tokens, body: call.Body,
	}
	return made.run(ctx)
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
	made := &caller{client: client, nodes: nodes, kind: kind, key: key}
	if kind.Service == "" {
		made.tokens = between(random, kind.OutputTokens)
		made.prompt = prompt(kind, between(random, kind.PromptTokens), random)
	} else if kind.NonIdempotent {
		made.body = fmt.Sprintf(`{"entry":%d,"note":%d}`, index, random.Uint32())
	}
	return made, nil
}
