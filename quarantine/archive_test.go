package quarantine

import (
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
)

// memoryStore is a store of one kind that may be unavailable.
type memoryStore struct {
	objectapi.Store
	objects     map[string]objectapi.Object
	revision    int64
	calls       int
	unavailable bool
}

func (s *memoryStore) List(context.Context, objectapi.Kind) ([]objectapi.Object, int64, error) {
	s.calls++
	if s.unavailable {
		return nil, 0, objectapi.ErrUnavailable
	}
	var objects []objectapi.Object
	for _, object := range s.objects {
		objects = append(objects, object)
	}
	return objects, s.revision, nil
}

func (s *memoryStore) Put(_ context.Context, object objectapi.Object) (objectapi.Object, error) {
	s.calls++
	if s.unavailable {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	if s.objects[object.Name].Version != object.Version {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	s.revision++
	object.Version = s.revision
	s.objects[object.Name] = object
	return object, nil
}

func (s *memoryStore) Delete(_ context.Context, _ objectapi.Kind, name string, version int64) error {
	s.calls++
	if s.unavailable {
		return objectapi.ErrUnavailable
	}
	if s.objects[name].Version != version {
		return objectapi.ErrConflict
	}
	delete(s.objects, name)
	return nil
}

// testCoordinator is a coordinator and its archive on a clock that the test sets.
type testCoordinator struct {
	*Coordinator
	archive   *Archive
	now       time.Duration
	announced map[Fingerprint]Announcement
}

func newTestCoordinator(store objectapi.Store, now time.Duration) *testCoordinator {
	c := &testCoordinator{now: now, announced: map[Fingerprint]Announcement{}}
	c.Coordinator = NewCoordinator(CoordinatorOptions{
		Announce: func(announcement Announcement) { c.announced[announcement.Request] = announcement },
		Now:      func() time.Duration { return c.now },
	})
	c.archive = NewArchive(store, c.Coordinator, slog.New(slog.DiscardHandler), func() time.Time { return time.Unix(0, 0).Add(c.now) })
	return c
}

// crash reports a new crash to the coordinator.
func (c *testCoordinator) crash(request Fingerprint, backend string) {
	c.handle(report{evidence: []Evidence{{Request: request, Backend: backend, At: c.now}}})
}

// TestQuarantineOutlivesAllNodes checks that the coordinator writes a quarantine once, also after an outage of
// the store, and that a coordinator without data restores and announces it.
func TestQuarantineOutlivesAllNodes(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	first, request := newTestCoordinator(store, time.Hour), testRequest(1)
	first.archive.Reconcile(t.Context())
	store.unavailable = true
	for _, backend := range []string{"a", "b", "c"} {
		first.crash(request, backend)
	}
	first.archive.Reconcile(t.Context())
	g.Expect(store.objects).To(BeEmpty())
	store.unavailable = false
	first.archive.Reconcile(t.Context())
	g.Expect(store.objects).To(HaveLen(1))
	calls := store.calls
	first.archive.Reconcile(t.Context())
	g.Expect(store.calls).To(Equal(calls), "nothing has changed")

	const later = 10 * time.Minute
	second := newTestCoordinator(store, first.now+later)
	second.archive.Reconcile(t.Context())
	g.Expect(second.announced[request].Quarantined).To(BeNumerically("~", quarantineDuration-later, time.Second))

	second.now += quarantineDuration
	second.Expire()
	second.archive.Reconcile(t.Context())
	g.Expect(store.objects).To(BeEmpty(), "the quarantine is over")
	g.Expect(second.announced[request].Status()).To(Equal(Status{}))
}

// TestReportBeforeAdoptionKeepsQuarantine has a node report a crash to a coordinator that has not adopted the announcements of the
// one before. It guards against an announcement of this crash alone, which ended the quarantine at all nodes.
func TestReportBeforeAdoptionKeepsQuarantine(t *testing.T) {
	g := NewWithT(t)
	request := testRequest(1)
	earlier := Announcement{Request: request, Backends: []string{"a", "b", "c"}, Quarantined: quarantineDuration}
	var announced []Announcement
	coordinator := NewCoordinator(CoordinatorOptions{
		Announce: func(announcement Announcement) { announced = append(announced, announcement) },
		Known:    func(asked Fingerprint) (Announcement, bool) { return earlier, asked == request },
		Now:      func() time.Duration { return time.Hour },
	})
	for _, backend := range []string{"a", "b"} {
		coordinator.handle(report{evidence: []Evidence{{Request: request, Backend: backend, At: time.Hour - time.Minute}}})
	}
	g.Expect(announced).To(BeEmpty())
	coordinator.handle(report{evidence: []Evidence{{Request: request, Backend: "d", At: time.Hour}}})
	g.Expect(announced).To(HaveLen(1))
	g.Expect(announced[0].Backends).To(Equal([]string{"a", "b", "c", "d"}))
	g.Expect(announced[0].Quarantined).To(Equal(quarantineDuration))
}

// TestInvalidObjectsAreKept checks that objects that cannot be decoded restore nothing, and are not removed.
func TestInvalidObjectsAreKept(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	valid := testRequest(1).String()
	for name, spec := range map[string]string{"no-fingerprint": `{}`, valid: `{"untilMillis":"soon"}`} {
		store.objects[name] = objectapi.Object{Kind: Kind, Name: name, Version: 1, Spec: []byte(spec)}
	}
	coordinator := newTestCoordinator(store, time.Hour)
	coordinator.archive.Reconcile(t.Context())
	g.Expect(coordinator.announced).To(BeEmpty())
	g.Expect(store.objects).To(HaveLen(2))
}

// TestNextCoordinatorAdoptsAnnouncements checks that the evidence against a suspect is part of its
// announcement, so that it survives the nodes that saw it.
func TestNextCoordinatorAdoptsAnnouncements(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	first, request := newTestCoordinator(store, time.Hour), testRequest(1)
	first.crash(request, "a")
	g.Expect(first.announced).To(BeEmpty(), "one crash")
	first.crash(request, "b")
	announcement := first.announced[request]
	g.Expect(announcement.Status()).To(Equal(Status{Crashes: 2, Quarantined: suspectDuration}))
	first.archive.Reconcile(t.Context())
	g.Expect(store.objects).To(BeEmpty(), "it ends too soon to be stored")

	second := newTestCoordinator(store, time.Hour)
	second.Adopt(announcement)
	g.Expect(second.announced).To(BeEmpty(), "it is announced already")
	second.crash(request, "a")
	g.Expect(second.announced).To(BeEmpty())
	second.crash(request, "c")
	g.Expect(second.announced[request].Status()).To(Equal(Status{Crashes: 3, Quarantined: quarantineDuration}))
	second.handle(report{answered: []Fingerprint{request}})
	g.Expect(second.announced[request].Status()).To(Equal(Status{}))
}

// TestRemovingObjectEndsQuarantine checks that the coordinator reads the store once a minute, and that a
// quarantine restored from the store ends as well.
func TestRemovingObjectEndsQuarantine(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	coordinator, request := newTestCoordinator(store, time.Hour), testRequest(1)
	for _, backend := range []string{"a", "b", "c"} {
		coordinator.crash(request, backend)
	}
	coordinator.archive.Reconcile(t.Context())
	g.Expect(store.objects).To(HaveLen(1))
	clear(store.objects)
	coordinator.now += reloadInterval - time.Second
	coordinator.archive.Reconcile(t.Context())
	g.Expect(coordinator.announced[request].Quarantined).To(BeNumerically(">", 0), "not read yet")
	coordinator.now += time.Second
	coordinator.archive.Reconcile(t.Context())
	g.Expect(coordinator.announced[request].Status()).To(Equal(Status{}))
	g.Expect(store.objects).To(BeEmpty(), "not written again")
}

// TestRestoreOfStoreEndsQuarantines restores the store from a copy that lacks a quarantine. The coordinator took the
// missing object for one that an operator had removed, and the request crashed three more backends.
func TestRestoreOfStoreEndsQuarantines(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	coordinator, request := newTestCoordinator(store, time.Hour), testRequest(1)
	for _, backend := range []string{"a", "b", "c"} {
		coordinator.crash(request, backend)
	}
	coordinator.archive.Reconcile(t.Context())
	g.Expect(store.objects).To(HaveLen(1))
	clear(store.objects)
	store.revision = objectapi.NewVersion(1, 0)
	coordinator.now += reloadInterval
	coordinator.archive.Reconcile(t.Context())
	g.Expect(coordinator.announced[request].Quarantined).To(BeNumerically(">", 0))
	g.Expect(store.objects).To(HaveLen(1), "written again")
	clear(store.objects)
	coordinator.now += reloadInterval
	coordinator.archive.Reconcile(t.Context())
	g.Expect(coordinator.announced[request].Status()).To(Equal(Status{}), "removed by an operator")
}

// TestCoordinatorsShareQuarantinesInSeriesOfCrashes has two coordinators, as in a partitioned network. Each read the store once a
// minute, so that a request that one had quarantined went on crashing backends for the other.
func TestCoordinatorsShareQuarantinesInSeriesOfCrashes(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	first, second := newTestCoordinator(store, time.Hour), newTestCoordinator(store, time.Hour)
	first.archive.Reconcile(t.Context())
	second.archive.Reconcile(t.Context())
	request := testRequest(1)
	second.crash(request, "d")
	for _, backend := range []string{"a", "b", "c"} {
		first.crash(request, backend)
	}
	g.Expect(first.archive.Interval()).To(Equal(seriesCheckInterval))
	first.archive.Reconcile(t.Context())
	second.now += seriesReloadInterval
	second.archive.Reconcile(t.Context())
	g.Expect(second.announced[request].Quarantined).To(BeNumerically(">", suspectDuration))
	g.Expect(second.announced[request].Backends).To(ConsistOf("a", "b", "c", "d"))
}

// TestStoreIsReadOftenOnlyInSeriesOfCrashes checks the calls: twice a second after a crash, once a minute later, and no more often
// than once a second while the store does not answer.
func TestStoreIsReadOftenOnlyInSeriesOfCrashes(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	coordinator := newTestCoordinator(store, time.Hour)
	callsFor := func(duration time.Duration) int {
		before := store.calls
		for until := coordinator.now + duration; coordinator.now < until; {
			coordinator.now += coordinator.archive.Interval()
			coordinator.archive.Reconcile(t.Context())
		}
		return store.calls - before
	}
	g.Expect(callsFor(10 * time.Minute)).To(BeNumerically("<=", 11))
	coordinator.crash(testRequest(1), "a")
	g.Expect(callsFor(seriesTime)).To(BeNumerically("~", seriesTime/seriesReloadInterval, 1))
	g.Expect(callsFor(10 * time.Minute)).To(BeNumerically("<=", 11))
	coordinator.crash(testRequest(2), "b")
	store.unavailable = true
	g.Expect(callsFor(seriesTime)).To(BeNumerically("<=", seriesTime/checkStoreInterval))
}

// crashParts reports a crash of a request whose prompt has parts.
func (c *testCoordinator) crashParts(request Fingerprint, backend string, parts ...Part) {
	c.handle(report{evidence: []Evidence{{Request: request, Backend: backend, At: c.now, Parts: parts}}})
}

// settle evaluates the crashes once they count.
func (c *testCoordinator) settle() {
	for range 4 {
		c.now += 250 * time.Millisecond
		c.Expire()
	}
}

// TestSmallerGroupEndsNoQuarantine has a coordinator quarantine two parts together, and another one, in a partitioned network, only
// one of them: it removed the record of both, which the first one took for an operator's wish.
func TestSmallerGroupEndsNoQuarantine(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	first, second := newTestCoordinator(store, time.Hour), newTestCoordinator(store, time.Hour)
	first.archive.Reconcile(t.Context())
	second.archive.Reconcile(t.Context())
	cause, other := NewParts("", []string{"cause"})[0], NewParts("", []string{"other"})[0]
	for i, backend := range []string{"a", "b", "c", "d"} {
		first.crashParts(testRequest(i), backend, cause, other)
		second.crashParts(testRequest(10+i), backend+"2", cause)
	}
	for _, coordinator := range []*testCoordinator{first, second, second, second, first, first, second, first, second} {
		first.now, second.now = max(first.now, second.now), max(first.now, second.now)
		coordinator.settle()
		coordinator.archive.Reconcile(t.Context())
	}
	for _, coordinator := range []*testCoordinator{first, second} {
		g.Expect(coordinator.announced[groupName([]Fingerprint{cause.Shared})].Quarantined).To(BeNumerically(">", suspectDuration))
	}
}
