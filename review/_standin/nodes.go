package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond
	startDelay  = 500 * time.Millisecond // "started again after a short delay"
	sampleEvery = 2 * time.Millisecond
)

// Figures of the site that is played.
var (
	memoryMB = 134
	region   = "xela"
	zones    = []string{"sala-norte", "sala-centro", "sala-sur"}
	slack    = 56
	waitS    = 3.3
)

// node is a machine that runs the project's daemon.
type node struct {
	name, zone  string
	front       string
	ready       string
	control     string
	inner       [2]int
	path        string
	mu          sync.Mutex
	process     *exec.Cmd
	stopping    bool
	memoryEnds  int
	otherEnds   int
	peakKB      int
	log         *os.File
	misses      int
	isIn        bool
	everStarted bool
}

// fleet is the deployment: machines, store and the platform that starts processes.
type fleet struct {
	record  *record
	store   *store
	folder  string
	binary  string
	address string
	nodes   []*node
	// killOverMemory has the platform kill a process that goes over memory_mb (DEPLOY.md, "Machines").
	killOverMemory bool
	wait           sync.WaitGroup
	closed         chan struct{}
	// downAt is until when no process is started, after all were killed.
	downMu sync.Mutex
	downAt time.Time
}

var (
	processesMu sync.Mutex
	processes   = map[int]*exec.Cmd{}
)

// killAll ends all processes that this program has started.
func killAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		_ = p.Process.Kill()
	}
}

// Ports lie below the usual range of ephemeral ports. A run claims a range of them by a listener on its first port, which it
// keeps, so that two runs at the same time take different ones.
const (
	firstPort  = 14_000
	rangeSize  = 100
	rangeCount = 160
)

var (
	claim    net.Listener
	nextPort int
)

// claimPorts claims a range of ports.
func claimPorts() {
	for shift := range rangeCount {
		base := firstPort + (os.Getpid()+shift)%rangeCount*rangeSize
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(base))
		if err == nil {
			claim, nextPort = listener, base
			return
		}
	}
	cannotRun("no range of ports is free")
}

// freePort returns the next free port of the range.
func freePort() int {
	if claim == nil {
		claimPorts()
	}
	for nextPort++; nextPort%rangeSize != 0; nextPort++ {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(nextPort))
		if err == nil {
			_ = listener.Close()
			return nextPort
		}
	}
	cannotRun("no port is free")
	return 0
}

func newFleet(rec *record, perZone []int) *fleet {
	f := &fleet{record: rec, store: newStore(), closed: make(chan struct{})}
	f.binary = os.Getenv("ROUTER")
	if _, err := os.Stat(f.binary); err != nil {
		cannotRun("the program of the deploy file is not built: %v", err)
	}
	var err error
	if f.folder, err = os.MkdirTemp("", "review"); err != nil {
		cannotRun("%v", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	f.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, f.store) }()
	for z, count := range perZone {
		for i := range count {
			n := &node{name: fmt.Sprintf("front-%s-%d", zones[z], i+1), zone: zones[z]}
			at := func() string { return "127.0.0.1:" + strconv.Itoa(freePort()) }
			n.front, n.ready, n.control = at(), at(), at()
			n.inner[0] = freePort()
			n.inner[1] = n.inner[0] + 1
			nextPort++
			n.path = filepath.Join(f.folder, n.name+".json")
			f.nodes = append(f.nodes, n)
		}
	}
	return f
}

func (f *fleet) settings(n *node, first bool) {
	zoneTable := map[string]string{}
	for _, z := range zones {
		zoneTable[z] = region
	}
	var seeds []string
	for i := 0; i < len(f.nodes) && len(seeds) < 3; i += 3 {
		seeds = append(seeds, f.nodes[i].control)
	}
	_, port, _ := net.SplitHostPort(n.front)
	_ = port
	content, _ := json.MarshalIndent(map[string]any{
		"node": n.name, "role": "router", "machine_class": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1",
		"zone": n.zone, "region": region, "zones": zoneTable,
		"listen":           map[string]string{"front": n.front, "ready": n.ready, "control": n.control},
		"inner_port_range": n.inner, "seeds": seeds, "bootstrap": first, "counts_toward_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
		"tolerate":  map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
			"budget_slack": slack, "recovery_s": 12, "transit_ms": 120, "retry_after_s": waitS, "require_fence": false, "lease_ms": 3000, "thaw_slack_ms": 300},
		"platform": map[string]any{"address": f.address, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": maxObjectBytes, "ttl_min_ms": 1000},
	}, "", "  ")
	if err := os.WriteFile(n.path, content, 0o600); err != nil {
		cannotRun("%v", err)
	}
}

// start starts all machines.
func (f *fleet) start() {
	for _, n := range f.nodes {
		log, err := os.Create(filepath.Join(f.folder, n.name+".log"))
		if err != nil {
			cannotRun("%v", err)
		}
		n.log = log
		f.wait.Go(func() { f.supervise(n) })
	}
}

// supervise runs a machine's process, and starts it again when it has ended.
func (f *fleet) supervise(n *node) {
	for first := true; ; first = false {
		f.settings(n, first)
		process := exec.Command(f.binary)
		process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "REELRUN_SETTINGS=" + n.path}
		process.Stdout, process.Stderr = n.log, n.log
		process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := process.Start(); err != nil {
			cannotRun("start: %v", err)
		}
		processesMu.Lock()
		processes[process.Process.Pid] = process
		processesMu.Unlock()
		n.mu.Lock()
		n.process = process
		n.mu.Unlock()
		f.record.line("start     %s", n.name)
		ended := make(chan struct{})
		overMemory := make(chan int, 1)
		go func() { f.watchMemory(n, process.Process.Pid, ended, overMemory) }()
		_ = process.Wait()
		close(ended)
		processesMu.Lock()
		delete(processes, process.Process.Pid)
		processesMu.Unlock()
		n.mu.Lock()
		stopping := n.stopping
		select {
		case kb := <-overMemory:
			n.memoryEnds++
			f.record.line("end       %s: over its memory (%d MB of %d), killed as DEPLOY.md says", n.name, kb*1024/1_000_000, memoryMB)
		default:
			if !stopping && !time.Now().Before(f.downUntil()) {
				n.otherEnds++
				f.record.line("end       %s: %s", n.name, process.ProcessState)
			}
		}
		n.mu.Unlock()
		select {
		case <-f.closed:
			return
		case <-time.After(max(startDelay, time.Until(f.downUntil()))):
		}
	}
}

// watchMemory samples the memory of a process, and kills it once it is over the limit of its machine.
func (f *fleet) watchMemory(n *node, pid int, ended <-chan struct{}, over chan<- int) {
	page := os.Getpagesize() / 1024
	for {
		select {
		case <-ended:
			return
		case <-time.After(sampleEvery):
		}
		statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(statm))
		if len(fields) < 2 {
			continue
		}
		resident, _ := strconv.Atoi(fields[1])
		kb := resident * page
		n.mu.Lock()
		n.peakKB = max(n.peakKB, kb)
		n.mu.Unlock()
		if f.killOverMemory && kb*1024 > memoryMB*1_000_000 {
			over <- kb
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(n *node, signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(signal)
	}
}

func (f *fleet) downUntil() time.Time {
	f.downMu.Lock()
	defer f.downMu.Unlock()
	return f.downAt
}

// killAllAtOnce kills the processes of all machines, which are started again after a time.
func (f *fleet) killAllAtOnce(down time.Duration) {
	f.downMu.Lock()
	f.downAt = time.Now().Add(down)
	f.downMu.Unlock()
	f.record.line("fault     all processes are killed")
	for _, n := range f.nodes {
		f.signal(n, syscall.SIGKILL)
	}
}

// close ends all processes.
func (f *fleet) close() {
	close(f.closed)
	for _, n := range f.nodes {
		n.mu.Lock()
		n.stopping = true
		n.mu.Unlock()
		f.signal(n, syscall.SIGKILL)
	}
	f.wait.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}

// checkReady asks each node each second whether it is ready, as the platform does (PROTOCOL.md, "Ingress").
func (f *fleet) checkReady(ctx context.Context) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		var asked sync.WaitGroup
		for _, n := range f.nodes {
			asked.Go(func() {
				response, err := client.Get("http://" + n.ready + "/-/ready")
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				n.mu.Lock()
				defer n.mu.Unlock()
				if ok {
					n.misses, n.isIn = 0, true
					return
				}
				if n.misses++; n.misses >= 2 {
					n.isIn = false
				}
			})
		}
		asked.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func (n *node) in() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isIn
}

// awaitReady waits until all nodes are in.
func (f *fleet) awaitReady(limit time.Duration) {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		count := 0
		for _, n := range f.nodes {
			if n.in() {
				count++
			}
		}
		if count == len(f.nodes) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	cannotRun("the nodes are not ready after %v", limit)
}

// pick returns the node to which the platform passes a new connection of a client: by a hash, among those of its zone that
// are in; all of them where fewer than half are; those of other zones where none is.
func (f *fleet) pick(zone string, hash int) *node {
	var all, in, other []*node
	for _, n := range f.nodes {
		switch {
		case n.zone != zone:
			if n.in() {
				other = append(other, n)
			}
		case n.in():
			all, in = append(all, n), append(in, n)
		default:
			all = append(all, n)
		}
	}
	from := in
	if len(in) == 0 && len(other) > 0 {
		from = other
	} else if 2*len(in) < len(all) {
		from = all
	}
	return from[hash%len(from)]
}
