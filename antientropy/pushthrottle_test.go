package antientropy

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestPushesAreThrottledUnderLoad counts rounds while a node always has updates, and after a quiet period.
func TestPushesAreThrottledUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var throttle pushThrottle
		updates := make(chan struct{}, 1)
		rounds := func(lasting time.Duration) (count int) {
			for until := time.Now().Add(lasting); time.Now().Before(until); {
				notify(updates)
				select {
				case <-throttle.expired:
					throttle.release()
				case <-throttle.gate(updates):
					count++
					throttle.start(time.Now())
				}
			}
			return count
		}
		g.Expect(rounds(10*time.Second)).To(BeNumerically("<=", 52), "one every 200 ms, after shorter intervals at first")
		if throttle.expired != nil {
			<-throttle.expired
			throttle.release()
		}
		time.Sleep(time.Second)
		began := time.Now()
		g.Expect(rounds(time.Millisecond)).To(Equal(1))
		g.Expect(time.Since(began)).To(Equal(minPushInterval), "the first interval after a quiet period is the shortest")
	})
}
