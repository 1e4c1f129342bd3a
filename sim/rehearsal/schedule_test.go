package rehearsal

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/machines"
	"github.com/reelrun/reelrun/operator"
	"github.com/reelrun/reelrun/sim/fault"
	"github.com/reelrun/reelrun/sim/load"
	"github.com/reelrun/reelrun/sim/memnet"
)

// operation is one kind of step of a schedule.
type operation int

const (
	opRequest operation = iota
	opKill
	opStart
	opStop
	opIsolate
	opHeal
	opIsolateFromPlatform
	opOutage
	opDropResponses
	opAbortExchanges
	opFreezeEngine
	opStallTransfers
	opEndFaults
	opLeave
	opConfigure
	opRace
	opCount
)

// step is one operation with its arguments and the pause after it. What the arguments
// a and b select depends on the operation.
type step struct {
	op    operation
	a, b  int
	pause time.Duration
}

func (s step) String() string { return fmt.Sprintf("%d(%d,%d)+%s", s.op, s.a, s.b, s.pause) }

func drawStep(t *rapid.T) step {
	// Half of the steps are requests, since faults in an idle fleet would show little.
	op := operation(rapid.IntRange(0, 2*int(opCount)-1).Draw(t, "op"))
	if op >= opCount {
		op = opRequest
	}
	return step{
		op: op, a: rapid.IntRange(0, 63).Draw(t, "a"), b: rapid.IntRange(0, 63).Draw(t, "b"),
		pause: time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond,
	}
}

// execution is the state of a running schedule.
type execution struct {
	fleet    *Fleet
	monitor  *Monitor
	random   *rand.Rand
	isolated map[string]bool
	requests int
	stopping sync.WaitGroup

	mu      sync.Mutex
	results []load.Result
	running sync.WaitGroup
}

func (e *execution) apply(s step) {
	names := e.fleet.NodeNames()
	name := names[s.a%len(names)]
	switch s.op {
	case opRequest:
		e.request(s)
	case opKill:
		if len(e.fleet.Alive()) > 1 {
			e.fleet.Kill(name)
		}
	case opStart:
		if e.fleet.IsDown(name) {
			e.fleet.Start(name)
		}
	case opStop:
		e.stop(name)
	case opIsolate:
		e.isolated[e.fleet.Node(name).Host] = true
		e.block()
	case opHeal:
		e.heal()
	case opIsolateFromPlatform:
		e.fleet.Platform.SetUnreachable(name, s.b%2 == 0)
	case opOutage:
		e.fleet.Platform.SetOutage(s.b%2 == 0)
	case opDropResponses:
		e.fleet.Platform.DropResponses(s.b % 4)
	default:
		e.applyToEngines(s)
	}
}

func (e *execution) applyToEngines(s step) {
	engine := e.fleet.Engines[fmt.Sprintf("engine-%d", s.a%len(e.fleet.Engines))]
	switch s.op {
	case opAbortExchanges:
		e.fleet.HTTP.Abort(func(link memnet.Link) bool { return link.To == engine.Host })
	case opFreezeEngine:
		engine.Faults.Set(fault.Faults{Freeze: true})
	case opStallTransfers:
		engine.Faults.Set(fault.Faults{Freeze: true, PathPrefix: "/v1/kv"})
	case opEndFaults:
		for _, faulty := range e.fleet.Engines {
			faulty.Faults.Set(fault.Faults{})
		}
	case opLeave:
		e.leave(s)
	case opConfigure:
		e.configure(s.a, s.b)
	case opRace:
		e.configure(s.a, s.b)
		e.configure(s.a+1, s.b+1)
	}
}

// stop begins a planned stop, unless the node is the last one.
func (e *execution) stop(name string) {
	if len(e.fleet.Alive()) < 2 {
		return
	}
	e.stopping.Add(1)
	go func() {
		defer e.stopping.Done()
		e.fleet.Stop(name)
	}()
}

// block blocks all links from and to the isolated hosts.
func (e *execution) block() {
	isolated := make(map[string]bool, len(e.isolated))
	for host := range e.isolated {
		isolated[host] = true
	}
	e.fleet.Links.Block(func(link memnet.Link) bool { return isolated[link.From] || isolated[link.To] })
	for _, running := range e.fleet.Alive() {
		e.fleet.Platform.SetUnreachable(running.Name, isolated[running.Host])
	}
}

func (e *execution) heal() {
	e.isolated = map[string]bool{}
	e.block()
}

// leave marks a backend as leaving. The platform's list reports it without delay in
// this fleet, and each pool keeps an engine of each role that is not leaving.
func (e *execution) leave(s step) {
	leaving := []string{"engine-0", "engine-1", "service-0-a"}[s.b%3]
	if e.fleet.SetMachine(leaving, machines.StateLeaving) == nil {
		e.monitor.RecordLeaving(leaving)
	}
}

// configure changes a tenant's weight through one node, as an operator does.
func (e *execution) configure(node, weight int) {
	alive := e.fleet.Alive()
	if len(alive) == 0 {
		return
	}
	through := alive[node%len(alive)]
	acceptor := operator.Acceptor{Configuration: through.Core.Configuration, Store: e.fleet.StoreOf(through.Name)}
	current := through.Core.Configuration.Current()
	tenant, ok := current.Tenant("tenant-0")
	if !ok {
		return
	}
	changed := *tenant
	changed.Weight = float64(weight + 1)
	plan, _, err := operator.MakePlan(current, operator.Intent{Action: operator.ActionApply, Objects: api.Configuration{Tenants: []api.Tenant{changed}}})
	if err != nil {
		return
	}
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, _ = acceptor.Accept(ctx, plan) // Conflicts and outages are expected.
	}()
}

// request sends one request, of the kind that the step selects, from a caller that may
// disconnect.
func (e *execution) request(s step) {
	alive := e.fleet.Alive()
	if len(alive) == 0 {
		return // Concurrent planned stops have stopped all nodes.
	}
	e.requests++
	number := e.requests
	nodes := make([]string, 0, len(alive))
	for i := range alive {
		nodes = append(nodes, alive[(s.a+i)%len(alive)].CallerAddress())
	}
	call := load.Call{Client: e.client(number), Nodes: nodes, Key: newKey()}
	tenant := s.a % 2
	switch s.b % 4 {
	case 0, 1:
		call.Kind = longKind(tenant)
		call.Tokens = 20 + 4*s.b
		call.Prompt = prompt(e.random, 200+s.a*40)
	case 2:
		short := *longKind(tenant)
		short.Name, short.Class, short.Stream = "short", "short-0", false
		call.Kind, call.Tokens, call.Prompt = &short, 1, prompt(e.random, 1000+s.a*100)
	default:
		call.Kind = &load.Kind{
			Name: "log", Token: Token(tenant), Service: "service-0", Method: http.MethodPost, Path: "/entries", NonIdempotent: true,
			FirstToken: api.Duration(time.Second),
		}
		call.Body = fmt.Sprintf(`{"entry":%d}`, number)
	}
	ctx, cancel := context.WithCancel(context.Background())
	if s.b >= 44 {
		// Some callers disconnect in the middle of a stream that would take
		// minutes, so that only a cancellation frees its memory.
		if call.Kind.Stream {
			call.Tokens = longOutput
		}
		time.AfterFunc(time.Duration(s.a)*40*time.Millisecond, cancel)
	}
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		defer cancel()
		e.record(load.Send(ctx, call))
	}()
}

func (e *execution) client(number int) *http.Client {
	return e.fleet.Client(fmt.Sprintf("192.0.2.%d", number))
}

func (e *execution) record(result load.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.results = append(e.results, result)
}

func prompt(random *rand.Rand, tokens int) string {
	var text strings.Builder
	for range tokens {
		fmt.Fprintf(&text, "%03d ", random.IntN(1000))
	}
	return text.String()
}

// settleTime is the time without load at the end. It is longer than the resume window,
// the time for which prefill results are held, and the retries of cancellations.
const settleTime = 40 * time.Second

// runSchedule runs a schedule in virtual time, ends every fault, and returns the
// violations of guarantees.
func runSchedule(t *testing.T, options Options, steps []step) (violations []string, injected map[operation]int) {
	injected = map[operation]int{}
	inVirtualTime(t, func(t *testing.T) {
		fleet := startFleet(t, options)
		monitor := NewMonitor(fleet)
		stopMonitor := startMonitor(monitor)
		started := &execution{fleet: fleet, monitor: monitor, random: rand.New(rand.NewPCG(1, 2)), isolated: map[string]bool{}}
		for _, next := range steps {
			injected[next.op]++
			started.apply(next)
			time.Sleep(next.pause)
		}
		started.recover()
		violations = append(violations, started.finish()...)
		stopMonitor()
		monitor.CheckLeaving()
		violations = append(violations, monitor.Violations()...)
		fleet.Close()
	})
	return violations, injected
}

// recover ends every fault and starts every node.
func (e *execution) recover() {
	e.heal()
	e.fleet.Platform.SetOutage(false)
	e.fleet.Platform.DropResponses(0)
	for _, engine := range e.fleet.Engines {
		engine.Faults.Set(fault.Faults{})
	}
	for _, name := range e.fleet.NodeNames() {
		e.fleet.Platform.SetUnreachable(name, false)
	}
	e.stopping.Wait()
	for _, name := range e.fleet.NodeNames() {
		if e.fleet.IsDown(name) {
			e.fleet.Start(name)
		}
	}
}

// finish waits for every caller, checks that the fleet serves again, and returns the
// violations.
func (e *execution) finish() []string {
	var violations []string
	e.running.Wait()
	if !e.fleet.WaitReady(time.Minute) {
		violations = append(violations, "the fleet does not become ready again")
	}
	time.Sleep(settleTime)
	for i, running := range e.fleet.Alive() {
		result := load.Send(context.Background(), load.Call{
			Client: e.client(1000 + i), Nodes: []string{running.CallerAddress()}, Kind: longKind(0), Key: newKey(), Prompt: prompt(e.random, 300), Tokens: 8,
		})
		if result.Ending != load.EndingAnswered {
			violations = append(violations, fmt.Sprintf("%s does not answer after recovery: %s %v", running.Name, result.Detail, result.Failure))
		}
	}
	time.Sleep(settleTime)
	verdict := load.Evaluate(e.results, e.fleet.Ledgers())
	verdict.Lost = 0 // A caller that disconnects or reaches only terminated nodes gets no response.
	if verdict.Failed() {
		for _, violation := range verdict.Violations {
			if !strings.Contains(violation, ": lost") {
				violations = append(violations, violation)
			}
		}
	}
	return violations
}
