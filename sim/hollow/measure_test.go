package hollow

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/sim/rehearsal"
)

// TestMeasureSmallFleet runs every measurement in virtual time: the figures of a
// fleet without defects must be within its guarantees.
func TestMeasureSmallFleet(t *testing.T) {
	runtime.GC()
	runtime.GC() // Empties the global pool of timers of yamux; see inVirtualTime in package rehearsal.
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		report, err := Measure(context.Background(), Options{
			Nodes: 8, Zones: 4, Servers: 32, Tenants: 20, Models: 1, Window: time.Second, Trials: 2,
			Failures: true, PartitionDuration: 30 * time.Second, Restarts: 12,
		})
		g.Expect(err).NotTo(HaveOccurred())
		activeWithin := rehearsal.ActiveWithin.Seconds()
		for _, propagation := range []Delays{report.Propagation, *report.PropagationChurn20, *report.PropagationZoneIsolated, report.Partition.Connected} {
			g.Expect(propagation.Trials).To(BeNumerically(">=", 2))
			g.Expect(propagation.Worst).To(BeNumerically("<", activeWithin))
		}
		g.Expect(report.Partition.IsolatedStopped).To(BeNumerically("<", activeWithin))
		g.Expect(report.Partition.Seconds).To(BeNumerically(">=", 30))
		g.Expect(report.Restarts.Kills + report.Restarts.Stops).To(Equal(12))
		g.Expect(report.Restarts.Verdict.Requests).To(Equal(12 * requestsPerRestart))
		g.Expect(report.Restarts.Verdict.Violations).To(BeEmpty())
		g.Expect(report.Restarts.Verdict.Failed()).To(BeFalse())
		g.Expect(report.StreamsFreed.Worst).To(BeNumerically("<", 15))
		g.Expect(report.ZoneLostSeconds).To(BeNumerically(">", 0))
	})
}

// TestVerdictReportsLostRequests kills every node under load, without a restart: the
// verdict must report the lost requests.
func TestVerdictReportsLostRequests(t *testing.T) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		options := Options{Nodes: 2, Zones: 1, Servers: 8, Tenants: 4, Models: 1}
		fleet, err := newFleet(context.Background(), options)
		g.Expect(err).NotTo(HaveOccurred())
		defer fleet.Close()
		fleet.StartAll()
		g.Expect(fleet.WaitReady(readyTimeout)).To(BeTrue())
		generator := newTraffic(fleet, options)
		for range 10 {
			g.Expect(generator.start(context.Background(), generator.completion(0, endlessTokens), fleet.Alive())).To(Succeed())
		}
		for _, name := range fleet.NodeNames() {
			fleet.Kill(name)
		}
		verdict := evaluate(generator.wait(), fleet)
		g.Expect(verdict.Lost).To(Equal(10))
		g.Expect(verdict.Failed()).To(BeTrue())
	})
}
