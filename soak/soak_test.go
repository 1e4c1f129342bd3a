package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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
)

// regressionSeeds once failed; each stands with a line on its cause.
var regressionSeeds = []uint64{
	3004, // a hangup during a planned stop ended the process (TestHangupDuringAStop)
}

// TestHangupDuringAStop sends SIGHUP to a node that drains, and wants it to end as
// planned, with the stream that it serves whole.
func TestHangupDuringAStop(t *testing.T) {
	w := newWorld(t, 250, 1)
	defer w.close()
	w.awaitReady()
	n := w.nodes[0]
	answers := make(chan observation, 1)
	go func() { answers <- ask(&http.Transport{DisableKeepAlives: true}, n, kindStream, "stopping", true) }()
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
	seeds := append([]uint64{environmentSeed(t)}, regressionSeeds...)
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { soak(t, seed, environmentDuration(t)) })
	}
}

func environmentSeed(t *testing.T) uint64 {
	text := os.Getenv("SOAK_SEED")
	if text == "" {
		return defaultSeed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return seed
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

// soak runs one seed.
func soak(t *testing.T, seed uint64, duration time.Duration) {
	random := rand.New(rand.NewPCG(seed, seed))
	w := newWorld(t, seed, 3+random.IntN(4))
	defer w.close()
	defer w.keepLogs(seed)
	w.awaitReady()
	load := startLoad(w, seed)
	w.faults(random, duration)
	time.Sleep(recoveryTime)
	load.stop()
	violations := judge(load.observations(), w.runs(), w.disturbances)
	violations = append(violations, w.recovered()...)
	statuses := map[int]int{}
	for _, o := range load.observations() {
		statuses[o.status]++
	}
	t.Logf("seed %d: %d nodes, %d requests, statuses %v, %d disturbances", seed, len(w.nodes), len(load.observations()), statuses, len(w.disturbances))
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
	l := &load{world: w, stopping: make(chan struct{}), prefix: fmt.Sprintf("s%d", seed)}
	for i := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(i)+100))
		l.done.Go(func() { l.call(random) })
	}
	return l
}

// call sends one request after the other, on kept connections for the most part.
func (l *load) call(random *rand.Rand) {
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
		o := ask(transport, n, kinds[random.IntN(len(kinds))], id, random.IntN(4) == 0)
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
func ask(transport http.RoundTripper, n *node, k kind, id string, lastOnConnection bool) observation {
	o := observation{id: id, kind: k, node: n.index, began: time.Now()}
	defer func() { o.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { sent.Store(info.Err == nil) }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://127.0.0.1:%d/%s/x", n.ports[0], k), strings.NewReader("body of "+id))
	if err != nil {
		return o
	}
	request.Host, request.Close, request.GetBody = routeHost, lastOnConnection, nil
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "4000", "X-Token-Counts": "3000,2000", "X-Length-Hint": "600",
	} {
		request.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(request)
	o.sent = sent.Load()
	if err != nil {
		return finished(o)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	o.sent, o.status, o.complete, o.body = true, response.StatusCode, err == nil, string(body)
	o.signature, o.requestID = response.Header.Get("X-Instance-Signature"), response.Header.Get("X-Request-Id")
	return finished(o)
}

func finished(o observation) observation {
	o.ended = time.Now()
	return o
}

// recovered asks each node for each kind, once the faults are over.
func (w *world) recovered() []string {
	var violations []string
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	for _, n := range w.nodes {
		served := 0
		const tries = 12
		for i := range tries {
			k := []kind{kindOnce, kindAgain, kindStream, kindResume}[i%4]
			if o := ask(transport, n, k, fmt.Sprintf("after-%d-%d", n.index, i), true); o.status == http.StatusOK && o.complete {
				served++
			}
		}
		if served < tries*3/4 {
			violations = append(violations, fmt.Sprintf("node %d serves %d of %d after the faults", n.index, served, tries))
		}
	}
	return violations
}

// faults injects faults in series, some of them at the same time, and waits until
// all are over.
func (w *world) faults(random *rand.Rand, duration time.Duration) {
	var running sync.WaitGroup
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		inject := w.draw(random)
		running.Go(inject)
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
	}
	running.Wait()
	w.heal()
}

// draw returns a fault with all its chances taken.
func (w *world) draw(random *rand.Rand) func() {
	n := w.nodes[random.IntN(len(w.nodes))]
	lasting := time.Duration(200+random.IntN(2300)) * time.Millisecond
	w.mu.Lock()
	b := w.backEnds[random.IntN(len(w.backEnds))]
	w.mu.Unlock()
	mode := []proxyMode{modeDelay, modeSilent, modeOneWay, modeRefuse}[random.IntN(4)]
	count := 1 + random.IntN(4)
	switch random.IntN(12) {
	case 0:
		return func() { w.freeze(n, lasting) }
	case 1:
		return func() { w.kill(n, lasting) }
	case 2:
		return func() { w.restart(n) }
	case 3:
		return func() { w.signal(n, syscall.SIGHUP) }
	case 4:
		return func() { w.hold(n.store, mode, lasting) }
	case 5:
		return func() { w.hold(b.proxy, mode, lasting) }
	case 6:
		return func() { b.proxy.reset() }
	case 7:
		return func() { w.deafStore(lasting) }
	case 8:
		return w.configure
	case 9:
		return func() { w.spoil(b, count) }
	case 10:
		return func() { w.spoil(b, count); n.store.reset() }
	default:
		return func() { w.replace(b) }
	}
}

func (w *world) freeze(n *node, lasting time.Duration) {
	end := w.disturb(n)
	w.signal(n, syscall.SIGSTOP)
	time.Sleep(lasting)
	w.signal(n, syscall.SIGCONT)
	end()
}

func (w *world) kill(n *node, lasting time.Duration) {
	end := w.disturb(n)
	w.mu.Lock()
	ended := n.ended
	w.mu.Unlock()
	w.signal(n, syscall.SIGCONT)
	w.signal(n, syscall.SIGKILL)
	<-ended
	time.Sleep(lasting)
	w.startOnce(n, ended)
	end()
}

// restart stops a node as planned: whatever it has taken must be answered.
func (w *world) restart(n *node) {
	w.mu.Lock()
	ended := n.ended
	w.mu.Unlock()
	w.signal(n, syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(12 * time.Second):
		// It was frozen meanwhile, or killed and started again.
		return
	}
	w.startOnce(n, ended)
}

// startOnce starts a node after a process has ended, unless another fault has.
func (w *world) startOnce(n *node, ended chan struct{}) {
	w.mu.Lock()
	isCurrent := n.ended == ended
	if isCurrent {
		n.ended = make(chan struct{})
	}
	w.mu.Unlock()
	if isCurrent {
		w.start(n)
	}
}

func (w *world) hold(p *proxy, mode proxyMode, lasting time.Duration) {
	p.set(mode)
	time.Sleep(lasting)
	p.set(modePass)
}

// deafStore has the store forget its watches and its history while things change.
func (w *world) deafStore(lasting time.Duration) {
	w.store.SetFaults(standin.StoreFaults{Deaf: true, LoseAnswers: 1})
	w.configure()
	time.Sleep(min(lasting, time.Second))
	w.store.Compact()
	w.store.SetFaults(standin.StoreFaults{})
}

// spoil has a back end fail in several ways.
func (w *world) spoil(b *backEnd, count int) {
	if b.engine != nil {
		b.engine.SetFaults(standin.EngineFaults{RefuseHandles: count, TearAfter: count, Tears: count, FailPrefills: count, SilentPrefills: 1, LateOrders: 1})
		return
	}
	b.server.SetFaults(standin.ServerFaults{
		Fail: count, Full: count, FullUnstated: 1, Torn: count, Lost: count, Other: 1, Unsigned: 1, Silent: 1,
	})
}

// replace lets a back end leave and another one come.
func (w *world) replace(b *backEnd) {
	w.addBackEnd(b.service, b.stage)
	w.announce(b, "draining", b.stage)
	time.Sleep(2500 * time.Millisecond)
	w.store.Remove("servers", b.id)
}

// heal ends what has no end of its own.
func (w *world) heal() {
	w.store.SetFaults(standin.StoreFaults{})
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.backEnds {
		b.proxy.set(modePass)
		if b.engine != nil {
			b.engine.SetFaults(standin.EngineFaults{})
		} else {
			b.server.SetFaults(standin.ServerFaults{})
		}
	}
	for _, n := range w.nodes {
		n.store.set(modePass)
	}
}
