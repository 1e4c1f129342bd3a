package modelcheck

import (
	"context"
	"encoding/json"
	"runtime"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// runCheck runs a comparison in virtual time. Two garbage collections empty yamux's
// global timer pool: a timer of one synctest bubble must not be used in another.
func runCheck(t *testing.T, load float64) *Report {
	t.Helper()
	runtime.GC()
	runtime.GC()
	var report *Report
	synctest.Test(t, func(t *testing.T) {
		var err error
		if report, err = Check(context.Background(), Options{Seed: 1, Load: load, Requests: 300}); err != nil {
			t.Fatal(err)
		}
	})
	line, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(string(line))
	return report
}

// TestModelFitsTheEngines bounds the difference between the results of the model
// and of the stand-in engines, below, near and above the load that fills the decode
// engines.
func TestModelFitsTheEngines(t *testing.T) {
	for _, load := range []float64{0.6, 0.9, 1.2} {
		g := NewWithT(t)
		report := runCheck(t, load)
		g.Expect(report.Model.Answered).To(BeNumerically(">", 0.5))
		g.Expect(report.Model.Goodput).To(BeNumerically("~", report.Engines.Goodput, 0.05))
		g.Expect(report.Model.TTFTMedian).To(BeNumerically("~", report.Engines.TTFTMedian, 0.05))
		g.Expect(report.Model.IntervalP95).To(BeNumerically("~", report.Engines.IntervalP95, 0.002))
	}
}
