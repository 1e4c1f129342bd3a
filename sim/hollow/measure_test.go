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

// TestRoundsOfASmallFleet runs every round in virtual time: what the rounds say
// of a fleet that works must be within its promises.
func TestRoundsOfASmallFleet(t *testing.T) {
	runtime.GC()
	runtime.GC() // See rehearsal's tests: yamux keeps timers in a global pool.
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		report, err := Measure(context.Background(), Options{
			Nodes: 8, Zones: 4, Servers: 32, Tenants: 20, Models: 1, Window: time.Second, Trials: 2,
			Failures: true, PartitionDuration: 30 * time.Second, Restarts: 12,
		})
		g.Expect(err).NotTo(HaveOccurred())
		inForce := rehearsal.InForceWithin.Seconds()
		for _, spread := range []Spread{report.Spread, *report.SpreadChurn20, *report.SpreadZoneCut, report.Parting.Near} {
			g.Expect(spread.Trials).To(BeNumerically(">=", 2))
			g.Expect(spread.Worst).To(BeNumerically("<", inForce))
		}
		g.Expect(report.Parting.FarStopped).To(BeNumerically("<", inForce))
		g.Expect(report.Parting.Seconds).To(BeNumerically(">=", 30))
		g.Expect(report.Restarts.Kills + report.Restarts.Stops).To(Equal(12))
		g.Expect(report.Restarts.Verdict.Requests).To(Equal(12 * requestsPerRestart))
		g.Expect(report.Restarts.Verdict.Violations).To(BeEmpty())
		g.Expect(report.Restarts.Verdict.Failed()).To(BeFalse())
		g.Expect(report.StreamsFreed.Worst).To(BeNumerically("<", 15))
		g.Expect(report.ZoneLostSeconds).To(BeNumerically(">", 0))
	})
}

// TestRestartsNoticeLostRequests kills every node for good under load: the verdict
// must not come out clean.
func TestRestartsNoticeLostRequests(t *testing.T) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		options := Options{Nodes: 2, Zones: 1, Servers: 8, Tenants: 4, Models: 1}
		fleet, err := newFleet(context.Background(), options)
		g.Expect(err).NotTo(HaveOccurred())
		defer fleet.Close()
		fleet.StartAll()
		g.Expect(fleet.WaitReady(readyLimit)).To(BeTrue())
		sent := newTraffic(fleet, options)
		for range 10 {
			g.Expect(sent.start(context.Background(), sent.completion(0, endlessTokens), fleet.Alive())).To(Succeed())
		}
		for _, name := range fleet.NodeNames() {
			fleet.Kill(name)
		}
		verdict := judge(sent.wait(), fleet)
		g.Expect(verdict.Lost).To(Equal(10))
		g.Expect(verdict.Failed()).To(BeTrue())
	})
}
