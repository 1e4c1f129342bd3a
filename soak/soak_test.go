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
	"syscall"
	"testing"
	"time"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	defaultSeed     = 1
	defaultDuration = 6 * time.Second
	// startTime is how long the nodes have to become ready.
	startTime = 15 * time.Second
	// recoveryTime is how long after the last fault the promises of service hold
	// again.
	recoveryTime = 8 * time.Second
	callers      = 12
	// newerStream numbers the random stream of the newer faults.
	newerStream = 2
	// newestStream numbers that of the newest ones.
	newestStream = 3
)

// regressionSeeds once failed; each stands with a line on its cause.
var regressionSeeds = []uint64{
	3004, // a hangup during a planned stop ended the process (TestHangupDuringAStop)
	// A hangup reached a process 3 ms after its start, before the runtime handles signals, and
	// nobody started it again.
	115187816,
	// A request that was answered by 504 after 4 s, as the node's log says, and had no answer for
	// its caller; seen once each among 50 seeds beside load, not again in six runs. Not traced.
	115187855, 115187857,
	// A back end had started again and asked for backoff before its new life was known: the word was taken
	// for the life before, and three requests followed.
	56016, 56049,
	// Processes stood still for four to five seconds beside load, while callers wait six in all.
	91005, 91007, 91008,
}

// TestHangupDuringAStop sends SIGHUP to a node that drains, and wants it to end as
// planned, with the stream that it serves whole.
func TestHangupDuringAStop(t *testing.T) {
	w := newWorld(t, 250, 1, "")
	defer w.close()
	w.awaitReady()
	n := w.nodes[0]
	answers := make(chan observation, 1)
	go func() {
		answers <- ask(&http.Transport{DisableKeepAlives: true}, n, kindStream, "stopping", true, steadyTenant)
	}()
	time.Sleep(200 * time.Millisecond)
	w.signal(n, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	w.signal(n, syscall.SIGHUP)
	if o := <-answers; !o.complete || o.body != standin.StreamText("stopping", events) {
		t.Errorf("the stream was cut: %+v", o)
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

// seeds returns the seed that the environment names, or the default one and those
// that once failed.
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

// environmentNodes returns how many nodes the environment asks for, or the given number. Seeds draw
// the same with any number.
func environmentNodes(t *testing.T, drawn int) int {
	text := os.Getenv("SOAK_NODES")
	if text == "" {
		return drawn
	}
	nodes, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return nodes
}

// soak runs one seed, with the older build that the environment names, if it does.
func soak(t *testing.T, seed uint64, duration time.Duration) {
	soakBeside(t, seed, duration, os.Getenv("SOAK_OLD"))
}

// soakBeside runs one seed with an older build by turns; empty for none.
func soakBeside(t *testing.T, seed uint64, duration time.Duration, older string) {
	random := rand.New(rand.NewPCG(seed, seed))
	w := newWorld(t, seed, environmentNodes(t, 3+random.IntN(4)), older)
	defer w.close()
	defer w.keepLogs(seed)
	w.awaitReady()
	load := startLoad(w, seed)
	leavers := startLeavers(w, seed)
	crashCaller := startCrashCaller(w, seed)
	var newer sync.WaitGroup
	newer.Go(func() { w.newerFaults(rand.New(rand.NewPCG(seed, newerStream)), duration) })
	newer.Go(func() { w.newestFaults(rand.New(rand.NewPCG(seed, newestStream)), duration) })
	newer.Go(func() { w.noticeFaults(rand.New(rand.NewPCG(seed, noticeStream)), duration) })
	newer.Go(func() { w.rejections(rand.New(rand.NewPCG(seed, rejectStream)), duration) })
	w.faults(random, duration)
	newer.Wait()
	time.Sleep(recoveryTime)
	leavers.stop()
	load.stop()
	returns := crashCaller.stop()
	w.restarting.Wait()
	violations := judge(load.observations(), w.runs(), w.disturbances)
	late, counted := outlived(leavers.departures(), w.endings(), w.disturbances, w.troubles)
	violations = append(violations, judgeDepartures(late, counted)...)
	violations = append(violations, judgeTenants(load.observations(), w.received())...)
	violations = append(violations, judgeCrashes(returns, w.crashes, w.received(), w.disturbances)...)
	record := w.noticeRecord(load.observations(), leavers.departures())
	lateArrivals, words := judgeWords(load.observations(), record)
	unheeded, backoffs := judgeBackoffs(record)
	violations = append(violations, append(lateArrivals, unheeded...)...)
	violations = append(violations, w.recovered()...)
	exceeded, repeats := w.judgeRepeats()
	violations = append(violations, exceeded...)
	statuses := map[int]int{}
	for _, o := range load.observations() {
		statuses[o.status]++
	}
	t.Logf("seed %d: %d nodes, %d requests, statuses %v, %d disturbances, %d of %d callers that left were outlived, a request returned %d times and ended %d back ends, %d words, %d backoffs and %d repeats judged",
		seed, len(w.nodes), len(load.observations()), statuses, len(w.disturbances), late, counted, len(returns), len(w.crashes), words, backoffs, repeats)
	for _, violation := range violations {
		t.Error(violation)
	}
}

// keepLogs writes the logs of a failed seed's nodes to files.
func (w *world) keepLogs(seed uint64) {
	if !w.t.Failed() {
		return
	}
	for _, n := range w.nodes {
		name := fmt.Sprintf("%s/reelrun-soak-%d-node-%d.log", os.TempDir(), seed, n.index)
		if err := os.WriteFile(name, []byte(n.log.String()), 0o600); err == nil {
			w.t.Logf("log of node %d: %s", n.index, name)
		}
	}
}

// awaitReady waits until every node is ready.
func (w *world) awaitReady() {
	until := time.Now().Add(startTime)
	for _, n := range w.nodes {
		for !n.ready() {
			select {
			case <-n.ended:
				w.t.Fatalf("node %d ended: %s", n.index, n.log.String())
			default:
			}
			if time.Now().After(until) {
				w.t.Fatalf("node %d is not ready", n.index)
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

// recovered asks each node for each kind, once the faults are over.
func (w *world) recovered() []string {
	var asking sync.WaitGroup
	served := make([]int, len(w.nodes))
	for i, n := range w.nodes {
		asking.Go(func() { served[i] = servedAfter(n) })
	}
	asking.Wait()
	var violations []string
	for i, n := range w.nodes {
		if served[i] < recoveryTries*3/4 {
			violations = append(violations, fmt.Sprintf("node %d serves %d of %d after the faults", n.index, served[i], recoveryTries))
		}
	}
	return violations
}

// recoveryTries is how many requests each node is sent after the faults.
const recoveryTries = 12

// servedAfter returns how many requests a node serves after the faults.
func servedAfter(n *node) int {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	served := 0
	for i := range recoveryTries {
		k := []kind{kindOnce, kindAgain, kindStream, kindResume}[i%4]
		if o := ask(transport, n, k, fmt.Sprintf("after-%d-%d", n.index, i), true, steadyTenant); o.status == http.StatusOK && o.complete {
			served++
		}
	}
	return served
}
