package ledger_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

// TestAssignToFullEnginesDoesNotAllocate tries to assign a run to full engines, as a coordinator
// does for the waiting requests of a service each time a run ends. It must allocate less than once
// for every ten engines.
func TestAssignToFullEnginesDoesNotAllocate(t *testing.T) {
	const engines = 60
	g := NewWithT(t)
	now := time.Second
	l := ledger.New(ledger.Options{})
	var all []ledger.Engine
	for i := range engines {
		all = append(all, ledger.Engine{ID: "d" + strconv.Itoa(i), Memory: 28_000, Slots: 16})
	}
	l.SetEngines(all)
	run := func(id string) ledger.Run { return ledger.Run{ID: id, Prompt: 3000, Output: 600, Holder: "n"} }
	for i := 0; ; i++ {
		if _, assigned := l.Assign(now, run(strconv.Itoa(i)), nil); !assigned {
			break
		}
	}
	allocated := testing.AllocsPerRun(20, func() { l.Assign(now, run("waiting"), nil) })
	g.Expect(allocated).To(BeNumerically("<", engines/10))
}
