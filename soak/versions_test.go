package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	// versionStream numbers the random stream of the roll-outs of engines' software.
	versionStream = 10
	// resumingCount is how many callers break off their streams and resume them, and maxResumptions how often each does
	// so for one stream.
	resumingCount  = 4
	maxResumptions = 3
)

// softwareVersions are the versions of the engines' software. All engines have the first one if an older build takes part.
var softwareVersions = []string{"v1", "v2", "v3"}

// versionOfNext returns the version of the next engine; the caller holds the harness's lock. Before the first roll-out,
// two versions alternate.
func (h *harness) versionOfNext() string {
	switch {
	case h.older != "":
		return softwareVersions[0]
	case h.rollOut != "":
		return h.rollOut
	default:
		return softwareVersions[h.backendsCreated%2]
	}
}

// injectVersions rolls out versions of the engines' software, back and forth and overlapping: engines restart under their
// identifiers with another version, while their entries lag, or are replaced by new ones.
func (h *harness) injectVersions(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		version := softwareVersions[random.IntN(len(softwareVersions))]
		lag := time.Duration(random.IntN(1500)) * time.Millisecond
		count := 1 + random.IntN(3)
		isReplacement := random.IntN(3) == 0
		h.mu.Lock()
		h.rollOut = version
		h.mu.Unlock()
		engines := slices.DeleteFunc(h.registered(), func(b *backend) bool { return b.engine == nil })
		random.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
		for _, b := range engines[:min(count, len(engines))] {
			if isReplacement {
				h.backendFaults.Go(func() { h.replaceBackend(b) })
				continue
			}
			h.backendFaults.Go(func() {
				h.restartWith(b, version)
				time.Sleep(lag)
				h.announceReady(b)
			})
		}
		time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
	}
}

// resumedStream is a stream that a caller has begun and resumed, with all its attempts.
type resumedStream struct {
	attempts []observation
}

// events returns the numbers of all events that the caller has received.
func (s *resumedStream) events() []int {
	var events []int
	for _, attempt := range s.attempts {
		events = append(events, attempt.events...)
	}
	return events
}

// versions returns the distinct versions of the engines that sent them.
func (s *resumedStream) versions() []string {
	var versions []string
	for _, attempt := range s.attempts {
		versions = append(versions, attempt.versions...)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// begun returns the attempt that brought the first event, if there is one.
func (s *resumedStream) begun() (attempt observation, found bool) {
	for _, attempt := range s.attempts {
		if len(attempt.events) > 0 {
			return attempt, true
		}
	}
	return observation{}, false
}

// hasContinued reports whether an attempt after the one that brought the first event brought another one.
func (s *resumedStream) hasContinued() bool {
	brought := 0
	for _, attempt := range s.attempts {
		if len(attempt.events) > 0 {
			brought++
		}
	}
	return brought > 1
}

// send sends the next attempt to receive a stream, and breaks it off when the context ends.
func (s *resumedStream) send(ctx context.Context, transport http.RoundTripper, n *node, id string) {
	caller := standin.CallerHeaders{ID: id, Wait: 4 * time.Second, PromptTokens: 3000, MaxOutputTokens: 2000, LengthHint: 600, Key: keyOf(steadyTenant), Tenant: "forged"}
	if first, found := s.begun(); found {
		events := s.events()
		caller.Resumes, caller.LastEvent = first.id, events[len(events)-1]
	}
	s.attempts = append(s.attempts, sendAs(ctx, transport, n, kindResumable, caller, true, steadyTenant))
}

// resumingCallers begin streams, break them off, and resume them at other nodes.
type resumingCallers struct {
	harness  *harness
	stopping chan struct{}
	done     sync.WaitGroup

	mu      sync.Mutex
	streams []*resumedStream
}

func startResumingCallers(h *harness, seed uint64) *resumingCallers {
	c := &resumingCallers{harness: h, stopping: make(chan struct{})}
	for i := range resumingCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)+2000))
		prefix := fmt.Sprintf("resumed%d-%d-%d", seed, os.Getpid(), i)
		c.done.Go(func() { c.run(prefix, random) })
	}
	return c
}

func (c *resumingCallers) run(prefix string, random *rand.Rand) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	for number := 0; ; number++ {
		select {
		case <-c.stopping:
			return
		case <-time.After(time.Duration(20+random.IntN(200)) * time.Millisecond):
		}
		stream := &resumedStream{}
		for attempt := range 1 + maxResumptions {
			n := c.harness.nodes[random.IntN(len(c.harness.nodes))]
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(100+random.IntN(400))*time.Millisecond)
			stream.send(ctx, transport, n, fmt.Sprintf("%s-%d-%d", prefix, number, attempt))
			cancel()
			if stream.attempts[attempt].complete {
				break
			}
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		}
		c.mu.Lock()
		c.streams = append(c.streams, stream)
		c.mu.Unlock()
	}
}

// stop ends the callers and returns their streams.
func (c *resumingCallers) stop() []*resumedStream {
	close(c.stopping)
	c.done.Wait()
	return c.streams
}

// checkResumed returns the streams that hold events of several versions or lack events, and the rejected attempts that ran.
// runs is the number of runs by attempt.
func checkResumed(streams []*resumedStream, runs map[string]int) []string {
	var violations []string
	for _, stream := range streams {
		first, found := stream.begun()
		if !found {
			continue
		}
		if versions := stream.versions(); len(versions) > 1 {
			violations = append(violations, fmt.Sprintf("the stream of %s holds events of the versions %v: %s", first.id, versions, stream.describe()))
		}
		for i, number := range stream.events() {
			if number != i+1 {
				violations = append(violations, fmt.Sprintf("the stream of %s has event %d where %d was due: %s", first.id, number, i+1, stream.describe()))
				break
			}
		}
		for _, attempt := range stream.attempts {
			if notRunStatuses[attempt.status] && runs[attempt.id] > 0 {
				violations = append(violations, fmt.Sprintf("%s ran although its status %d guarantees that it did not", attempt.id, attempt.status))
			}
		}
	}
	return violations
}

// describe returns the attempts of a stream for a report.
func (s *resumedStream) describe() string {
	var text strings.Builder
	for _, attempt := range s.attempts {
		fmt.Fprintf(&text, "[%s at node %d from %s for %v: status %d, %d events of %v]", attempt.id, attempt.node,
			attempt.began.Format("15:04:05.000"), attempt.ended.Sub(attempt.began).Round(time.Millisecond), attempt.status, len(attempt.events), attempt.versions)
	}
	return text.String()
}

// describeResumed counts the streams that began, were resumed, and continued.
func describeResumed(streams []*resumedStream) string {
	begun, resumed, continued := 0, 0, 0
	for _, stream := range streams {
		if _, found := stream.begun(); !found {
			continue
		}
		begun++
		if len(stream.attempts) > 1 {
			resumed++
		}
		if stream.hasContinued() {
			continued++
		}
	}
	return fmt.Sprintf("%d streams, %d of them resumed and %d continued,", begun, resumed, continued)
}

// checkResumption has callers resume streams after the faults: the share that continues must be half of the share that
// begins at least.
func (h *harness) checkResumption(older string) []string {
	if older != "" {
		return nil
	}
	const streamsPerNode = 6
	var mu sync.Mutex
	var streams []*resumedStream
	var sending sync.WaitGroup
	for i := range h.nodes {
		sending.Go(func() {
			transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
			for number := range streamsPerNode {
				stream := &resumedStream{}
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				stream.send(ctx, transport, h.nodes[i], fmt.Sprintf("resumption%d-%d-%d", os.Getpid(), i, number))
				cancel()
				ctx, cancel = context.WithTimeout(context.Background(), 6*time.Second)
				stream.send(ctx, transport, h.nodes[(i+1)%len(h.nodes)], fmt.Sprintf("resumption%d-%d-%d-again", os.Getpid(), i, number))
				cancel()
				mu.Lock()
				streams = append(streams, stream)
				mu.Unlock()
			}
		})
	}
	sending.Wait()
	violations := checkResumed(streams, h.runs())
	begun, continued := 0, 0
	for _, stream := range streams {
		if len(stream.attempts[0].events) > 0 {
			begun++
		}
		if stream.hasContinued() {
			continued++
		}
	}
	if 2*continued*len(streams) < begun*begun {
		violations = append(violations, fmt.Sprintf("after the faults, %d of %d streams began and %d of these continued", begun, len(streams), continued))
	}
	return violations
}

// TestChecksDetectJoinedStreams has a stream continue at another version, skip an event, and run although it was rejected.
func TestChecksDetectJoinedStreams(t *testing.T) {
	stream := func(second observation) []*resumedStream {
		first := observation{id: "first", status: http.StatusOK, events: []int{1, 2}, versions: []string{"v1"}}
		second.id = "second"
		return []*resumedStream{{attempts: []observation{first, second}}}
	}
	cases := map[string]struct {
		second observation
		runs   int
		want   string
	}{
		"continued":      {observation{status: http.StatusOK, events: []int{3, 4}, versions: []string{"v1"}}, 1, ""},
		"no event":       {observation{status: http.StatusOK}, 1, ""},
		"rejected":       {observation{status: http.StatusServiceUnavailable}, 0, ""},
		"joined":         {observation{status: http.StatusOK, events: []int{3}, versions: []string{"v2"}}, 1, "versions [v1 v2]"},
		"begun again":    {observation{status: http.StatusOK, events: []int{1}, versions: []string{"v1"}}, 1, "event 1 where 3"},
		"run and denied": {observation{status: http.StatusServiceUnavailable}, 1, "guarantees"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			violations := checkResumed(stream(c.second), map[string]int{"second": c.runs})
			if c.want == "" {
				NewWithT(t).Expect(violations).To(BeEmpty())
				return
			}
			NewWithT(t).Expect(violations).To(ConsistOf(ContainSubstring(c.want)))
		})
	}
}
