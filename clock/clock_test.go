package clock

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestBootMatchesRuntimeWithoutSuspension compares differences of both clocks.
func TestBootMatchesRuntimeWithoutSuspension(t *testing.T) {
	g := NewWithT(t)
	boot, err := Boot()
	g.Expect(err).NotTo(HaveOccurred())
	runtimeBefore, bootBefore := time.Now(), boot.Exact()
	g.Eventually(func() time.Duration { return time.Since(runtimeBefore) }).Should(BeNumerically(">", 20*time.Millisecond))
	g.Expect(boot.Since(bootBefore)).To(BeNumerically("~", time.Since(runtimeBefore), 10*time.Millisecond))
}

// TestSuspendedTimeCounts suspends the machine for five seconds, during which the runtime's clock
// stops. The clock must never go back.
func TestSuspendedTimeCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		started, suspended := time.Now(), time.Duration(0)
		clock := New(func() time.Duration { return time.Since(started) + suspended })
		before, last := clock.Now(), clock.Now()
		for range 100 {
			time.Sleep(time.Millisecond)
			suspended += 50 * time.Millisecond
			next := clock.Now()
			g.Expect(next).To(BeTemporally(">=", last))
			last = next
		}
		g.Expect(clock.Exact().Sub(before)).To(Equal(5*time.Second + 100*time.Millisecond))
		time.Sleep(refreshInterval)
		g.Expect(clock.Since(before)).To(Equal(5*time.Second + 100*time.Millisecond + refreshInterval))
	})
}

// BenchmarkNow measures a call of Now: 295 ns with a system call each time, 80 ns with a cached
// reading.
func BenchmarkNow(b *testing.B) {
	boot, err := Boot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		boot.Now()
	}
}
