package antientropy

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestRoundsBecomeFewerWhileNewsKeepComing counts rounds while a node always has news, and after a calm time.
func TestRoundsBecomeFewerWhileNewsKeepComing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var rest newsRest
		news := make(chan struct{}, 1)
		rounds := func(lasting time.Duration) (count int) {
			for until := time.Now().Add(lasting); time.Now().Before(until); {
				notify(news)
				select {
				case <-rest.over:
					rest.end()
				case <-rest.unless(news):
					count++
					rest.begin(time.Now())
				}
			}
			return count
		}
		g.Expect(rounds(10*time.Second)).To(BeNumerically("<=", 52), "each 200 ms, after the first ones")
		if rest.over != nil {
			<-rest.over
			rest.end()
		}
		time.Sleep(time.Second)
		began := time.Now()
		g.Expect(rounds(time.Millisecond)).To(Equal(1))
		g.Expect(time.Since(began)).To(Equal(shortestRest), "the first ones follow soon")
	})
}
