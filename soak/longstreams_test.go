package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	// longStream numbers the random streams of the callers whose streams last for seconds and pause.
	longStream = 11_000
	// longCallerCount is how many such callers there are.
	longCallerCount = 6
	// longTimeout is the timeout of the routes of such streams and what their callers wait: more than two runs with a pause take.
	longTimeout = 14 * time.Second
	// minLongEvents and maxLongEvents are the numbers of events of such a stream.
	minLongEvents = 10
	maxLongEvents = 160
	// plannedRuns is the number of runs of a request for which pauses are drawn; later runs do not pause.
	plannedRuns = 2
)

// plannedStreams are the streams that differ from the others, by request. It is safe for concurrent use.
type plannedStreams struct {
	mu sync.Mutex
	// runs are the plans of the next runs of each request; the last one remains.
	runs map[string][]standin.StreamPlan
}

// add plans the runs of a request.
func (p *plannedStreams) add(id string, runs []standin.StreamPlan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs == nil {
		p.runs = map[string][]standin.StreamPlan{}
	}
	p.runs[id] = runs
}

// next returns the plan of the next run of a request.
func (p *plannedStreams) next(id string) (plan standin.StreamPlan, isPlanned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := p.runs[id]
	if len(runs) == 0 {
		return standin.StreamPlan{}, false
	}
	if len(runs) > 1 {
		p.runs[id] = runs[1:]
	}
	return runs[0], true
}

// drawLongStream returns the plans of the successive runs of one request: some engines pause for 1 to 3 s between two events.
func drawLongStream(random *rand.Rand) []standin.StreamPlan {
	count := minLongEvents + random.IntN(maxLongEvents-minLongEvents)
	length := time.Duration(500+random.IntN(2500)) * time.Millisecond
	runs := make([]standin.StreamPlan, plannedRuns+1)
	for i := range runs {
		runs[i] = standin.StreamPlan{EventCount: count, EventInterval: length / time.Duration(count)}
		pause, before, pauses := time.Duration(1000+random.IntN(2000))*time.Millisecond, 2+random.IntN(count-1), random.IntN(2) == 0
		if pauses && i < plannedRuns {
			runs[i].Pause, runs[i].PauseBefore = pause, before
		}
	}
	return runs
}

// longCallers are callers whose streams last for seconds.
type longCallers struct {
	harness  *harness
	stopping chan struct{}
	done     sync.WaitGroup

	mu       sync.Mutex
	observed []observation
}

func startLongCallers(h *harness, seed uint64) *longCallers {
	c := &longCallers{harness: h, stopping: make(chan struct{})}
	for i := range longCallerCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)+longStream))
		prefix := fmt.Sprintf("long%d-%d-%d", seed, os.Getpid(), i)
		c.done.Go(func() { c.run(prefix, random) })
	}
	return c
}

func (c *longCallers) run(prefix string, random *rand.Rand) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}
	defer transport.CloseIdleConnections()
	repeatUntil(c.stopping, random, func(number int) {
		n := c.harness.nodes[random.IntN(len(c.harness.nodes))]
		k := []kind{kindLong, kindLongResumable}[random.IntN(2)]
		o := sendLong(transport, c.harness, n, k, fmt.Sprintf("%s-%d", prefix, number), drawLongStream(random))
		c.mu.Lock()
		defer c.mu.Unlock()
		c.observed = append(c.observed, o)
	})
}

// sendLong sends a request for a planned stream and returns what its caller sees.
func sendLong(transport http.RoundTripper, h *harness, n *node, k kind, id string, runs []standin.StreamPlan) observation {
	h.planned.add(id, runs)
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout+2*time.Second)
	defer cancel()
	o := sendAs(ctx, transport, n, k, longHeaders(id), false, steadyTenant)
	o.timeout, o.eventCount = longTimeout, runs[0].EventCount
	return o
}

// longHeaders returns the headers of a request for a stream that lasts for seconds.
func longHeaders(id string) standin.CallerHeaders {
	return standin.CallerHeaders{ID: id, Wait: longTimeout, PromptTokens: 3000, MaxOutputTokens: 2000, LengthHint: 600, Key: keyOf(steadyTenant)}
}

// endRequests has the callers send no more requests.
func (c *longCallers) endRequests() { close(c.stopping) }

// stop waits for the callers, which have been told to send no more requests, and returns what they have observed.
func (c *longCallers) stop() []observation {
	c.done.Wait()
	return c.observed
}
