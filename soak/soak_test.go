package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	defaultSeed     = 1
	defaultDuration = 6 * time.Second
	// startTimeout is the time within which the nodes must become ready.
	startTimeout = 15 * time.Second
	// recoveryTime is the time after the last fault within which the nodes must serve
	// requests reliably again.
	recoveryTime = 8 * time.Second
	callerCount  = 12
	// stallStream numbers the random stream of the stall faults.
	stallStream = 2
	// registryStream numbers the random stream of the faults of backends' entries.
	registryStream = 3
)

// regressionSeeds are seeds that once failed, each with the cause.
var regressionSeeds = []uint64{
	3004, // a SIGHUP during a planned stop terminated the process (TestHangupDuringAStop)
	// A SIGHUP reached a process 3 ms after its start, before the runtime handles signals, and
	// the process was not started again.
	115187816,
	// The node's log says that a request was answered with 504 after 4 s, but its caller got no response;
	// seen once for each of these seeds among 50 seeds under parallel load, not again in six runs. Cause unknown.
	115187855, 115187857,
	// A backend had restarted and asked for backoff before its new incarnation was known: the notice was
	// attributed to the previous incarnation, and three requests followed.
	56049,
	// Processes did not run for four to five seconds under parallel load, while callers wait at most six seconds.
	91005, 91007, 91008,
	// An engine had restarted with another version while its entry lagged, and did not answer when its stream broke off:
	// the stream continued at the version of the entry.
	64009,
	// An engine restarted with another version after it had been chosen to continue a stream, while the prompt was prefilled.
	64123, 64128,
	// A stopping node read a request on a kept connection 3.3 s after the stop began, while it waited for first requests on others, and
	// cut it at the end of its grace period.
	72118,
}

// quotaSeed is a regression seed of the same fault as 56049. A tenant's limit was exceeded under parallel load, while two of
// three nodes restarted and the store was restored twice: 55 requests in 8 s, 53 allowed.
const quotaSeed = 56016

// TestSoakQuotaAcrossRestartsAndRestores runs quotaSeed.
func TestSoakQuotaAcrossRestartsAndRestores(t *testing.T) { soak(t, quotaSeed, environmentDuration(t)) }

// standbySeed is a regression seed: an engine paused within a stream, and the standby rejected its run when that of the engine had
// been ended, while most engines rejected runs.
const standbySeed = 72107

// TestSoakStandbyRejectsItsRun runs standbySeed.
func TestSoakStandbyRejectsItsRun(t *testing.T) { soak(t, standbySeed, environmentDuration(t)) }

// TestHangupDuringAStop sends SIGHUP to a draining node. The node must end as
// planned, and the stream that it serves must be complete.
func TestHangupDuringAStop(t *testing.T) {
	h := newHarness(t, 250, 1, "")
	defer h.close()
	h.awaitReady()
	n := h.nodes[0]
	responses := make(chan observation, 1)
	go func() {
		responses <- send(&http.Transport{DisableKeepAlives: true}, n, kindStream, "stopping", true, steadyTenant)
	}()
	time.Sleep(200 * time.Millisecond)
	h.signal(n, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	h.signal(n, syscall.SIGHUP)
	if o := <-responses; !o.complete || o.body != standin.StreamText("stopping", eventCount) {
		t.Errorf("the stream is incomplete: %+v", o)
	}
	<-n.ended
	if code := n.process.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, n.log.String())
	}
}

func TestSoak(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { soak(t, seed, environmentDuration(t)) })
	}
}

// seeds returns the seed set in the environment, or the default seed and the
// regression seeds.
func seeds(t *testing.T) []uint64 {
	text := os.Getenv("SOAK_SEED")
	if text == "" {
		return append([]uint64{defaultSeed}, regressionSeeds...)
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return []uint64{seed}
}

func environmentDuration(t *testing.T) time.Duration {
	text := os.Getenv("SOAK_DURATION")
	if text == "" {
		return defaultDuration
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return duration
}

// environmentNodes returns the number of nodes set in the environment, or the given number. A seed draws
// the same faults with any number.
func environmentNodes(t *testing.T, defaultNodes int) int {
	text := os.Getenv("SOAK_NODES")
	if text == "" {
		return defaultNodes
	}
	nodes, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return nodes
}

// soak runs one seed, with the older build set in the environment, if any.
func soak(t *testing.T, seed uint64, duration time.Duration) {
	soakWithBuild(t, seed, duration, os.Getenv("SOAK_OLD"))
}

// soakWithBuild runs one seed with nodes that alternate between this build and an older one; empty for none.
func soakWithBuild(t *testing.T, seed uint64, duration time.Duration, older string) {
	random := rand.New(rand.NewPCG(seed, seed))
	h := newHarness(t, seed, environmentNodes(t, 3+random.IntN(4)), older)
	defer h.close()
	defer h.saveLogs(seed)
	h.awaitReady()
	load := startLoad(h, seed)
	disconnecting := startDisconnectingCallers(h, seed)
	crashCaller := startCrashCaller(h, seed)
	resuming := startResumingCallers(h, seed)
	slow := startSlowCallers(h, seed)
	long := startLongCallers(h, seed)
	raw := startRawCallers(h, seed)
	var injecting sync.WaitGroup
	injecting.Go(func() { h.injectStallFaults(rand.New(rand.NewPCG(seed, stallStream)), duration) })
	injecting.Go(func() { h.injectRegistryFaults(rand.New(rand.NewPCG(seed, registryStream)), duration) })
	injecting.Go(func() { h.injectNoticeFaults(rand.New(rand.NewPCG(seed, noticeStream)), duration) })
	injecting.Go(func() { h.injectLimits(rand.New(rand.NewPCG(seed, limitStream)), duration) })
	injecting.Go(func() { h.injectRestores(rand.New(rand.NewPCG(seed, restoreStream)), duration) })
	injecting.Go(func() { h.injectRejections(rand.New(rand.NewPCG(seed, rejectStream)), duration) })
	if older == "" {
		// Older builds do not know the versions of engines.
		injecting.Go(func() { h.injectVersions(rand.New(rand.NewPCG(seed, versionStream)), duration) })
	}
	h.injectFaults(random, duration)
	injecting.Wait()
	long.endRequests()
	raw.endRequests()
	h.renewEntries()
	time.Sleep(recoveryTime)
	disconnecting.stop()
	resumedStreams := resuming.stop()
	slowRequests := slow.stop()
	longRequests := slices.Concat(long.stop(), raw.stop())
	load.stop()
	crashRetries := crashCaller.stop()
	h.backendFaults.Wait()
	violations := checkObservations(load.observations(), h.runs(), h.disturbances)
	violations = append(violations, checkObservations(longRequests, h.runs(), h.allowingCuts())...)
	judged := h.ofThisBuild(slices.Concat(load.observations(), slowRequests, longRequests))
	runs, allowingCuts := h.runRecord(), h.allowingCuts()
	violations = append(violations, checkEnds(judged, runs, allowingCuts)...)
	orphaned, counted := countOrphaned(disconnecting.disconnects(), h.endings(), h.disturbances, h.interruptions)
	violations = append(violations, checkOrphaned(orphaned, counted)...)
	violations = append(violations, checkTenants(load.observations(), h.received())...)
	violations = append(violations, checkCrashes(crashRetries, h.crashes, h.received(), h.disturbances)...)
	record := h.noticeRecord(load.observations(), disconnecting.disconnects())
	ignoredNotices, leavingNotices := checkLeaving(load.observations(), record)
	ignoredBackoffs, backoffs := checkBackoffs(record)
	violations = append(violations, append(ignoredNotices, ignoredBackoffs...)...)
	excessCalls, limitedCalls := checkLimits(record)
	violations = append(violations, excessCalls...)
	violations = append(violations, checkResumed(resumedStreams, h.runs())...)
	held, expired := heldRequests(slowRequests, h.disturbances, h.starts)
	violations = append(violations, checkHeld(held, expired)...)
	violations = append(violations, checkSlowRejections(slowRequests, h.runs())...)
	violations = append(violations, h.checkRecovery()...)
	violations = append(violations, h.checkResumption(older)...)
	excessRetries, retries := h.checkUpstreamRetries()
	violations = append(violations, excessRetries...)
	statuses := map[int]int{}
	for _, o := range load.observations() {
		statuses[o.status]++
	}
	t.Logf("seed %d: %d nodes, %d requests, statuses %v, %d disturbances, %d of %d requests of disconnected callers continued, a crashing request was sent %d times and crashed %d backends, %d leaving notices, %d backoffs, %d requests to limited backends, %d upstream retries and %s checked, %d of %d slow requests held beyond their timeout: %s, ends of responses: %v",
		seed, len(h.nodes), len(load.observations()), statuses, len(h.disturbances), orphaned, counted, len(crashRetries), len(h.crashes), leavingNotices, backoffs, limitedCalls, retries, describeResumed(resumedStreams), len(held), expired, describeHeld(held), countEnds(judged, runs, allowingCuts))
	for _, violation := range violations {
		t.Error(violation)
	}
}

// saveLogs writes the nodes' logs to files if the seed failed.
func (h *harness) saveLogs(seed uint64) {
	if !h.t.Failed() {
		return
	}
	for _, n := range h.nodes {
		name := fmt.Sprintf("%s/reelrun-soak-%d-node-%d.log", os.TempDir(), seed, n.index)
		if err := os.WriteFile(name, []byte(n.log.String()), 0o600); err == nil {
			h.t.Logf("log of node %d: %s", n.index, name)
		}
	}
}

// awaitReady waits until every node is ready.
func (h *harness) awaitReady() {
	until := time.Now().Add(startTimeout)
	for _, n := range h.nodes {
		for !n.ready() {
			select {
			case <-n.ended:
				h.t.Fatalf("node %d ended: %s", n.index, n.log.String())
			default:
			}
			if time.Now().After(until) {
				h.t.Fatalf("node %d is not ready", n.index)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (n *node) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://127.0.0.1:%d/-/ready", n.ports[1]), http.NoBody)
	if err != nil {
		return false
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// checkRecovery sends each node requests of each kind, after the faults have ended.
func (h *harness) checkRecovery() []string {
	var sending sync.WaitGroup
	served := make([]int, len(h.nodes))
	for i, n := range h.nodes {
		sending.Go(func() { served[i] = countServed(n) })
	}
	sending.Wait()
	var violations []string
	for i, n := range h.nodes {
		if served[i] < recoveryAttempts*3/4 {
			violations = append(violations, fmt.Sprintf("node %d serves %d of %d requests after the faults", n.index, served[i], recoveryAttempts))
		}
	}
	return violations
}

// recoveryAttempts is how many requests each node is sent after the faults.
const recoveryAttempts = 12

// countServed returns how many requests a node serves after the faults.
func countServed(n *node) int {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	served := 0
	for i := range recoveryAttempts {
		k := []kind{kindNonIdempotent, kindIdempotent, kindStream, kindResumable}[i%4]
		// Seeds that run at the same time may reuse each other's ports, so identifiers differ between processes.
		id := fmt.Sprintf("after%d-%d-%d", os.Getpid(), n.index, i)
		if o := send(transport, n, k, id, true, steadyTenant); o.status == http.StatusOK && o.complete {
			served++
		}
	}
	return served
}
