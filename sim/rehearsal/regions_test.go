package rehearsal

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/reelrun/reelrun/sim/load"
)

// regionOptions are six zones, three to a region.
func regionOptions() Options {
	options := smallOptions()
	options.Zones = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"}
	shape := smallShape()
	shape.Zones, shape.PoolsPerModel = options.Zones, len(options.Zones)
	options.Configuration = Generate(shape)
	return options
}

// farZones are the zones of the second region.
var farZones = []string{"zone-d", "zone-e", "zone-f"}

// inRegion returns the running nodes of one region.
func inRegion(fleet *Fleet, far bool) []*Node {
	var selected []*Node
	for _, running := range fleet.Alive() {
		if slices.Contains(farZones, running.Zone) == far {
			selected = append(selected, running)
		}
	}
	return selected
}

// answers reports whether a node answers a short completion.
func answers(fleet *Fleet, through *Node, seed uint64) load.Result {
	return load.Send(context.Background(), load.Call{
		Client: fleet.Client("192.0.2.1"), Nodes: []string{through.CallerAddress()}, Kind: longKind(1), Key: newKey(),
		Prompt: prompt(rand.New(rand.NewPCG(seed, 1)), 200), Tokens: 5,
	})
}

// TestRegionsPartForMinutes parts two regions for three minutes, in which a
// configuration is accepted. The region that reaches the platform goes on; the
// other one takes no work by the older version, refuses as not run, and is back
// after the parting. When the platform reaches both, both go on.
func TestRegionsPartForMinutes(t *testing.T) {
	for name, farReachesPlatform := range map[string]bool{"platform on one side": false, "platform on both sides": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				fleet := startFleet(t, regionOptions())
				defer fleet.Close()
				monitor := NewMonitor(fleet)
				stopWatching := watch(monitor)
				heal := fleet.Partition(farZones, !farReachesPlatform)
				publishWeight(t, fleet, 7)
				time.Sleep(3 * time.Minute)
				for _, far := range []bool{false, true} {
					for _, running := range inRegion(fleet, far) {
						wanted := !far || farReachesPlatform
						if running.Core.AcceptsWork() != wanted {
							t.Errorf("%s of %s takes work: %t", running.Name, running.Zone, !wanted)
						}
					}
				}
				if result := answers(fleet, inRegion(fleet, false)[0], 1); result.Ending != load.EndingAnswered {
					t.Errorf("the near region does not answer: %v", result.Failure)
				}
				if result := answers(fleet, inRegion(fleet, true)[0], 2); (result.Ending == load.EndingAnswered) != farReachesPlatform {
					t.Errorf("the far region: %s %v", result.Ending, result.Failure)
				}
				heal()
				waitUntil(t, time.Minute, "one fleet", fleet.allReady)
				time.Sleep(InForceWithin)
				if result := answers(fleet, inRegion(fleet, true)[0], 3); result.Ending != load.EndingAnswered {
					t.Errorf("the far region does not answer after the parting: %v", result.Failure)
				}
				stopWatching()
				for _, violation := range monitor.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// TestOutageAloneStopsNobody takes the platform away while the loss of a whole
// zone leaves most of the fleet: service goes on.
func TestOutageAloneStopsNobody(t *testing.T) {
	bubble(t, func(t *testing.T) {
		fleet := startFleet(t, regionOptions())
		defer fleet.Close()
		fleet.Platform.SetOutage(true)
		for _, running := range fleet.Alive() {
			if running.Zone == farZones[0] {
				fleet.Kill(running.Name)
			}
		}
		for range 60 {
			time.Sleep(time.Second)
			for _, running := range fleet.Alive() {
				if !running.Core.AcceptsWork() {
					t.Fatalf("%s takes no work", running.Name)
				}
			}
		}
	})
}
