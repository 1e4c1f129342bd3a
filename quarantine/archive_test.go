package quarantine

import (
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
)

// memoryStore is a store of one kind that may be away.
type memoryStore struct {
	objectapi.Store
	objects  map[string]objectapi.Object
	revision int64
	calls    int
	away     bool
}

func (s *memoryStore) List(context.Context, objectapi.Kind) ([]objectapi.Object, int64, error) {
	s.calls++
	if s.away {
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
	if s.away {
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
	if s.away {
		return objectapi.ErrUnavailable
	}
	if s.objects[name].Version != version {
		return objectapi.ErrConflict
	}
	delete(s.objects, name)
	return nil
}

// keeperAt is a keeper and its archive on a clock that the test sets.
type keeperAt struct {
	*Coordinator
	archive   *Archive
	now       time.Duration
	announced map[Fingerprint]Announcement
}

func newKeeperAt(store objectapi.Store, now time.Duration) *keeperAt {
	k := &keeperAt{now: now, announced: map[Fingerprint]Announcement{}}
	k.Coordinator = NewCoordinator(CoordinatorOptions{
		Announce: func(told Announcement) { k.announced[told.Request] = told },
		Now:      func() time.Duration { return k.now },
	})
	k.archive = NewArchive(store, k.Coordinator, slog.New(slog.DiscardHandler), func() time.Time { return time.Unix(0, 0).Add(k.now) })
	return k
}

// crash tells the keeper of a crash that it has not heard of.
func (k *keeperAt) crash(request Fingerprint, backend string) {
	k.take(report{evidence: []Evidence{{Request: request, Backend: backend, At: k.now}}})
}

// TestAQuarantineOutlivesAllNodes: the keeper writes it once, also where the store is away for a time,
// and a keeper that knows of nothing restores and announces it.
func TestAQuarantineOutlivesAllNodes(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	first, request := newKeeperAt(store, time.Hour), requestNumber(1)
	first.archive.Reconcile(t.Context())
	store.away = true
	for _, backend := range []string{"a", "b", "c"} {
		first.crash(request, backend)
	}
	first.archive.Reconcile(t.Context())
	g.Expect(store.objects).To(BeEmpty())
	store.away = false
	first.archive.Reconcile(t.Context())
	g.Expect(store.objects).To(HaveLen(1))
	calls := store.calls
	first.archive.Reconcile(t.Context())
	g.Expect(store.calls).To(Equal(calls), "nothing has changed")

	const later = 10 * time.Minute
	second := newKeeperAt(store, first.now+later)
	second.archive.Reconcile(t.Context())
	g.Expect(second.announced[request].Quarantined).To(BeNumerically("~", quarantineLifetime-later, time.Second))

	second.now += quarantineLifetime
	second.Expire()
	second.archive.Reconcile(t.Context())
	g.Expect(store.objects).To(BeEmpty(), "the quarantine is over")
	g.Expect(second.announced[request].Status()).To(Equal(Status{}))
}

// TestAnotherWritersObjectsAreLeft: objects that cannot be read restore nothing, and stay.
func TestAnotherWritersObjectsAreLeft(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	valid := requestNumber(1).String()
	for name, spec := range map[string]string{"no-fingerprint": `{}`, valid: `{"untilMillis":"soon"}`} {
		store.objects[name] = objectapi.Object{Kind: Kind, Name: name, Version: 1, Spec: []byte(spec)}
	}
	keeper := newKeeperAt(store, time.Hour)
	keeper.archive.Reconcile(t.Context())
	g.Expect(keeper.announced).To(BeEmpty())
	g.Expect(store.objects).To(HaveLen(2))
}

// TestALaterKeeperKnowsWhatWasAnnounced: the evidence of a suspect is part of what nodes are told, so
// that it outlives the nodes that saw it.
func TestALaterKeeperKnowsWhatWasAnnounced(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	first, request := newKeeperAt(store, time.Hour), requestNumber(1)
	first.crash(request, "a")
	g.Expect(first.announced).To(BeEmpty(), "one crash")
	first.crash(request, "b")
	told := first.announced[request]
	g.Expect(told.Status()).To(Equal(Status{Crashes: 2, Quarantined: suspectLifetime}))
	first.archive.Reconcile(t.Context())
	g.Expect(store.objects).To(BeEmpty(), "over too soon")

	second := newKeeperAt(store, time.Hour)
	second.Adopt(told)
	g.Expect(second.announced).To(BeEmpty(), "all know it")
	second.crash(request, "a")
	g.Expect(second.announced).To(BeEmpty())
	second.crash(request, "c")
	g.Expect(second.announced[request].Status()).To(Equal(Status{Crashes: 3, Quarantined: quarantineLifetime}))
	second.take(report{answered: []Fingerprint{request}})
	g.Expect(second.announced[request].Status()).To(Equal(Status{}))
}

// TestAnOperatorEndsAQuarantineByRemovingItsObject: the keeper looks once a minute, and also one that
// was restored from the store ends.
func TestAnOperatorEndsAQuarantineByRemovingItsObject(t *testing.T) {
	g := NewWithT(t)
	store := &memoryStore{objects: map[string]objectapi.Object{}}
	keeper, request := newKeeperAt(store, time.Hour), requestNumber(1)
	for _, backend := range []string{"a", "b", "c"} {
		keeper.crash(request, backend)
	}
	keeper.archive.Reconcile(t.Context())
	g.Expect(store.objects).To(HaveLen(1))
	clear(store.objects)
	keeper.now += reloadInterval - time.Second
	keeper.archive.Reconcile(t.Context())
	g.Expect(keeper.announced[request].Quarantined).To(BeNumerically(">", 0), "not looked yet")
	keeper.now += time.Second
	keeper.archive.Reconcile(t.Context())
	g.Expect(keeper.announced[request].Status()).To(Equal(Status{}))
	g.Expect(store.objects).To(BeEmpty(), "not written again")
}
