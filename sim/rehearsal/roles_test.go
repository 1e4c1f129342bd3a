package rehearsal

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/operator"
	"github.com/reelrun/reelrun/sim/enginesim"
	"github.com/reelrun/reelrun/sim/load"
)

// TestRoleChangeUnderLoad turns a decode engine into a prefill engine while
// answers run on it. The answers run to their end, the engine gets no work that
// it cannot do yet, and then it does prefill.
func TestRoleChangeUnderLoad(t *testing.T) {
	bubble(t, func(t *testing.T) {
		fleet := startFleet(t, smallOptions())
		defer fleet.Close()
		random := rand.New(rand.NewPCG(8, 8))
		results := make(chan load.Result)
		const requests = 150
		nodes := fleet.Alive()
		for number := range requests {
			call := load.Call{
				Client: fleet.Client("192.0.2.1"), Nodes: []string{nodes[number%len(nodes)].CallerAddress()}, Kind: longKind(1), Key: newKey(),
				Prompt: prompt(random, 300), Tokens: 250,
			}
			go func() { results <- load.Send(context.Background(), call) }()
			if number == requests/3 {
				confirm(t, fleet, operator.Intent{Action: operator.ActionEngine, Engine: "engine-1", Role: api.RolePrefill})
			}
			time.Sleep(100 * time.Millisecond)
		}
		for range requests {
			if result := <-results; result.Ending != load.EndingAnswered || result.Tries != 1 {
				t.Errorf("%s after %d tries: %v", result.Ending, result.Tries, result.Failure)
			}
		}
		if refused := countEntries(fleet, enginesim.EntryRefused); refused != 0 {
			t.Errorf("engines refused %d times", refused)
		}
		prefills := 0
		for _, entry := range fleet.Engines["engine-1"].Report().Entries {
			if entry.Kind == enginesim.EntryPrefillDone {
				prefills++
			}
		}
		if prefills == 0 {
			t.Error("the engine did no prefill in its new role")
		}
	})
}

// confirm plans and confirms an intent through a node.
func confirm(t *testing.T, fleet *Fleet, intent operator.Intent) {
	t.Helper()
	through := fleet.Alive()[0]
	plan, _, err := operator.MakePlan(through.Core.Configuration.Current(), intent)
	if err != nil {
		t.Fatal(err)
	}
	acceptor := operator.Acceptor{Configuration: through.Core.Configuration, Store: fleet.StoreOf(through.Name), HearsHalf: through.Core.HearsHalf}
	if _, err := acceptor.Accept(context.Background(), plan); err != nil {
		t.Fatal(err)
	}
}
