package soak

import (
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
	// eventCount is the number of events of a stream, and eventInterval the time between them.
	eventCount    = 12
	eventInterval = 40 * time.Millisecond
	routeHost     = "soak.example"
	// stopGrace is the time that a planned stop gives the requests in progress, and lateStop the part of it after which the
	// requests of backends that are still at work may be cut, if they were sent at most sentAfterStop after the stop.
	stopGrace     = 8 * time.Second
	lateStop      = stopGrace * 5 / 6
	sentAfterStop = 3 * time.Second
)

// binary is the path of the daemon.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	if binary = os.Getenv("SOAK_BINARY"); binary != "" {
		return m.Run()
	}
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

// backend is a stand-in behind a proxy.
type backend struct {
	id      string
	service string
	stage   string
	zone    string
	// entryMu is held while it restarts, and while its entry is written: an entry names the version and the start of one
	// incarnation.
	entryMu sync.Mutex
	// startedMillis is the start of its current incarnation, in Unix milliseconds.
	startedMillis atomic.Int64
	// incarnations are the starts of its incarnations; guarded by the harness's mutex.
	incarnations []time.Time
	proxy        *proxy
	engine       *standin.Engine
	server       *standin.Server
	httpServer   *http.Server
	// crashOnce ensures that it crashes only once.
	crashOnce sync.Once
}

// harness holds the nodes and their environment.
type harness struct {
	t          *testing.T
	folder     string
	store      *standin.Store
	httpServer *http.Server
	// claim is a listener that claims the range of the nodes' ports.
	claim net.Listener

	mu           sync.Mutex
	backends     []*backend
	nodes        []*node
	disturbances []disturbance
	// lateStops are the times in which a planned stop of a node had used most of its grace period and its process still ran, for
	// requests sent before the stop or shortly after.
	lateStops []disturbance
	// planned are the streams that are longer than the others or pause.
	planned plannedStreams
	// requests records what callers sent.
	requests requestLog
	// older is another build of the daemon, with which nodes alternate; empty for none.
	older string
	// descriptors is the number of files that a node's process may have open; zero for the limit of the tests.
	descriptors int
	// memoryMegabytes is the memory of a node's machine; zero for none that is known.
	memoryMegabytes int
	// rollOut is the software version of the engines that are added; empty while it alternates.
	rollOut string
	// zones is the number of zones, and firstStart is set while all nodes start together for the first time.
	zones      int
	firstStart bool
	// starts are the starts of nodes' processes.
	starts []nodeStart
	// interruptions are the times in which connections to backends or to the store were disturbed.
	interruptions []disturbance
	// crashes are the times at which a request crashed a backend.
	crashes []time.Time
	// backendFaults counts the restarts, replacements and backoffs of backends that are in progress.
	backendFaults   sync.WaitGroup
	version         int
	backendsCreated int
	// addedRoutes are routes that are part of all later versions.
	addedRoutes []string
	serving     sync.WaitGroup
}

// node is one daemon with its successive processes.
type node struct {
	index int
	// requests records what callers send to this node.
	requests *requestLog
	ports    []int
	store    *proxy
	process  *exec.Cmd
	// started is when the process began, and ended is closed once it has ended.
	started time.Time
	ended   chan struct{}
	log     *logBuffer
}

func newHarness(t *testing.T, seed uint64, nodes int, older string) *harness {
	return newHarnessWith(t, seed, harnessOptions{nodes: nodes, zones: 1, engines: 6, plain: 4, older: older})
}

// harnessOptions configures a harness.
type harnessOptions struct {
	nodes, zones   int
	engines, plain int
	// firstStart configures the nodes for a start of the whole fleet.
	firstStart bool
	// older is another build of the daemon, with which nodes alternate; empty for none.
	older string
	// descriptors is the number of files that a node's process may have open; zero for the limit of the tests.
	descriptors int
	// memoryMegabytes is the memory of a node's machine; zero for none that is known.
	memoryMegabytes int
	// storeHandler returns the handler that serves the store; nil for the store itself.
	storeHandler func(*standin.Store) http.Handler
}

// newHarnessWith starts a harness. A third of its engines have the prefill role.
func newHarnessWith(t *testing.T, seed uint64, options harnessOptions) *harness {
	h := &harness{
		t: t, folder: t.TempDir(), store: standin.NewStore(), older: options.older, zones: options.zones, firstStart: options.firstStart,
		descriptors: options.descriptors, memoryMegabytes: options.memoryMegabytes,
	}
	var storeHandler http.Handler = h.store
	if options.storeHandler != nil {
		storeHandler = options.storeHandler(h.store)
	}
	storeAddress := h.serve(storeHandler, &h.httpServer)
	h.configure()
	for i := range options.engines {
		stage := "decode"
		if i < options.engines/3 {
			stage = "prefill"
		}
		h.addBackend("llm", stage)
	}
	for range options.plain {
		h.addBackend("app", "")
	}
	for i, ports := range h.claimPorts(seed, options.nodes) {
		storeProxy, err := newProxy(storeAddress)
		if err != nil {
			t.Fatal(err)
		}
		h.nodes = append(h.nodes, &node{index: i, requests: &h.requests, ports: ports, store: storeProxy, log: &logBuffer{}})
	}
	for _, n := range h.nodes {
		h.start(n)
	}
	return h
}

// serve serves HTTP on loopback.
func (h *harness) serve(handler http.Handler, server **http.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	*server = &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	serving := *server
	h.serving.Go(func() { _ = serving.Serve(listener) })
	return listener.Addr().String()
}

// Ports of nodes lie below the system's range of ephemeral ports, and each seed has its own
// range, so that no other process takes a port while a node is down.
const (
	firstPort    = 10_000
	portsPerSeed = 320
	portRanges   = 70
	portsPerNode = 5
)

// claimPorts claims a range of ports for nodes, and returns the ports of each node. Other processes may run the same seed on this
// machine, so the first range depends on the process ID, and ranges in use are skipped. The claim is a listener on the last port of
// the range: it holds while nodes have not started yet, or are down.
func (h *harness) claimPorts(seed uint64, nodes int) [][]int {
	first := (int(seed%portRanges) + os.Getpid()) % portRanges
	for shift := range portRanges {
		base := firstPort + (first+shift)%portRanges*portsPerSeed
		claim, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+portsPerSeed-1))
		if err != nil {
			continue
		}
		if ports, free := portsFrom(base, nodes); free {
			h.claim = claim
			return ports
		}
		_ = claim.Close()
	}
	h.t.Fatal("no ports are free")
	return nil
}

// portsFrom returns consecutive ports for nodes, beginning with base, if all of them are free.
func portsFrom(base, nodes int) ([][]int, bool) {
	ports := make([][]int, nodes)
	for i := range nodes * portsPerNode {
		port := base + i
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return nil, false
		}
		_ = listener.Close()
		ports[i/portsPerNode] = append(ports[i/portsPerNode], port)
	}
	return ports, true
}

// configure stores the next version of the configuration.
func (h *harness) configure() { h.configureWith(0) }

// configureWith stores the next version, with the routes that the soak test uses and the given number of others.
func (h *harness) configureWith(others int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version++
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
	for _, k := range []kind{kindLong, kindLongResumable} {
		long := route(string(k), "stream", "llm", 1, false)
		if k.isIdempotent() {
			long = route(string(k), "stream", "llm", 2, true)
		}
		long["timeout_ms"] = longTimeout.Milliseconds()
		routes = append(routes, long)
	}
	for i := range h.version % 5 {
		routes = append(routes, route(fmt.Sprintf("more%d", i), "safe", "app", 2, false))
	}
	for _, name := range h.addedRoutes {
		routes = append(routes, route(name, "safe", "app", 2, false))
	}
	for i := range others {
		routes = append(routes, route(fmt.Sprintf("other%x", (i+1)*h.version*0x9e3779b1), "safe", "app", 2, false))
	}
	h.store.Put("config", "main", map[string]any{
		"version": h.version, "routes": routes,
		"services": []map[string]any{
			{"name": "llm", "max_connections": 300, "engine": map[string]any{"slots": 32, "kv_tokens": 90000, "hold_ms": 2000, "stride": 64, "stage_switch_s": 1}},
			{"name": "app", "max_connections": 300},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenantsFor(h.version),
	})
}

func (h *harness) addBackend(service, stage string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.backendsCreated++
	b := &backend{id: fmt.Sprintf("i-%d", h.backendsCreated), service: service, stage: stage, zone: h.zoneOf(h.backendsCreated)}
	b.recordStart()
	var handler http.Handler
	crashTrigger := &standin.CrashTrigger{BodyContains: crashText, PromptPart: crashPart, After: crashAfter, Crash: func() { h.crash(b) }}
	if service == "llm" {
		b.engine = standin.NewEngine(b.id, stage)
		b.engine.EventCount, b.engine.EventInterval, b.engine.StageSwitchTime = eventCount, eventInterval, time.Second
		b.engine.OnStageChange = func(stage string) { h.announce(b, "ready", stage) }
		b.engine.CrashTrigger = crashTrigger
		b.engine.MarkVersions = true
		b.engine.PlanStream = h.planned.next
		b.engine.RestartWith(h.versionOfNext(), b.startedMillis.Load())
		handler = b.engine
	} else {
		b.server = standin.NewServer(b.id)
		b.server.WorkTime = 20 * time.Millisecond
		b.server.CrashTrigger = crashTrigger
		handler = b.server
	}
	address := h.serve(handler, &b.httpServer)
	var err error
	if b.proxy, err = newProxy(address); err != nil {
		h.t.Fatal(err)
	}
	h.backends = append(h.backends, b)
	h.announce(b, "ready", stage)
}

// recordStart records the start of an incarnation; the caller holds the harness's lock. No two starts have the same millisecond:
// they could have different versions.
func (b *backend) recordStart() {
	now := time.Now()
	b.startedMillis.Store(max(now.UnixMilli(), b.startedMillis.Load()+1))
	b.incarnations = append(b.incarnations, now)
}

func (h *harness) announce(b *backend, state, stage string) {
	b.entryMu.Lock()
	defer b.entryMu.Unlock()
	version := softwareVersions[0]
	if b.engine != nil {
		version = b.engine.SoftwareVersion()
	}
	h.store.Put("servers", b.id, map[string]any{
		"service": b.service, "address": b.proxy.address(), "zone": b.zone, "slots": 32, "state": state, "stage": stage, "born": b.startedMillis.Load(),
		"version": version,
	})
}

// zoneOf returns the zone of a node or a backend by its number.
func (h *harness) zoneOf(number int) string { return string(rune('a' + number%h.zones)) }

// start starts a process of a node.
func (h *harness) start(n *node) {
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", n.ports[i]) }
	settings := map[string]any{
		"node": fmt.Sprintf("node-%d", n.index), "ip": "127.0.0.1", "zone": h.zoneOf(n.index), "bootstrap": h.firstStart,
		"listen":           map[string]any{"front": address(0), "ready": address(1), "control": address(2)},
		"inner_port_range": []int{min(n.ports[3], n.ports[4]), max(n.ports[3], n.ports[4])},
		"seeds":            []string{fmt.Sprintf("127.0.0.1:%d", h.nodes[0].ports[2])},
		"limits":           map[string]any{"cpu_share": 0.4, "cores": 1, "max_fds": h.descriptors, "memory_mb": h.memoryMegabytes},
		"bounds": map[string]any{"grace_s": stopGrace.Seconds(), "retry_budget_ratio": retryRule.Ratio, "budget_window_s": retryRule.Window.Seconds(), "budget_slack": retryRule.Slack, "lease_ms": 1000,
			"quota_window_s": limitWindow.Seconds(), "quota_overshoot": limitOvershoot, "quota_slack": limitSlack},
		"platform": map[string]any{"address": n.store.address()},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		h.t.Fatal(err)
	}
	path := filepath.Join(h.folder, fmt.Sprintf("node-%d.json", n.index))
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		h.t.Fatal(err)
	}
	build, older := h.nextBuild(n)
	process := exec.Command(build)
	if h.descriptors > 0 {
		// The shell sets the limit and becomes the daemon.
		process = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, h.descriptors), build)
	}
	process.Env = []string{"REELRUN_SETTINGS=" + path, "GOMAXPROCS=1", "GOMEMLIMIT=200MiB"}
	process.Stdout, process.Stderr = n.log, n.log
	started := time.Now()
	if err := process.Start(); err != nil {
		h.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = process.Wait()
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	n.process, n.started, n.ended = process, started, ended
	h.starts = append(h.starts, nodeStart{nodeEvent{n.index, started}, older})
}

func (h *harness) signal(n *node, signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = n.process.Process.Signal(signal) // The process may have ended.
}

// recordDisturbance begins a time in which a node is killed or frozen. The function that
// it returns ends this time and records it.
func (h *harness) recordDisturbance(n *node) func() {
	from := time.Now()
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.disturbances = append(h.disturbances, disturbance{node: n.index, from: from, to: time.Now()})
	}
}

// received returns the runs at the backends by request, prefills included.
func (h *harness) received() map[string][]standin.Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	received := map[string][]standin.Run{}
	for _, b := range h.backends {
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

// runs counts the runs of each request at all backends, including removed ones.
func (h *harness) runs() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[string]int{}
	for _, b := range h.backends {
		for _, run := range b.runs() {
			counts[run.ID]++
		}
	}
	return counts
}

// recordInterruption records a time in which connections to backends or to the store are disturbed.
func (h *harness) recordInterruption(from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.interruptions = append(h.interruptions, disturbance{from: from, to: to})
}

// endings returns when the backends ended their work on each request; a run in progress counts as
// ending now.
func (h *harness) endings() map[string]time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	endings := map[string]time.Time{}
	for _, b := range h.backends {
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

// runs returns the runs of a backend.
func (b *backend) runs() []standin.Run {
	if b.engine != nil {
		return b.engine.Runs()
	}
	return b.server.Runs()
}

// close terminates the processes that this harness started, and its stand-ins.
func (h *harness) close() {
	h.backendFaults.Wait()
	for _, n := range h.nodes {
		h.signal(n, syscall.SIGCONT)
		h.signal(n, syscall.SIGKILL)
		<-n.ended
		n.store.close()
	}
	for _, b := range h.backends {
		b.proxy.close()
		_ = b.httpServer.Close()
	}
	_ = h.httpServer.Close()
	_ = h.claim.Close()
	h.serving.Wait()
}
