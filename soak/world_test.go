package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	// events is how many events a stream has.
	events    = 12
	eventTime = 40 * time.Millisecond
	routeHost = "soak.example"
)

// binary is the daemon.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "reelrun-router")
	if output, err := exec.Command("go", "build", "-o", binary, "../cmd/reelrun-router").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, err, string(output))
		return 1
	}
	return m.Run()
}

// backEnd is a stand-in behind a proxy.
type backEnd struct {
	id      string
	service string
	stage   string
	zone    string
	// born is when its current life began, as a Unix millisecond.
	born atomic.Int64
	// lives are when its lives began; guarded by the world.
	lives  []time.Time
	proxy  *proxy
	engine *standin.Engine
	server *standin.Server
	web    *http.Server
	// crashed runs what ends it, once.
	crashed sync.Once
}

// world is everything around the nodes, and the nodes.
type world struct {
	t      *testing.T
	folder string
	store  *standin.Store
	web    *http.Server

	mu           sync.Mutex
	backEnds     []*backEnd
	nodes        []*node
	disturbances []disturbance
	// requests are those that callers sent.
	requests requestLog
	// older is another build of the daemon that nodes run by turns; empty for none.
	older string
	// zones is how many zones there are, and firstStart is set while all nodes start together for the first time.
	zones      int
	firstStart bool
	// starts are the starts of nodes' processes.
	starts []nodeStart
	// troubles are the times in which connections to back ends were in trouble.
	troubles []disturbance
	// crashes are the times at which a request ended a back end.
	crashes []time.Time
	// restarting counts the back ends that are about to start again.
	restarting sync.WaitGroup
	version    int
	made       int
	// added are routes that stay in all later versions.
	added   []string
	serving sync.WaitGroup
}

// node is one daemon, over all its processes.
type node struct {
	index int
	// requests takes note of those that callers send here.
	requests *requestLog
	ports    []int
	store    *proxy
	process  *exec.Cmd
	// started is when the process began, and ended is closed once it has ended.
	started time.Time
	ended   chan struct{}
	log     *logBuffer
}

type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *logBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func newWorld(t *testing.T, seed uint64, nodes int, older string) *world {
	return newFleet(t, seed, fleetShape{nodes: nodes, zones: 1, engines: 6, plain: 4, older: older})
}

// fleetShape is what a world consists of.
type fleetShape struct {
	nodes, zones   int
	engines, plain int
	// firstStart tells the nodes that all of them start together.
	firstStart bool
	// older is another build of the daemon that nodes run by turns; empty for none.
	older string
}

// newFleet starts a world of a shape. A third of its engines have the prefill role.
func newFleet(t *testing.T, seed uint64, shape fleetShape) *world {
	w := &world{t: t, folder: t.TempDir(), store: standin.NewStore(), older: shape.older, zones: shape.zones, firstStart: shape.firstStart}
	storeAddress := w.serve(w.store, &w.web)
	w.configure()
	for i := range shape.engines {
		stage := "decode"
		if i < shape.engines/3 {
			stage = "prefill"
		}
		w.addBackEnd("llm", stage)
	}
	for range shape.plain {
		w.addBackEnd("app", "")
	}
	for i := range shape.nodes {
		storeProxy, err := newProxy(storeAddress)
		if err != nil {
			t.Fatal(err)
		}
		w.nodes = append(w.nodes, &node{index: i, requests: &w.requests, ports: nodePorts(t, seed, i), store: storeProxy, log: &logBuffer{}})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

// serve answers HTTP on loopback.
func (w *world) serve(handler http.Handler, server **http.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	*server = &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	serving := *server
	w.serving.Go(func() { _ = serving.Serve(listener) })
	return listener.Addr().String()
}

// Ports of nodes lie below those that the system gives to connections, apart for
// each seed, so that nothing else takes one while a node is down.
const (
	firstPort   = 10_000
	portsOfSeed = 320
	seedsApart  = 70
	portsOfNode = 5
)

// nodePorts returns the ports of a node. Other processes may play the same seed on
// this machine: the ports differ by process, and the next free ones are taken.
func nodePorts(t *testing.T, seed uint64, index int) []int {
	first := (int(seed%seedsApart) + os.Getpid()) % seedsApart
	for shift := range seedsApart {
		base := firstPort + (first+shift)%seedsApart*portsOfSeed + index*portsOfNode
		if ports, free := portsFrom(base); free {
			return ports
		}
	}
	t.Fatal("no ports are free")
	return nil
}

// portsFrom returns the ports of a node from a first one, if they are free.
func portsFrom(base int) ([]int, bool) {
	ports := make([]int, portsOfNode)
	for i := range ports {
		ports[i] = base + i
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", ports[i]))
		if err != nil {
			return nil, false
		}
		_ = listener.Close()
	}
	return ports, true
}

// configure writes the next version.
func (w *world) configure() { w.configureWith(0) }

// configureWith writes the next version; routes of the soak are in each, and so many others.
func (w *world) configureWith(others int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	route := func(name, routeKind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "path_prefix": "/" + name + "/", "route_kind": routeKind, "timeout_ms": 4000,
			"target_latency_ms": 900, "priority": 1, "service": service, "max_attempts": attempts, "resumable": resumable, "target_gap_ms": 300,
		}
	}
	routes := []map[string]any{
		route("once", "unsafe", "app", 1, false), route("again", "safe", "app", 2, false),
		route("stream", "stream", "llm", 1, false), route("resume", "stream", "llm", 2, true),
	}
	for i := range w.version % 5 {
		routes = append(routes, route(fmt.Sprintf("more%d", i), "safe", "app", 2, false))
	}
	for _, name := range w.added {
		routes = append(routes, route(name, "safe", "app", 2, false))
	}
	for i := range others {
		routes = append(routes, route(fmt.Sprintf("other%x", (i+1)*w.version*0x9e3779b1), "safe", "app", 2, false))
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": routes,
		"services": []map[string]any{
			{"name": "llm", "max_connections": 300, "engine": map[string]any{"slots": 32, "kv_tokens": 90000, "hold_ms": 2000, "stride": 64, "stage_switch_s": 1}},
			{"name": "app", "max_connections": 300},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenantsOf(w.version),
	})
}

func (w *world) addBackEnd(service, stage string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.made++
	b := &backEnd{id: fmt.Sprintf("i-%d", w.made), service: service, stage: stage, zone: w.zoneOf(w.made)}
	b.begin()
	var handler http.Handler
	crashing := &standin.CrashTrigger{BodyContains: crashText, After: crashAfter, Crash: func() { w.crash(b) }}
	if service == "llm" {
		b.engine = standin.NewEngine(b.id, stage)
		b.engine.EventCount, b.engine.EventInterval, b.engine.StageSwitchTime = events, eventTime, time.Second
		b.engine.OnStageChange = func(stage string) { w.announce(b, "ready", stage) }
		b.engine.CrashTrigger = crashing
		handler = b.engine
	} else {
		b.server = standin.NewServer(b.id)
		b.server.WorkTime = 20 * time.Millisecond
		b.server.CrashTrigger = crashing
		handler = b.server
	}
	address := w.serve(handler, &b.web)
	var err error
	if b.proxy, err = newProxy(address); err != nil {
		w.t.Fatal(err)
	}
	w.backEnds = append(w.backEnds, b)
	w.announce(b, "ready", stage)
}

// begin notes that a life of the back end begins; the world is locked.
func (b *backEnd) begin() {
	now := time.Now()
	b.born.Store(now.UnixMilli())
	b.lives = append(b.lives, now)
}

func (w *world) announce(b *backEnd, state, stage string) {
	w.store.Put("servers", b.id, map[string]any{
		"service": b.service, "address": b.proxy.address(), "zone": b.zone, "slots": 32, "state": state, "stage": stage, "born": b.born.Load(),
	})
}

// zoneOf returns the zone of a node or a back end by its number.
func (w *world) zoneOf(number int) string { return string(rune('a' + number%w.zones)) }

// start begins a process of a node.
func (w *world) start(n *node) {
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", n.ports[i]) }
	settings := map[string]any{
		"node": fmt.Sprintf("node-%d", n.index), "ip": "127.0.0.1", "zone": w.zoneOf(n.index), "bootstrap": w.firstStart,
		"listen":           map[string]any{"front": address(0), "ready": address(1), "control": address(2)},
		"inner_port_range": []int{min(n.ports[3], n.ports[4]), max(n.ports[3], n.ports[4])},
		"seeds":            []string{fmt.Sprintf("127.0.0.1:%d", w.nodes[0].ports[2])},
		"limits":           map[string]any{"cpu_share": 0.4, "cores": 1},
		"bounds": map[string]any{"grace_s": 8, "retry_budget_ratio": retryRule.Ratio, "budget_window_s": retryRule.Window.Seconds(), "budget_slack": retryRule.Slack, "lease_ms": 1000,
			"quota_window_s": limitWindow.Seconds(), "quota_overshoot": limitOvershoot, "quota_slack": limitSlack},
		"platform": map[string]any{"address": n.store.address()},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		w.t.Fatal(err)
	}
	path := filepath.Join(w.folder, fmt.Sprintf("node-%d.json", n.index))
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		w.t.Fatal(err)
	}
	build, older := w.nextBuild(n)
	process := exec.Command(build)
	process.Env = []string{"REELRUN_SETTINGS=" + path, "GOMAXPROCS=1", "GOMEMLIMIT=200MiB"}
	process.Stdout, process.Stderr = n.log, n.log
	started := time.Now()
	if err := process.Start(); err != nil {
		w.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = process.Wait()
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	n.process, n.started, n.ended = process, started, ended
	w.starts = append(w.starts, nodeStart{nodeMoment{n.index, started}, older})
}

// signal sends a signal to a node's process.
func (w *world) signal(n *node, signal syscall.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = n.process.Process.Signal(signal) // It may have ended.
}

// disturb notes that a node is killed or stands still from now on. The function
// that it returns notes the end.
func (w *world) disturb(n *node) func() {
	from := time.Now()
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.disturbances = append(w.disturbances, disturbance{n.index, from, time.Now()})
	}
}

// received returns what reached the back ends of each request, prompts to be read included.
func (w *world) received() map[string][]standin.Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	received := map[string][]standin.Run{}
	for _, b := range w.backEnds {
		runs := b.runs()
		if b.engine != nil {
			runs = append(runs, b.engine.Prefills()...)
		}
		for _, run := range runs {
			received[run.ID] = append(received[run.ID], run)
		}
	}
	return received
}

// runs counts the runs of each request at all back ends that ever were.
func (w *world) runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for _, b := range w.backEnds {
		for _, run := range b.runs() {
			counts[run.ID]++
		}
	}
	return counts
}

// troubled notes a time in which connections to back ends or to the store are in trouble.
func (w *world) troubled(from, to time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.troubles = append(w.troubles, disturbance{from: from, to: to})
}

// endings returns when the back ends ended their work on each request; a run that goes on ends
// now.
func (w *world) endings() map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	endings := map[string]time.Time{}
	for _, b := range w.backEnds {
		for _, run := range b.runs() {
			ended := run.EndedAt
			if !run.Ended {
				ended = time.Now()
			}
			if ended.After(endings[run.ID]) {
				endings[run.ID] = ended
			}
		}
	}
	return endings
}

// runs returns what a back end has run.
func (b *backEnd) runs() []standin.Run {
	if b.engine != nil {
		return b.engine.Runs()
	}
	return b.server.Runs()
}

// close ends the processes that this world started, and its stand-ins.
func (w *world) close() {
	w.restarting.Wait()
	for _, n := range w.nodes {
		w.signal(n, syscall.SIGCONT)
		w.signal(n, syscall.SIGKILL)
		<-n.ended
		n.store.close()
	}
	for _, b := range w.backEnds {
		b.proxy.close()
		_ = b.web.Close()
	}
	_ = w.web.Close()
	w.serving.Wait()
}
