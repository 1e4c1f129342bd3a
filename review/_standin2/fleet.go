package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
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

	"github.com/reelrun/reelrun/platform/standin"
)

// The bounds of the deployment fisio-xela.
const (
	memoryMegabytes = 134
	descriptors     = 4100
	graceSeconds    = 8
	contact         = 3 * time.Second
)

// fleet is a deployment on loopback: the project's daemon as separate processes, and stand-ins for the platform.
type fleet struct {
	folder string
	record *record
	store  *standin.Store
	claims []net.Listener

	storeAddress string
	nodes        []*node
}

// node is an entry machine.
type node struct {
	name, zone, path      string
	front, ready, control string
	settings              map[string]any

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	stopped bool
	log     *os.File
	// peak is the greatest memory of a process of it, in bytes; kills are the times at which the platform killed one for its memory.
	peak  int64
	kills []time.Time
}

// record writes what happened to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", arguments...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, arguments ...any) {
	r.line(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// serve serves HTTP on a loopback address.
func serve(handler http.Handler) (address string, listener net.Listener, err error) {
	if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), listener, nil
}

func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "reelrun-review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: r, store: standin.NewStore()}
	f.storeAddress, _, err = serve(paged{f.store})
	return f, err
}

// freePorts returns free ports, consecutive if count is above one.
func freePorts(count int) (int, error) {
	for base := 12000 + os.Getpid()*64%18000; base < 32000; base += count {
		free := true
		for i := range count {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// addNodes prepares nodes in the zones, in turn.
func (f *fleet) addNodes(count int, zones []string) error {
	const perNode = 8
	base, err := freePorts(count * perNode)
	if err != nil {
		return err
	}
	for i := range count {
		port := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", base+i*perNode+offset) }
		n := &node{
			name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], front: port(0), ready: port(1), control: port(2),
			path: filepath.Join(f.folder, fmt.Sprintf("front-%d.json", i+1)),
		}
		n.settings = map[string]any{
			"node": n.name, "role": "router", "machine_class": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1",
			"zone": n.zone, "region": "xela", "listen": map[string]any{"front": n.front, "ready": n.ready, "control": n.control},
			"inner_port_range": []int{base + i*perNode + 3, base + i*perNode + 7},
			"seeds":            []string{fmt.Sprintf("127.0.0.1:%d", base+2)}, "bootstrap": true,
			"limits": map[string]any{
				"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMegabytes, "max_fds": descriptors, "link_mbps": 1000.0, "disk_mb": 0,
			},
			"heartbeat_ms": 1200, "tolerate": map[string]any{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": graceSeconds,
				"loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2,
				"budget_window_s": 10, "budget_slack": 56, "recovery_s": 12, "transit_ms": 120, "retry_after_s": 3.3, "require_fence": false,
				"lease_ms": 3000, "thaw_slack_ms": 300,
			},
			"platform": map[string]any{
				"address": f.storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
				"value_bytes": 1048576, "ttl_min_ms": 1000,
			},
		}
		f.nodes = append(f.nodes, n)
	}
	return nil
}

// start starts the process of a node with the command of the deploy file.
func (f *fleet) start(n *node) error {
	encoded, err := json.Marshal(n.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.path, encoded, 0o600); err != nil {
		return err
	}
	if n.log == nil {
		if n.log, err = os.Create(strings.TrimSuffix(n.path, ".json") + ".log"); err != nil {
			return err
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil
	}
	process := exec.Command("target/reelrun-router")
	process.Env = []string{"REELRUN_SETTINGS=" + n.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	process.Stdout, process.Stderr = n.log, n.log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	n.process, n.ended = process, make(chan struct{})
	go func(ended chan struct{}) {
		_ = process.Wait()
		close(ended)
	}(n.ended)
	n.settings["bootstrap"] = false
	return nil
}

// signal signals the process of a node.
func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(signal)
}

// kill kills the process of a node and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// memory returns the anonymous memory of the process of a node, in bytes.
func (n *node) memory() int64 {
	n.mu.Lock()
	pid := n.process.Process.Pid
	n.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// limitMemory does what DEPLOY.md says of the platform: "A process that goes over `memory_mb` is killed", and "a process that ends or
// is killed is started again after a short delay".
func (f *fleet) limitMemory(n *node, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := n.memory()
		n.peak = max(n.peak, used)
		if used <= memoryMegabytes<<20 {
			continue
		}
		n.mu.Lock()
		n.kills = append(n.kills, time.Now())
		n.mu.Unlock()
		f.record.line("%s: %d MB of its own memory, over memory_mb = %d: killed", n.name, used>>20, memoryMegabytes)
		n.kill()
		time.Sleep(time.Second)
		if err := f.start(n); err != nil {
			f.record.line("%s: %v", n.name, err)
		}
	}
}

// isReady asks a node what the platform asks it.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range f.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(f.nodes) {
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready within %v", limit)
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.stopped = true
		process, ended := n.process, n.ended
		n.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		<-ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}
