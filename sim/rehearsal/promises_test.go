package rehearsal

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/machines"
	"github.com/reelrun/reelrun/operator"
	"github.com/reelrun/reelrun/sim/enginesim"
	"github.com/reelrun/reelrun/sim/fault"
	"github.com/reelrun/reelrun/sim/load"
	"github.com/reelrun/reelrun/sim/memnet"
)

// waitUntil waits in virtual time for a condition.
func waitUntil(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	const step = 50 * time.Millisecond
	for waited := time.Duration(0); waited < limit; waited += step {
		if condition() {
			return
		}
		time.Sleep(step)
	}
	t.Fatalf("%s did not happen within %s", what, limit)
}

// startLongRequest starts a request whose output takes minutes, and waits until it
// is being decoded. The returned function has the caller disconnect.
func startLongRequest(t *testing.T, fleet *Fleet, through *Node, key string) (disconnect func() load.Result) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan load.Result, 1)
	go func() {
		done <- load.Send(ctx, load.Call{
			Client: fleet.Client("192.0.2.1"), Nodes: []string{through.CallerAddress()}, Kind: longKind(0), Key: key,
			Prompt: prompt(rand.New(rand.NewPCG(1, 1)), 300), Tokens: longOutput,
		})
	}()
	waitUntil(t, 10*time.Second, "decoding", func() bool { return fleet.DecodingStreams() == 1 })
	return func() load.Result {
		cancel()
		return <-done
	}
}

func TestDisconnectedCallerFreesEngine(t *testing.T) {
	for name, breakNode := range map[string]func(*Fleet, *Node){
		"node is live": func(*Fleet, *Node) {},
		"node killed":  func(fleet *Fleet, through *Node) { fleet.Kill(through.Name) },
		"node isolated": func(fleet *Fleet, through *Node) {
			fleet.Links.Block(func(link memnet.Link) bool { return link.From == through.Host || link.To == through.Host })
			fleet.Platform.SetUnreachable(through.Name, true)
		},
		"platform down": func(fleet *Fleet, through *Node) {
			fleet.Platform.SetOutage(true)
			fleet.Kill(through.Name)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				fleet := startFleet(t, smallOptions())
				defer fleet.Close()
				through := fleet.Alive()[0]
				disconnect := startLongRequest(t, fleet, through, newKey())
				breakNode(fleet, through)
				disconnect()
				waitUntil(t, 20*time.Second, "release of all streams", func() bool { return fleet.HeldStreams() == 0 })
			})
		})
	}
}

// TestIsolatedNodeCancelsNothing checks that a node which only loses the connections
// to its peers does not cancel their streams.
func TestIsolatedNodeCancelsNothing(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := startFleet(t, smallOptions())
		defer fleet.Close()
		through := fleet.Alive()[0]
		disconnect := startLongRequest(t, fleet, through, newKey())
		engines := map[string]bool{}
		for _, engine := range fleet.Engines {
			engines[engine.Host] = true
		}
		// Another node of the zone is disconnected from its peers but reaches the engines.
		isolated := fleet.Alive()[1]
		fleet.Links.Block(func(link memnet.Link) bool {
			return (link.From == isolated.Host && !engines[link.To]) || (link.To == isolated.Host && !engines[link.From])
		})
		time.Sleep(20 * time.Second)
		if fleet.DecodingStreams() != 1 {
			t.Fatal("the stream of a live node was cancelled")
		}
		disconnect()
	})
}

func TestClientRetryTakesOver(t *testing.T) {
	for name, prepare := range map[string]func(*Fleet, *Node){
		"holder is live": func(*Fleet, *Node) {},
		"holder killed":  func(fleet *Fleet, holder *Node) { fleet.Kill(holder.Name) },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				fleet := startFleet(t, smallOptions())
				defer fleet.Close()
				nodes := fleet.Alive()
				call := load.Call{Kind: longKind(0), Key: newKey(), Prompt: prompt(rand.New(rand.NewPCG(3, 3)), 300), Tokens: 400}
				first := call
				first.Client, first.Nodes = fleet.Client("192.0.2.1"), []string{nodes[0].CallerAddress()}
				firstDone := make(chan load.Result, 1)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go func() { firstDone <- load.Send(ctx, first) }()
				waitUntil(t, 10*time.Second, "decoding", func() bool { return fleet.DecodingStreams() == 1 })
				time.Sleep(time.Second)
				prepare(fleet, nodes[0])
				second := call
				second.Client, second.Nodes = fleet.Client("192.0.2.2"), []string{nodes[1].CallerAddress()}
				result := load.Send(context.Background(), second)
				if result.Ending != load.EndingAnswered || result.DuplicateTokens != 0 {
					t.Fatalf("client retry: %s, %d duplicate tokens: %s %v", result.Ending, result.DuplicateTokens, result.Detail, result.Failure)
				}
				cancel()
				earlier := <-firstDone
				if earlier.Ending == load.EndingAnswered {
					t.Fatal("both connections got the complete response")
				}
				if starts := countEntries(fleet, enginesim.EntryDecodeStart); starts != 1 {
					t.Fatalf("the request was decoded %d times", starts)
				}
			})
		})
	}
}

func countEntries(fleet *Fleet, kind enginesim.EntryKind) int {
	count := 0
	for _, engine := range fleet.Engines {
		for _, entry := range engine.Report().Entries {
			if entry.Kind == kind {
				count++
			}
		}
	}
	return count
}

// TestEngineFailureKeepsTheResponseComplete lets engines fail in the middle of
// responses.
func TestEngineFailureKeepsTheResponseComplete(t *testing.T) {
	for name, breakEngines := range map[string]func(*Fleet){
		"connections cut": func(fleet *Fleet) {
			fleet.HTTP.Abort(func(link memnet.Link) bool { return link.To[:6] == "10.100" })
		},
		"decode engine frozen": func(fleet *Fleet) {
			for _, engine := range fleet.Engines {
				if len(engine.Streams()) > 0 {
					engine.Faults.Set(fault.Faults{Freeze: true})
					host := engine.Host
					fleet.Links.Block(func(link memnet.Link) bool { return link.From == host || link.To == host })
				}
			}
		},
		"decode engine terminated": func(fleet *Fleet) {
			for _, engine := range fleet.Engines {
				if len(engine.Streams()) > 0 {
					fleet.HTTP.Kill(engine.Host)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				fleet := startFleet(t, smallOptions())
				defer fleet.Close()
				done := make(chan load.Result, 1)
				go func() {
					done <- load.Send(context.Background(), load.Call{
						Client: fleet.Client("192.0.2.1"), Nodes: []string{fleet.Alive()[0].CallerAddress()}, Kind: longKind(0), Key: newKey(),
						Prompt: prompt(rand.New(rand.NewPCG(4, 4)), 300), Tokens: 300,
					})
				}()
				waitUntil(t, 10*time.Second, "decoding", func() bool { return fleet.DecodingStreams() == 1 })
				time.Sleep(500 * time.Millisecond)
				breakEngines(fleet)
				result := <-done
				if result.Ending != load.EndingAnswered || result.Attempts != 1 || result.DuplicateTokens != 0 {
					t.Fatalf("%s after %d attempts, %d duplicate tokens: %s %v", result.Ending, result.Attempts, result.DuplicateTokens, result.Detail, result.Failure)
				}
			})
		})
	}
}

// TestAbortedTransferReusesThePrefill aborts the first transfer of each engine. The
// transfer must be retried while the prefill result is kept, without a second prefill.
func TestAbortedTransferReusesThePrefill(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := startFleet(t, smallOptions())
		defer fleet.Close()
		for _, engine := range fleet.Engines {
			engine.Faults.Set(fault.Faults{PathPrefix: "/v1/kv", Aborts: 1})
		}
		result := load.Send(context.Background(), load.Call{
			Client: fleet.Client("192.0.2.1"), Nodes: []string{fleet.Alive()[0].CallerAddress()}, Kind: longKind(0), Key: newKey(),
			Prompt: prompt(rand.New(rand.NewPCG(5, 5)), 3000), Tokens: 20,
		})
		if result.Ending != load.EndingAnswered {
			t.Fatalf("%s: %s %v", result.Ending, result.Detail, result.Failure)
		}
		if prefills := countEntries(fleet, enginesim.EntryPrefillDone); prefills != 1 {
			t.Fatalf("the prompt was prefilled %d times", prefills)
		}
	})
}

// TestPlannedStopCutsOffNothing stops nodes one after the other under load.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	if incomplete := plannedStop(t, (*Fleet).Stop); incomplete != 0 {
		t.Fatalf("%d requests were cut off", incomplete)
	}
}

// plannedStop stops two nodes under load and counts the requests without a complete
// response in their first attempt.
func plannedStop(t *testing.T, stop func(*Fleet, string)) int {
	incomplete := 0
	inVirtualTime(t, func(t *testing.T) {
		fleet := startFleet(t, smallOptions())
		defer fleet.Close()
		nodes := fleet.Alive()
		random := rand.New(rand.NewPCG(6, 6))
		results := make(chan load.Result)
		const requests = 80
		for number := range requests {
			through := nodes[number%len(nodes)]
			call := load.Call{
				Client: fleet.Client("192.0.2.1"), Nodes: []string{through.CallerAddress()}, Kind: longKind(0), Key: newKey(),
				Prompt: prompt(random, 200), Tokens: 100 + number*8,
			}
			go func() { results <- load.Send(context.Background(), call) }()
			time.Sleep(10 * time.Millisecond)
		}
		var stopping sync.WaitGroup
		for _, leaving := range nodes[:2] {
			stopping.Add(1)
			go func() {
				defer stopping.Done()
				stop(fleet, leaving.Name)
			}()
		}
		for range requests {
			if result := <-results; result.Ending != load.EndingAnswered || result.Attempts != 1 {
				incomplete++
			}
		}
		stopping.Wait()
	})
	return incomplete
}

// TestLeavingBackendsGetNoNewWork marks an engine of each role and a replica as
// leaving, under load.
func TestLeavingBackendsGetNoNewWork(t *testing.T) {
	if violations := leaveUnderLoad(t, smallOptions()); len(violations) > 0 {
		t.Fatal(violations)
	}
}

// leaveUnderLoad marks backends as leaving under load, and returns the violations that
// the monitor found.
func leaveUnderLoad(t *testing.T, options Options) (violations []string) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := startFleet(t, options)
		defer fleet.Close()
		monitor := NewMonitor(fleet)
		for _, leaving := range []string{"engine-0", "engine-1", "service-0-a"} {
			if err := fleet.SetMachine(leaving, machines.StateLeaving); err != nil {
				t.Fatal(err)
			}
			monitor.RecordLeaving(leaving)
		}
		random := rand.New(rand.NewPCG(7, 7))
		nodes := fleet.Alive()
		var running sync.WaitGroup
		for number := range 200 {
			call := load.Call{
				Client: fleet.Client("192.0.2.1"), Nodes: []string{nodes[number%len(nodes)].CallerAddress()}, Kind: longKind(0), Key: newKey(),
				Prompt: prompt(random, 100), Tokens: 10,
			}
			if number%3 == 0 {
				call.Kind = lookupKind()
			}
			running.Add(1)
			go func() {
				defer running.Done()
				load.Send(context.Background(), call)
			}()
			time.Sleep(50 * time.Millisecond)
		}
		running.Wait()
		monitor.CheckLeaving()
		violations = monitor.Violations()
	})
	return violations
}

func lookupKind() *load.Kind {
	return &load.Kind{Name: "lookup", Token: Token(0), Service: "service-0", Method: http.MethodGet, Path: "/plans/1", FirstToken: api.Duration(time.Second)}
}

// TestRacingOperators has two operators confirm plans based on the same version through
// different nodes, while responses of the platform are lost. Exactly one of the plans
// must be accepted.
func TestRacingOperators(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := startFleet(t, smallOptions())
		defer fleet.Close()
		for round := range 10 {
			fleet.Platform.DropResponses(round % 3)
			outcomes := confirmConcurrently(t, fleet, round)
			if outcomes[0] == outcomes[1] {
				t.Fatalf("round %d: both operators got accepted=%t", round, outcomes[0])
			}
			want := uint64(round + 2)
			waitUntil(t, ActiveWithin, "activation of the version at all nodes", func() bool {
				for _, running := range fleet.Alive() {
					if running.Core.Configuration.Current().Version() != want {
						return false
					}
				}
				return true
			})
		}
	})
}

// confirmConcurrently has two operators confirm conflicting plans at once, and
// returns which of the plans were accepted.
func confirmConcurrently(t *testing.T, fleet *Fleet, round int) [2]bool {
	t.Helper()
	var accepted [2]bool
	var racing sync.WaitGroup
	for i, through := range fleet.Alive()[:2] {
		acceptor := operator.Acceptor{Configuration: through.Core.Configuration, Store: fleet.StoreOf(through.Name)}
		tenant := api.Tenant{Name: "tenant-0", Weight: float64(2 + 2*round + i)}
		plan, _, err := operator.MakePlan(through.Core.Configuration.Current(), operator.Intent{
			Action: operator.ActionApply, Objects: api.Configuration{Tenants: []api.Tenant{tenant}},
		})
		if err != nil {
			t.Fatal(err)
		}
		racing.Add(1)
		go func() {
			defer racing.Done()
			_, err := acceptor.Accept(context.Background(), plan)
			accepted[i] = err == nil
		}()
	}
	racing.Wait()
	return accepted
}
