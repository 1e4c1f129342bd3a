package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/operator"
	"github.com/reelrun/reelrun/sim/enginesim"
	"github.com/reelrun/reelrun/sim/fault"
	"github.com/reelrun/reelrun/sim/load"
)

const operatorToken = "operator"

// binaries is the folder of the built commands.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "processtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	build := exec.Command("go", "build", "-o", folder, "../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, err, string(output))
		return 1
	}
	binaries = folder
	return m.Run()
}

// process is a started command.
type process struct {
	command *exec.Cmd
	output  *lockedBuffer
	ended   chan error
}

// lockedBuffer collects a process's output. It is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func start(t *testing.T, name string, arguments ...string) *process {
	t.Helper()
	started := &process{command: exec.Command(filepath.Join(binaries, name), arguments...), output: &lockedBuffer{}, ended: make(chan error, 1)}
	started.command.Stdout, started.command.Stderr = started.output, started.output
	if err := started.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { started.ended <- started.command.Wait() }()
	t.Cleanup(func() {
		_ = started.command.Process.Signal(syscall.SIGCONT)
		_ = started.command.Process.Kill()
		if t.Failed() {
			t.Logf("%s: %s", name, started.output)
		}
	})
	return started
}

func (p *process) signal(t *testing.T, signal os.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// kill terminates the process and waits for its end.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.ended
}

// Ports of the processes lie below the system's range of ephemeral ports, so that no connection of another
// process takes a port between its choice and the start of the process.
const (
	firstPort = 30_000
	portCount = 2_500
)

// portsChosen counts the ports tried so far. The first port depends on the ID of the test process.
var portsChosen atomic.Int64

// freeAddress returns a loopback address that no process listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + (int64(os.Getpid())*31+portsChosen.Add(1))%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = listener.Close()
			return listener.Addr().String()
		}
	}
	t.Fatal("no ports are free")
	return ""
}

// node is one reelrund process, with its addresses and arguments.
type node struct {
	*process
	name, callerAddress, peerAddress, operatorAddress string
	arguments                                         []string
}

// fleet is a small system of processes.
type fleet struct {
	// security is nil for a fleet without TLS.
	security        *security
	platform        *process
	platformAddress string
	nodes           []*node
	engineAddresses []string
	configuration   api.Configuration
}

const waitTimeout = 60 * time.Second

// eventually waits for a condition. Only a failing test reaches the timeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func startFleet(t *testing.T, nodes int) *fleet {
	t.Helper()
	return startFleetWith(t, nodes, nil)
}

func startFleetWith(t *testing.T, nodes int, secured *security) *fleet {
	t.Helper()
	f := &fleet{platformAddress: freeAddress(t), security: secured}
	f.platform = start(t, "reelrun-sim", "platform", "-address", f.platformAddress, "-machine-lag", "100ms")
	pool := api.Pool{Name: "pool", Model: "model", Zone: "zone", ChecksFencingToken: true}
	for number := range 4 {
		role := []api.Role{api.RolePrefill, api.RoleDecode}[number%2]
		address := freeAddress(t)
		name := fmt.Sprintf("engine-%d", number)
		start(t, "reelrun-sim", "engine", "-address", address, "-name", name, "-model", "model", "-role", string(role), "-step", "20ms", "-platform", f.platformAddress, "-checks-fence")
		f.engineAddresses = append(f.engineAddresses, address)
		pool.Engines = append(pool.Engines, api.Engine{Name: name, Address: address, Role: role})
	}
	f.configuration = api.Configuration{
		Tenants: []api.Tenant{{Name: "tenant", TokenHashes: []string{configuration.HashToken("token")}, Classes: []string{"long"}}},
		Classes: []api.Class{{Name: "long", Model: "model", FirstToken: api.Duration(2 * time.Second), TokenInterval: api.Duration(100 * time.Millisecond), MaxOutputTokens: 20000}},
		Pools:   []api.Pool{pool},
	}
	var seeds []string
	for number := range nodes {
		added := &node{name: fmt.Sprintf("node-%d", number), callerAddress: freeAddress(t), peerAddress: freeAddress(t), operatorAddress: freeAddress(t)}
		seeds = append(seeds, added.peerAddress)
		f.nodes = append(f.nodes, added)
	}
	for _, added := range f.nodes {
		added.arguments = []string{
			"-name", added.name, "-zone", "zone", "-caller-address", added.callerAddress, "-peer-address", added.peerAddress,
			"-operator-address", added.operatorAddress, "-platform-address", f.platformAddress, "-seeds", strings.Join(seeds, ","),
			"-operator-token-hash", configuration.HashToken(operatorToken), "-drain-delay", "200ms", "-resume-window", "2s",
		}
		added.arguments = append(added.arguments, secured.arguments(t, added.name)...)
		added.process = start(t, "reelrund", added.arguments...)
	}
	f.accept(t, operator.Intent{Action: operator.ActionApply, Objects: f.configuration})
	for _, started := range f.nodes {
		f.awaitReady(t, started)
	}
	return f
}

func (f *fleet) client(through *node) *operator.Client {
	return &operator.Client{BaseURL: f.security.url(through.operatorAddress), Token: operatorToken, HTTP: f.security.client()}
}

// accept plans an intent and confirms the plan through the first node.
func (f *fleet) accept(t *testing.T, intent operator.Intent) {
	t.Helper()
	eventually(t, "acceptance", func() bool {
		client := f.client(f.nodes[0])
		plan, err := client.Plan(context.Background(), intent)
		if err != nil {
			return false
		}
		_, err = client.Confirm(context.Background(), plan)
		return err == nil
	})
}

func (f *fleet) awaitReady(t *testing.T, awaited *node) {
	t.Helper()
	eventually(t, awaited.name+" being ready", func() bool {
		return status(f.security.client(), f.security.url(awaited.callerAddress)+"/readyz") == http.StatusOK
	})
}

func status(client *http.Client, target string) int {
	response, err := client.Get(target)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

func getJSON(target string, value any) bool {
	response, err := http.Get(target)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(value) == nil
}

// ledgers returns the engines' reports of what they have run.
func (f *fleet) ledgers() []enginesim.Report {
	var reports []enginesim.Report
	for _, address := range f.engineAddresses {
		var report enginesim.Report
		if getJSON("http://"+address+enginesim.PathLedger, &report) {
			reports = append(reports, report)
		}
	}
	return reports
}

func (f *fleet) heldStreams() int {
	held := 0
	for _, report := range f.ledgers() {
		held += report.HeldStreams
	}
	return held
}

func (f *fleet) countEntries(kind enginesim.EntryKind) int {
	count := 0
	for _, report := range f.ledgers() {
		for _, entry := range report.Entries {
			if entry.Kind == kind {
				count++
			}
		}
	}
	return count
}

func setFaults(t *testing.T, address string, faults fault.Faults) {
	t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+address+fault.Path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

func newKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

// send starts a request. Its result is sent on the returned channel.
func (f *fleet) send(ctx context.Context, key string, tokens int, nodes ...*node) <-chan load.Result {
	done := make(chan load.Result, 1)
	var addresses []string
	for _, through := range nodes {
		addresses = append(addresses, f.security.url(through.callerAddress))
	}
	go func() {
		done <- load.Send(ctx, load.Call{
			Client: f.security.client(), Nodes: addresses, Key: key, Tokens: tokens,
			Prompt: strings.Repeat("some words ", 100),
			Kind: &load.Kind{
				Name: "long", Token: "token", Class: "long", Model: "model", Stream: true,
				FirstToken: api.Duration(2 * time.Second), TokenInterval: api.Duration(100 * time.Millisecond),
			},
		})
	}()
	return done
}

func expectAnswered(t *testing.T, result load.Result) {
	t.Helper()
	if result.Ending != load.EndingAnswered || result.DuplicateTokens != 0 {
		t.Fatalf("%s after %d attempts, %d duplicate tokens: %s %v", result.Ending, result.Attempts, result.DuplicateTokens, result.Detail, result.Failure)
	}
}
