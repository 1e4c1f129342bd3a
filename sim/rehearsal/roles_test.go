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

// TestRoleChangeUnderLoad turns a decode engine into a prefill engine while it
// decodes. All requests must be completed, the engine must get no work that its
// current role excludes, and it must prefill afterwards.
func TestRoleChangeUnderLoad(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
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
			if result := <-results; result.Ending != load.EndingAnswered || result.Attempts != 1 {
				t.Errorf("%s after %d attempts: %v", result.Ending, result.Attempts, result.Failure)
			}
		}
		if rejected := countEntries(fleet, enginesim.EntryRejected); rejected != 0 {
			t.Errorf("engines rejected %d streams", rejected)
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
	acceptor := operator.Acceptor{Configuration: through.Core.Configuration, Store: fleet.StoreOf(through.Name), SeesHalf: through.Core.SeesHalf}
	if _, err := acceptor.Accept(context.Background(), plan); err != nil {
		t.Fatal(err)
	}
}

// slowPrefill is a prefill rate, in tokens per second, that short prompts can exhaust.
const slowPrefill = 2000

// slowPrefillOptions returns a fleet with slow prefill engines and the given policy for
// role changes.
func slowPrefillOptions(policy api.RoleChanges) Options {
	options := smallOptions()
	options.Engine.PrefillTokensPerSecond = slowPrefill
	for i := range options.Configuration.Pools {
		options.Configuration.Pools[i].PrefillTokensPerSecond = slowPrefill
		options.Configuration.Pools[i].RoleChanges = policy
	}
	return options
}

// sendPrefillLoad sends requests with long prompts and short outputs for two minutes. It
// returns how many were answered, and how many were sent.
func sendPrefillLoad(fleet *Fleet) (answered, requests int) {
	random := rand.New(rand.NewPCG(10, 10))
	kind := *longKind(1)
	kind.Name, kind.Class, kind.Stream = "short", "short-0", false
	results := make(chan load.Result)
	nodes := fleet.Alive()
	for requests = range 1200 {
		call := load.Call{
			Client: fleet.Client("192.0.2.1"), Nodes: []string{nodes[requests%len(nodes)].CallerAddress()}, Kind: &kind, Key: newKey(),
			Prompt: prompt(random, 900), Tokens: 1,
		}
		go func() { results <- load.Send(context.Background(), call) }()
		time.Sleep(100 * time.Millisecond)
	}
	for range requests + 1 {
		if result := <-results; result.Ending == load.EndingAnswered {
			answered++
		}
	}
	return answered, requests + 1
}

// TestLoadChangesRoles offers more prefill load than the prefill engines can serve.
// Under the policy "apply" decode engines become prefill engines, and more requests
// are answered; under "advise" the owners of the pools only advise the change.
func TestLoadChangesRoles(t *testing.T) {
	answered := map[api.RoleChanges]int{}
	for _, policy := range []api.RoleChanges{api.RoleChangesAdvise, api.RoleChangesApply} {
		inVirtualTime(t, func(t *testing.T) {
			fleet := startFleet(t, slowPrefillOptions(policy))
			defer fleet.Close()
			answered[policy], _ = sendPrefillLoad(fleet)
			applied, advised := int64(0), int64(0)
			for _, running := range fleet.Alive() {
				applied += running.Core.Metrics.Count("role_changes_applied")
				advised += running.Core.Metrics.Count("role_changes_advised")
			}
			if advised == 0 || (applied > 0) != (policy == api.RoleChangesApply) {
				t.Errorf("%s: %d advised, %d applied", policy, advised, applied)
			}
			prefill := 0
			for _, pool := range fleet.Alive()[0].Core.Configuration.Current().Merged().Pools {
				for _, member := range pool.Engines {
					if member.Role == api.RolePrefill {
						prefill++
					}
				}
			}
			if want := 4 + int(applied); prefill != want {
				t.Errorf("%s: %d prefill engines, want %d", policy, prefill, want)
			}
		})
	}
	if answered[api.RoleChangesApply] <= answered[api.RoleChangesAdvise] {
		t.Errorf("answered %v", answered)
	}
	t.Logf("answered %v", answered)
}
