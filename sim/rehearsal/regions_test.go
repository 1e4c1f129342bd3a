package rehearsal

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/reelrun/reelrun/sim/load"
)

// regionOptions returns the options of a fleet with six zones, three in each region.
func regionOptions() Options {
	options := smallOptions()
	options.Zones = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"}
	shape := smallShape()
	shape.Zones, shape.PoolsPerModel = options.Zones, len(options.Zones)
	options.Configuration = Generate(shape)
	return options
}

// secondRegion are the zones of the second region.
var secondRegion = []string{"zone-d", "zone-e", "zone-f"}

// inRegion returns the running nodes of one region.
func inRegion(fleet *Fleet, second bool) []*Node {
	var selected []*Node
	for _, running := range fleet.Alive() {
		if slices.Contains(secondRegion, running.Zone) == second {
			selected = append(selected, running)
		}
	}
	return selected
}

// sendShort sends a short completion through a node.
func sendShort(fleet *Fleet, through *Node, seed uint64) load.Result {
	return load.Send(context.Background(), load.Call{
		Client: fleet.Client("192.0.2.1"), Nodes: []string{through.CallerAddress()}, Kind: longKind(1), Key: newKey(),
		Prompt: prompt(rand.New(rand.NewPCG(seed, 1)), 200), Tokens: 5,
	})
}

// TestRegionsPartitionedForMinutes separates two regions by a network partition for
// three minutes, in which a configuration is accepted. The region that reaches the
// platform continues to serve. The other one accepts no work with the older version,
// rejects requests as not run, and serves again after the partition. If both regions
// reach the platform, both continue to serve.
func TestRegionsPartitionedForMinutes(t *testing.T) {
	for name, secondReachesPlatform := range map[string]bool{"platform on one side": false, "platform on both sides": true} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				fleet := startFleet(t, regionOptions())
				defer fleet.Close()
				monitor := NewMonitor(fleet)
				stopMonitor := startMonitor(monitor)
				heal := fleet.Partition(secondRegion, !secondReachesPlatform)
				publishWeight(t, fleet, 7)
				time.Sleep(3 * time.Minute)
				for _, second := range []bool{false, true} {
					for _, running := range inRegion(fleet, second) {
						mustAccept := !second || secondReachesPlatform
						if running.Core.AcceptsWork() != mustAccept {
							t.Errorf("%s of %s accepts work: %t", running.Name, running.Zone, !mustAccept)
						}
					}
				}
				if result := sendShort(fleet, inRegion(fleet, false)[0], 1); result.Ending != load.EndingAnswered {
					t.Errorf("the first region does not answer: %v", result.Failure)
				}
				if result := sendShort(fleet, inRegion(fleet, true)[0], 2); (result.Ending == load.EndingAnswered) != secondReachesPlatform {
					t.Errorf("the second region: %s %v", result.Ending, result.Failure)
				}
				heal()
				waitUntil(t, time.Minute, "contact between the regions", fleet.allReady)
				time.Sleep(ActiveWithin)
				if result := sendShort(fleet, inRegion(fleet, true)[0], 3); result.Ending != load.EndingAnswered {
					t.Errorf("the second region does not answer after the partition: %v", result.Failure)
				}
				stopMonitor()
				for _, violation := range monitor.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// TestOutageAloneStopsNoNode combines an outage of the platform with the failure of one
// zone. All other nodes must accept work, since they are most of the fleet.
func TestOutageAloneStopsNoNode(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := startFleet(t, regionOptions())
		defer fleet.Close()
		fleet.Platform.SetOutage(true)
		for _, running := range fleet.Alive() {
			if running.Zone == secondRegion[0] {
				fleet.Kill(running.Name)
			}
		}
		for range 60 {
			time.Sleep(time.Second)
			for _, running := range fleet.Alive() {
				if !running.Core.AcceptsWork() {
					t.Fatalf("%s accepts no work", running.Name)
				}
			}
		}
	})
}
