package quarantine

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/objectapi"
)

// sideBySide reports crashes of backends under a request that ran at all of them at the same time.
func (c *testCoordinator) sideBySide(request Fingerprint, backends ...string) {
	for _, backend := range backends {
		c.handle(report{evidence: []Evidence{{Request: request, Backend: backend, At: c.now, Run: span{c.now - time.Second, c.now}}}})
	}
}

// askForTrial asks for a trial of a request.
func (c *testCoordinator) askForTrial(request Fingerprint) TrialDecision {
	return c.handle(report{trials: []Fingerprint{request}}).trials[0]
}

// pass lets time pass, in which the archive does its work.
func (c *testCoordinator) pass(t *testing.T, duration time.Duration) {
	t.Helper()
	for until := c.now + duration; c.now < until; {
		c.now += min(checkStoreInterval, until-c.now)
		c.Expire()
		c.archive.Reconcile(t.Context())
	}
}

// newQuarantined returns a coordinator, with its store, that has quarantined a request whose runs were side by side.
func newQuarantined(t *testing.T) (*testCoordinator, *memoryStore, Fingerprint) {
	t.Helper()
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	coordinator, request := newTestCoordinator(store, time.Hour), testRequest(1)
	coordinator.archive.Reconcile(t.Context())
	coordinator.sideBySide(request, "a", "b", "c")
	return coordinator, store, request
}

// TestTrialOfRequestWhoseRunsWereSideBySide guards against a request that no answer can clear because none of its runs is sent.
func TestTrialOfRequestWhoseRunsWereSideBySide(t *testing.T) {
	g := NewWithT(t)
	coordinator, _, request := newQuarantined(t)
	coordinator.pass(t, firstTrialDelay-time.Second)
	g.Expect(coordinator.askForTrial(request)).To(Equal(TrialDecision{Wait: time.Second}))
	coordinator.pass(t, 2*time.Second)
	g.Expect(coordinator.askForTrial(request).Granted).To(BeTrue())
	g.Expect(coordinator.askForTrial(request)).To(Equal(TrialDecision{Wait: maxRunningWait}), "one at a time")
	coordinator.handle(report{answered: []Fingerprint{request}})
	g.Expect(coordinator.announced[request].Status()).To(Equal(Status{}))
	g.Expect(coordinator.Coordinator.trials).To(BeEmpty())
}

// TestNoTrialAfterSuccessiveCrashes has three backends end one after the other: the request is quarantined for an hour.
func TestNoTrialAfterSuccessiveCrashes(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	coordinator, request := newTestCoordinator(store, time.Hour), testRequest(1)
	for _, backend := range []string{"a", "b", "c"} {
		coordinator.now += time.Second
		coordinator.handle(report{evidence: []Evidence{{
			Request: request, Backend: backend, At: coordinator.now, Run: span{coordinator.now - time.Second/2, coordinator.now},
		}}})
	}
	for range 30 {
		coordinator.pass(t, time.Minute)
		g.Expect(coordinator.askForTrial(request).Granted).To(BeFalse())
	}
	g.Expect(coordinator.askForTrial(request).Wait).To(BeNumerically("~", quarantineDuration/2, time.Minute))
}

// TestTrialsAreLimited has each trial crash a backend.
func TestTrialsAreLimited(t *testing.T) {
	g := NewWithT(t)
	coordinator, _, request := newQuarantined(t)
	granted := 0
	for range 40 * 60 {
		coordinator.pass(t, time.Second)
		if !coordinator.askForTrial(request).Granted {
			continue
		}
		granted++
		// The run began beside the ones before, as far as the coordinator is told, so that the crashes never become successive.
		coordinator.sideBySide(request, "trial-"+strconv.Itoa(granted))
	}
	g.Expect(granted).To(Equal(maxTrials))
}

// TestTrialsAreLimitedOverAllCoordinators has the coordinators of a partitioned network, and later ones, share the limit.
func TestTrialsAreLimitedOverAllCoordinators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &memoryStore{objects: map[string]objectapi.Object{}}
		request, now := testRequest(1), time.Hour
		coordinators := []*testCoordinator{newTestCoordinator(store, now), newTestCoordinator(store, now)}
		for i, coordinator := range coordinators {
			coordinator.archive.Reconcile(t.Context())
			coordinator.sideBySide(request, "a", "b", "c"+strconv.Itoa(i))
		}
		granted := 0
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 10_000).Draw(rt, "pause")) * time.Millisecond
			i := rapid.IntRange(0, 1).Draw(rt, "coordinator")
			if rapid.IntRange(0, 9).Draw(rt, "replaced") == 0 {
				coordinators[i] = newTestCoordinator(store, now)
			}
			store.unavailable = rapid.IntRange(0, 4).Draw(rt, "unavailable") == 0
			coordinator := coordinators[i]
			coordinator.now = now
			coordinator.Expire()
			coordinator.archive.Reconcile(t.Context())
			if coordinator.askForTrial(request).Granted {
				granted++
			}
		}
		if granted > maxTrials {
			rt.Fatalf("%d trials", granted)
		}
	})
}

// TestNoTrialWithoutStore has the store away: another coordinator could grant the same trial.
func TestNoTrialWithoutStore(t *testing.T) {
	g := NewWithT(t)
	coordinator, store, request := newQuarantined(t)
	coordinator.pass(t, time.Second)
	store.unavailable = true
	coordinator.pass(t, time.Minute)
	g.Expect(coordinator.askForTrial(request).Granted).To(BeFalse())
	store.unavailable = false
	coordinator.pass(t, 2*time.Second)
	g.Expect(coordinator.askForTrial(request).Granted).To(BeTrue())
}

// TestTrialThatReachedNoBackendIsGrantedAgain has all backends still down at the first trial.
func TestTrialThatReachedNoBackendIsGrantedAgain(t *testing.T) {
	g := NewWithT(t)
	coordinator, _, request := newQuarantined(t)
	coordinator.pass(t, firstTrialDelay+time.Second)
	for range 5 {
		g.Expect(coordinator.askForTrial(request).Granted).To(BeTrue())
		coordinator.handle(report{endedTrials: []endedTrial{{request: request}}})
	}
	g.Expect(coordinator.askForTrial(request).Granted).To(BeTrue())
	coordinator.handle(report{endedTrials: []endedTrial{{request: request, reached: true}}})
	coordinator.pass(t, firstTrialDelay+time.Second)
	g.Expect(coordinator.askForTrial(request).Granted).To(BeFalse())
}

// TestRemovedObjectEndsQuarantineBeforeTrial has an operator remove the object of a quarantine shortly before a trial is recorded.
func TestRemovedObjectEndsQuarantineBeforeTrial(t *testing.T) {
	g := NewWithT(t)
	coordinator, store, request := newQuarantined(t)
	coordinator.pass(t, time.Second)
	g.Expect(store.objects).To(HaveLen(1))
	clear(store.objects)
	coordinator.pass(t, firstTrialDelay+2*time.Second)
	g.Expect(coordinator.announced[request].Status()).To(Equal(Status{}))
	g.Expect(store.objects).To(BeEmpty(), "not written again")
}

// TestClientAsksForTrialsSeldom has a node ask for a trial only when one may be due.
func TestClientAsksForTrialsSeldom(t *testing.T) {
	g := NewWithT(t)
	coordinator, _, request := newQuarantined(t)
	subject := Subject{Content: request}
	client := NewClient(ClientOptions{
		Coordinators: ownCoordinator{}, LocalCoordinator: coordinator.Coordinator, Now: func() time.Duration { return coordinator.now },
	})
	client.Announced(coordinator.announced[request])
	g.Expect(client.BeginTrial(t.Context(), subject)).To(Equal(TrialDecision{Wait: firstTrialDelay}))
	coordinator.pass(t, firstTrialDelay+time.Second)
	g.Expect(client.BeginTrial(t.Context(), subject).Granted).To(BeTrue())
	g.Expect(client.BeginTrial(t.Context(), subject)).To(Equal(TrialDecision{Wait: maxRunningWait}))
	coordinator.now += maxRunningWait / 2
	g.Expect(client.BeginTrial(t.Context(), subject)).To(Equal(TrialDecision{Wait: maxRunningWait / 2}), "it remembers")
}

// TestClientGrantsNoTrialItself has no coordinator answer, and parts of the prompt quarantined.
func TestClientGrantsNoTrialItself(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	client := NewClient(ClientOptions{Coordinators: noCoordinator{}, Now: func() time.Duration { return now }})
	subject := Subject{Content: testRequest(1), Parts: NewParts("", []string{"cause"})}
	for _, backend := range []string{"a", "b", "c"} {
		client.Crashed(context.Background(), Crash{Request: Subject{Content: subject.Content}, Backend: backend})
	}
	now += time.Minute
	g.Expect(client.BeginTrial(t.Context(), subject)).To(Equal(TrialDecision{Wait: minTrialWait}))
	client.Announced(Announcement{Request: testRequest(2), Parts: testParts("cause"), Backends: []string{"1", "2", "3"}, Quarantined: time.Minute})
	g.Expect(client.BeginTrial(t.Context(), subject)).To(Equal(TrialDecision{Wait: time.Minute}))
}

// ownCoordinator is a fleet whose coordinator is the node itself.
type ownCoordinator struct{ noCoordinator }

func (ownCoordinator) Coordinator(string) (string, bool) { return "own", true }

// TestTrialMessagesKeepTheirContent encodes and decodes what nodes and coordinators tell each other of trials.
func TestTrialMessagesKeepTheirContent(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	sent := report{
		evidence: []Evidence{{Request: testRequest(1), Backend: "a", At: now - time.Second, Run: span{now - 3*time.Second, now - 2*time.Second}}},
		trials:   []Fingerprint{testRequest(1)}, endedTrials: []endedTrial{{testRequest(2), true}, {testRequest(3), false}},
	}
	g.Expect(decodeReport(now, encodeReport(now, sent))).To(Equal(sent))
	answered := reportResponse{trials: []TrialDecision{{Granted: true, Wait: minTrialWait}, {Wait: time.Minute}}}
	g.Expect(decodeReportResponse(encodeReportResponse(answered))).To(Equal(answered))
	announced := Announcement{Request: testRequest(1), Backends: []string{"a", "b", "c"}, Successive: 2, Trials: 1, Quarantined: time.Minute}
	name, spec, err := EncodeRecord(time.Unix(0, 0), announced)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(DecodeRecord(time.Unix(0, 0), name, spec)).To(Equal(announced))
}

// TestRunOfEarlierBuild decodes a crash whose times of the run are not stated: it counts as one after the other.
func TestRunOfEarlierBuild(t *testing.T) {
	g := NewWithT(t)
	encoded := encodeReport(time.Hour, report{evidence: []Evidence{{Request: testRequest(1), Backend: "a", At: time.Hour - time.Second}}})
	encoded.GetEvidence()[0].BeganAgoMs, encoded.GetEvidence()[0].EndedAgoMs = 0, 0
	at := time.Hour - time.Second
	g.Expect(decodeReport(time.Hour, encoded).evidence[0].Run).To(Equal(span{at, at}))
}
