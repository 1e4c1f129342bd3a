package processtest

import (
	"context"
	"syscall"
	"testing"

	"github.com/reelrun/reelrun/operator"
	"github.com/reelrun/reelrun/sim/enginesim"
	"github.com/reelrun/reelrun/sim/fault"
)

// TestKilledNode kills the node that serves a running response. The caller retries at
// another node and gets the rest of the same stream.
func TestKilledNode(t *testing.T) {
	f := startFleet(t, 3)
	done := f.send(context.Background(), newKey(t), 150, f.nodes[0], f.nodes[1], f.nodes[2])
	eventually(t, "decoding", func() bool { return f.countEntries(enginesim.EntryDecodeStart) == 1 })
	f.nodes[0].signal(t, syscall.SIGKILL)
	expectAnswered(t, <-done)
	if starts := f.countEntries(enginesim.EntryDecodeStart); starts != 1 {
		t.Fatalf("the request was decoded %d times", starts)
	}
	eventually(t, "release of the engines", func() bool { return f.heldStreams() == 0 })
}

// TestFrozenNodeHoldsNothing freezes the node that serves a running response, and then the
// caller disconnects. The engine must be released while the node is still frozen, and the
// node must serve again after it is resumed.
func TestFrozenNodeHoldsNothing(t *testing.T) {
	f := startFleet(t, 3)
	ctx, disconnect := context.WithCancel(context.Background())
	done := f.send(ctx, newKey(t), 20000, f.nodes[0])
	eventually(t, "decoding", func() bool { return f.countEntries(enginesim.EntryDecodeStart) == 1 })
	f.nodes[0].signal(t, syscall.SIGSTOP)
	disconnect()
	<-done
	eventually(t, "release of the engines", func() bool { return f.heldStreams() == 0 })
	f.nodes[0].signal(t, syscall.SIGCONT)
	f.awaitReady(t, f.nodes[0])
	expectAnswered(t, <-f.send(context.Background(), newKey(t), 10, f.nodes[0]))
}

// TestThawedNodeCancelsNothing freezes the nodes that do not serve a running response,
// and resumes them. They must not consider the other nodes lost and cancel the response.
func TestThawedNodeCancelsNothing(t *testing.T) {
	f := startFleet(t, 3)
	done := f.send(context.Background(), newKey(t), 600, f.nodes[0])
	eventually(t, "decoding", func() bool { return f.countEntries(enginesim.EntryDecodeStart) == 1 })
	for _, other := range f.nodes[1:] {
		other.signal(t, syscall.SIGSTOP)
	}
	eventually(t, "half of the output", func() bool { return f.producedTokens() > 300 })
	for _, other := range f.nodes[1:] {
		other.signal(t, syscall.SIGCONT)
	}
	result := <-done
	expectAnswered(t, result)
	if result.Attempts != 1 || f.countEntries(enginesim.EntryDecodeCancelled) != 0 {
		t.Fatalf("%d attempts, %d streams cancelled", result.Attempts, f.countEntries(enginesim.EntryDecodeCancelled))
	}
}

// producedTokens returns the number of tokens that the held streams have produced.
func (f *fleet) producedTokens() int {
	produced := 0
	for _, address := range f.engineAddresses {
		var streams []struct {
			Offset int `json:"offset"`
		}
		if getJSON("http://"+address+"/v1/streams", &streams) {
			for _, stream := range streams {
				produced += stream.Offset
			}
		}
	}
	return produced
}

// TestPlannedStop sends SIGTERM to the node that serves a running response. The response must be
// complete without a retry, and the process must end with status 0.
func TestPlannedStop(t *testing.T) {
	f := startFleet(t, 2)
	done := f.send(context.Background(), newKey(t), 200, f.nodes[0])
	eventually(t, "decoding", func() bool { return f.countEntries(enginesim.EntryDecodeStart) == 1 })
	f.nodes[0].signal(t, syscall.SIGTERM)
	result := <-done
	expectAnswered(t, result)
	if result.Attempts != 1 {
		t.Fatalf("the caller needed %d attempts", result.Attempts)
	}
	if err := <-f.nodes[0].ended; err != nil {
		t.Fatalf("the node ended with %v", err)
	}
	expectAnswered(t, <-f.send(context.Background(), newKey(t), 10, f.nodes[1]))
}

// TestPlatformOutage makes the platform unavailable. Requests must still be served, a restarted
// node must fetch the configuration from its peers, and a change must be rejected.
func TestPlatformOutage(t *testing.T) {
	f := startFleet(t, 3)
	setFaults(t, f.platformAddress, fault.Faults{Outage: true})
	expectAnswered(t, <-f.send(context.Background(), newKey(t), 10, f.nodes[0]))
	f.nodes[2].signal(t, syscall.SIGKILL)
	<-f.nodes[2].ended
	f.nodes[2].process = start(t, "reelrund", f.nodes[2].arguments...)
	f.awaitReady(t, f.nodes[2])
	current, err := f.client(f.nodes[2]).Configuration(context.Background())
	if err != nil || current.Version != 1 {
		t.Fatalf("got %+v, %v", current, err)
	}
	expectAnswered(t, <-f.send(context.Background(), newKey(t), 10, f.nodes[2]))
	plan, err := f.client(f.nodes[0]).Plan(context.Background(), operator.Intent{Action: operator.ActionRemove, References: []string{"tenants/tenant"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.client(f.nodes[0]).Confirm(context.Background(), plan); err == nil {
		t.Fatal("a change was accepted without the platform")
	}
	setFaults(t, f.platformAddress, fault.Faults{})
}

// TestEngineChangesRole confirms a change of role and waits until the engine has
// executed the order.
func TestEngineChangesRole(t *testing.T) {
	f := startFleet(t, 2)
	f.accept(t, operator.Intent{Action: operator.ActionEngine, Engine: "engine-3", Role: "prefill"})
	eventually(t, "the change of role", func() bool {
		var load struct {
			Role string `json:"role"`
		}
		return getJSON("http://"+f.engineAddresses[3]+"/v1/load", &load) && load.Role == "prefill"
	})
	expectAnswered(t, <-f.send(context.Background(), newKey(t), 10, f.nodes[0]))
}
