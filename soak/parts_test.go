package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	// crashPart is the part of prompts that crashes the engines that begin a response on it.
	crashPart = "dead0066"
	// partSoakPhase is the length of each phase of the soak: usual callers, most new connections at one node, then at another.
	partSoakPhase = 6 * time.Second
	// partLimitCrashes is the number of crashes after which at most maxPartArrivals requests with the part may reach engines.
	partLimitCrashes = 5
	maxPartArrivals  = 3
	// concentratedShare is the share of the new connections that go to one node, and servedShare the share of the requests there
	// that must be served, from contactTime on.
	concentratedShare = 0.9
	servedShare       = 0.75
	contactTime       = 3 * time.Second
	// unframedResponses is the number of responses of each backend that have neither a length nor chunks.
	unframedResponses = 40
	partSoakStream    = 6
)

// partSoak is one run: requests with a part that crashes engines among others that share all other parts, responses without a
// length, and most new connections at one node while others restart.
type partSoak struct {
	harness *harness
	seed    uint64
	began   time.Time
	running sync.WaitGroup

	mu              sync.Mutex
	sound, crashing []observation
}

// TestSoakOfPromptParts runs one seed.
func TestSoakOfPromptParts(t *testing.T) {
	for _, seed := range partSoakSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { soakParts(t, seed) })
	}
}

func partSoakSeeds(t *testing.T) []uint64 {
	if os.Getenv("SOAK_SEED") == "" {
		return []uint64{defaultSeed}
	}
	return seeds(t)
}

func soakParts(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, partSoakStream))
	h := newHarnessWith(t, seed, harnessOptions{nodes: 4 + random.IntN(4), zones: 1 + random.IntN(2), engines: 12, plain: 4})
	defer h.close()
	defer h.saveLogs(seed)
	h.awaitReady()
	h.unframeResponses(random)
	s := &partSoak{harness: h, seed: seed, began: time.Now()}
	for i := range callerCount {
		callers := rand.New(rand.NewPCG(seed, uint64(i)+900))
		s.running.Go(func() { s.sendSound(callers, i) })
	}
	s.running.Go(func() { s.sendCrashing(rand.New(rand.NewPCG(seed, partSoakStream+1))) })
	s.running.Go(func() { s.disturb(random) })
	s.running.Wait()
	h.backendFaults.Wait()
	violations := append(checkObservations(s.sound, h.runs(), h.disturbances), s.checkParts()...)
	violations = append(violations, checkEnds(s.sound, h.runRecord(), h.allowingCuts())...)
	violations = append(violations, s.checkConcentration()...)
	t.Logf("seed %d: %d nodes, %d crashes, %d requests with the part, %d others", seed, len(h.nodes), len(h.crashes), len(s.crashing), len(s.sound))
	for _, violation := range violations {
		t.Error(violation)
	}
}

// unframeResponses has some backends send responses without a length or chunks.
func (h *harness) unframeResponses(random *rand.Rand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.backends {
		switch {
		case random.IntN(2) == 0:
		case b.engine != nil:
			b.engine.SetFaults(standin.EngineFaults{Unframed: unframedResponses})
		default:
			b.server.SetFaults(standin.ServerFaults{Unframed: unframedResponses})
		}
	}
}

// phase returns the number of the current phase.
func (s *partSoak) phase() int { return int(time.Since(s.began) / partSoakPhase) }

// phases is the number of phases.
const phases = 3

// preferredNode returns the node that most new connections go to; -1 for none.
func (s *partSoak) preferredNode() int {
	switch s.phase() {
	case 1:
		return 0
	case phases - 1:
		return 1
	default:
		return -1
	}
}

// drawNode returns the node of a new connection.
func (s *partSoak) drawNode(random *rand.Rand) int {
	preferred, other := s.preferredNode(), random.IntN(len(s.harness.nodes))
	if preferred >= 0 && random.Float64() < concentratedShare {
		return preferred
	}
	return other
}

// sendSound sends requests without the part until the last phase has ended. Each is sent on a new connection.
func (s *partSoak) sendSound(random *rand.Rand, caller int) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	kinds := []kind{kindNonIdempotent, kindIdempotent, kindStream, kindResumable}
	for i := 0; s.phase() < phases; i++ {
		own := fmt.Sprintf("%x%06x", caller, i)
		headers := s.headers(fmt.Sprintf("sound%d-%d-%d-%d", s.seed, os.Getpid(), caller, i), "5ha6ed01", own)
		s.send(transport, s.drawNode(random), kinds[random.IntN(len(kinds))], headers, &s.sound)
		time.Sleep(time.Duration(20+random.IntN(100)) * time.Millisecond)
	}
}

// sendCrashing sends requests with the part, no two alike.
func (s *partSoak) sendCrashing(random *rand.Rand) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	for i := 0; s.phase() < phases; i++ {
		headers := s.headers(fmt.Sprintf("part%d-%d-%d", s.seed, os.Getpid(), i), crashPart, fmt.Sprintf("ff%06x", i))
		k, node := []kind{kindStream, kindResumable}[random.IntN(2)], s.drawNode(random)
		s.running.Go(func() { s.send(transport, node, k, headers, &s.crashing) })
		time.Sleep(time.Duration(150+random.IntN(250)) * time.Millisecond)
	}
}

// headers returns the headers of a request whose second part and own part are given.
func (s *partSoak) headers(id, second, own string) standin.CallerHeaders {
	return standin.CallerHeaders{
		ID: id, Wait: 4 * time.Second, PromptTokens: 3000, MaxOutputTokens: 2000, LengthHint: 600, Key: keyOf(steadyTenant),
		PromptParts: []string{"5ha6ed00", second, "5ha6ed02", own},
	}
}

func (s *partSoak) send(transport http.RoundTripper, node int, k kind, headers standin.CallerHeaders, to *[]observation) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	o := sendAs(ctx, transport, s.harness.nodes[node], k, headers, true, steadyTenant)
	s.mu.Lock()
	defer s.mu.Unlock()
	*to = append(*to, o)
}

// disturb restarts and kills nodes to which few new connections go.
func (s *partSoak) disturb(random *rand.Rand) {
	for s.phase() < phases {
		time.Sleep(time.Duration(1000+random.IntN(2000)) * time.Millisecond)
		n := s.harness.nodes[2+random.IntN(len(s.harness.nodes)-2)]
		if random.IntN(2) == 0 {
			end := s.harness.recordDisturbance(n)
			s.harness.restart(n)
			end()
		} else {
			s.harness.kill(n, time.Duration(random.IntN(1500))*time.Millisecond)
		}
	}
}

// isUndisturbed reports whether the node of a request ran from some time before it.
func (s *partSoak) isUndisturbed(o observation) bool {
	span := observation{node: o.node, began: o.began.Add(-contactTime), ended: o.ended}
	return !disturbed(span, s.harness.disturbances)
}

// checkParts checks that few requests with the part reach engines after the fifth crash.
func (s *partSoak) checkParts() []string {
	if len(s.harness.crashes) < partLimitCrashes {
		return nil
	}
	from := s.harness.crashes[partLimitCrashes-1].Add(contactTime)
	received := s.harness.received()
	var reached []string
	for _, o := range s.crashing {
		if o.began.After(from) && s.isUndisturbed(o) && len(received[o.id]) > 0 {
			reached = append(reached, o.id)
		}
	}
	if len(reached) <= maxPartArrivals {
		return nil
	}
	return []string{fmt.Sprintf("requests with a part that crashed %d engines reached engines %d more times: %v", len(s.harness.crashes), len(reached), reached)}
}

// checkConcentration checks that requests are served at the node that most new connections go to.
func (s *partSoak) checkConcentration() []string {
	sent, served := 0, 0
	for _, o := range s.sound {
		phase := int(o.began.Sub(s.began) / partSoakPhase)
		isPreferred := phase == 1 && o.node == 0 || phase == phases-1 && o.node == 1
		begun := s.began.Add(time.Duration(phase) * partSoakPhase)
		if !isPreferred || o.began.Before(begun.Add(contactTime)) {
			continue
		}
		sent++
		if o.status == http.StatusOK && o.complete {
			served++
		}
	}
	if float64(served) >= servedShare*float64(sent) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d requests were served at the nodes that most new connections went to", served, sent)}
}
