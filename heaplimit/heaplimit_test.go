package heaplimit_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/heaplimit"
)

const mebibyte = 1 << 20

// TestGarbageDoesNotGrowWithLiveHeap compares the heaps of a small and a large fleet on one machine.
func TestGarbageDoesNotGrowWithLiveHeap(t *testing.T) {
	g := NewWithT(t)
	const machine = 144 * mebibyte
	garbage := func(live int64) int64 { return live * int64(heaplimit.GCPercent(live, machine)) / 100 }
	g.Expect(heaplimit.GCPercent(2*mebibyte, machine)).To(Equal(100), "a small heap is left to the runtime")
	g.Expect(garbage(10 * mebibyte)).To(BeNumerically("<=", 5*mebibyte))
	g.Expect(garbage(20 * mebibyte)).To(BeNumerically("<=", 5*mebibyte))
	g.Expect(heaplimit.GCPercent(80*mebibyte, machine)).To(BeNumerically(">=", 20), "collections stay worth their cost")
	g.Expect(heaplimit.GCPercent(0, machine)).To(Equal(100))
}

// TestLimitLeavesMemoryFree checks that the limit is below the machine's memory, and usable on the
// smallest machine.
func TestLimitLeavesMemoryFree(t *testing.T) {
	for _, machine := range []int64{64, 88, 144, 1048} {
		limit := heaplimit.SoftLimit(machine * mebibyte)
		NewWithT(t).Expect(limit).To(And(
			BeNumerically("<=", machine*mebibyte*8/10), BeNumerically(">=", machine*mebibyte/3)), "of %d MB", machine)
	}
}
