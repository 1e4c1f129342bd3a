package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// prepared is the alternative of these tests.
type prepared struct{}

// preparation is a preparation that takes some time, and fails a number of times.
type preparation struct {
	takes            time.Duration
	failures, panics int
	// begun and discarded count its calls and the alternatives that were discarded.
	begun, discarded atomic.Int32
}

func (p *preparation) options() failoverOptions[prepared] {
	return failoverOptions[prepared]{prepare: p.prepare, panicked: func(any) error { return errNoAlternative }, discard: func(*prepared) { p.discarded.Add(1) }}
}

// prepare succeeds even if it is interrupted, as a call does whose response has arrived already.
func (p *preparation) prepare(context.Context) (*prepared, error) {
	begun := p.begun.Add(1)
	time.Sleep(p.takes)
	if int(begun) <= p.panics {
		panic("fault in the preparation")
	}
	if int(begun) <= p.failures {
		return nil, errNoAlternative
	}
	return &prepared{}, nil
}

const testLimit = time.Second

// inFailover runs a test in virtual time with a call that may be silent for testLimit.
func inFailover(t *testing.T, preparing *preparation, run func(g Gomega, call context.Context, f *failover[prepared])) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		call, f := startFailover(t.Context(), testLimit, preparing.options())
		defer f.stop()
		run(NewWithT(t), call, f)
	})
}

func TestCallEndsOnceItsAlternativeIsReady(t *testing.T) {
	preparing := &preparation{takes: 300 * time.Millisecond}
	inFailover(t, preparing, func(g Gomega, call context.Context, f *failover[prepared]) {
		began := time.Now()
		<-call.Done()
		g.Expect(time.Since(began)).To(Equal(testLimit + preparing.takes))
		g.Expect(context.Cause(call)).To(MatchError(ErrUnresponsive))
		g.Expect(f.take()).NotTo(BeNil())
		g.Expect(f.take()).To(BeNil(), "an alternative is taken once")
		g.Expect(preparing.discarded.Load()).To(BeZero())
	})
}

// TestCallEndsWithoutAlternative has the preparation fail: the call goes on, and another preparation follows.
func TestCallEndsWithoutAlternative(t *testing.T) {
	preparing := &preparation{failures: 3}
	inFailover(t, preparing, func(g Gomega, call context.Context, _ *failover[prepared]) {
		began := time.Now()
		<-call.Done()
		g.Expect(time.Since(began)).To(Equal(testLimit + 3*failoverRetryInterval))
		g.Expect(preparing.begun.Load()).To(BeEquivalentTo(4))
	})
}

// TestPanicInPreparationEndsTheProcess has the first preparation panic: it has failed, and the next one succeeds.
func TestPanicInPreparationEndsTheProcess(t *testing.T) {
	preparing := &preparation{panics: 1}
	inFailover(t, preparing, func(g Gomega, call context.Context, _ *failover[prepared]) {
		<-call.Done()
		g.Expect(preparing.begun.Load()).To(BeEquivalentTo(2))
	})
}

// TestEventInterruptsThePreparation has something arrive while the alternative is being prepared.
func TestEventInterruptsThePreparation(t *testing.T) {
	preparing := &preparation{takes: 300 * time.Millisecond}
	inFailover(t, preparing, func(g Gomega, call context.Context, f *failover[prepared]) {
		time.Sleep(testLimit + preparing.takes/2)
		f.pause()
		g.Expect(preparing.discarded.Load()).To(BeEquivalentTo(1))
		g.Expect(f.take()).To(BeNil())
		f.resume(testLimit)
		time.Sleep(testLimit / 2)
		g.Expect(call.Err()).NotTo(HaveOccurred())
	})
}

// TestUnusedAlternativeIsDiscarded has the call end regularly just after its alternative is ready.
func TestUnusedAlternativeIsDiscarded(t *testing.T) {
	preparing := &preparation{}
	inFailover(t, preparing, func(g Gomega, call context.Context, f *failover[prepared]) {
		<-call.Done()
		f.stop()
		g.Expect(preparing.discarded.Load()).To(BeEquivalentTo(1))
	})
}

// TestLateTimerIsTakenForSilence has the timer fire long after it was due, as in a process that had no processor: the backend is
// given its time again.
func TestLateTimerIsTakenForSilence(t *testing.T) {
	preparing := &preparation{}
	inFailover(t, preparing, func(g Gomega, call context.Context, f *failover[prepared]) {
		f.timer.Stop()
		time.Sleep(3 * testLimit)
		f.replace(t.Context())
		g.Expect(preparing.begun.Load()).To(BeZero())
		time.Sleep(testLimit / 2)
		g.Expect(call.Err()).NotTo(HaveOccurred())
		<-call.Done()
		g.Expect(preparing.begun.Load()).To(BeEquivalentTo(1))
	})
}

// TestNoFailoverDoesNothing calls the methods of a call that is not watched.
func TestNoFailoverDoesNothing(t *testing.T) {
	var none *failover[prepared]
	none.pause()
	none.resume(testLimit)
	NewWithT(t).Expect(none.take()).To(BeNil())
	none.stop()
}
