package rehearsal

import (
	"fmt"
	"testing"
	"time"
)

// TestZonesWithoutSeedsFindEachOther starts six zones that are told of one node
// only. Every node must come to know every other, also when a zone starts later
// and when the seed is gone by then.
func TestZonesWithoutSeedsFindEachOther(t *testing.T) {
	for _, nodes := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d nodes a zone", nodes), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				options := smallOptions()
				options.Zones = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"}
				options.NodesPerZone, options.SeedZones = nodes, 1
				fleet := startFleet(t, options)
				defer fleet.Close()
				late := fleet.NodeNames()[len(fleet.NodeNames())-nodes:]
				for _, name := range late {
					fleet.Kill(name)
				}
				time.Sleep(20 * time.Second)
				for _, name := range late {
					fleet.Start(name)
				}
				waitUntil(t, time.Minute, "the late zone known everywhere", fleet.allReady)
				fleet.Kill(fleet.NodeNames()[0])
				time.Sleep(20 * time.Second)
				waitUntil(t, time.Minute, "one view without the seed", fleet.allReady)
			})
		})
	}
}
