package softwareversions

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/sim/platformsim"
)

// fixture is a publisher and a prover with a store of their own.
type fixture struct {
	store *countingStore
	// began is when the clock of the node is zero, and epoch the store's epoch.
	began     time.Time
	epoch     int64
	present   map[string][]string
	publisher *Publisher
	prover    *Prover
}

// countingStore counts the reads, takes a time for each, and fails while isDown is set.
type countingStore struct {
	objectapi.Store

	mu       sync.Mutex
	reads    int
	readTime time.Duration
	isDown   bool
}

// Get implements objectapi.Store.
func (s *countingStore) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	s.mu.Lock()
	s.reads++
	isDown := s.isDown
	s.mu.Unlock()
	time.Sleep(s.readTime)
	if isDown {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return s.Store.Get(ctx, kind, name)
}

// newFixture returns a node that has just started, with a store that may have objects already.
func newFixture(store objectapi.Store, present map[string][]string) *fixture {
	f := &fixture{store: &countingStore{Store: store}, began: time.Now(), present: present}
	options := PublisherOptions{
		Store: f.store, Present: func() map[string][]string { return f.present }, Epoch: func() int64 { return f.epoch },
		Announce: func(objectapi.Object) {}, Now: func() time.Duration { return time.Since(f.began) }, Logger: slog.New(slog.DiscardHandler),
	}
	f.publisher, f.prover = NewPublisher(options), NewProver(options)
	return f
}

// reconcile reconciles for a time, as the first node in turn.
func (f *fixture) reconcile(ctx context.Context, duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		f.publisher.Reconcile(ctx, 0)
	}
}

func oneVersion(version string) map[string][]string { return map[string][]string{"s": {version}} }

// TestVersionThatHasLeftIsForgottenAtOnce has the backends of one version leave: the other one must not count as the only
// version while streams of the first one may still be resumed.
func TestVersionThatHasLeftIsForgottenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(platformsim.NewStore(platformsim.Options{}), map[string][]string{"s": {"v1", "v2"}})
		f.reconcile(t.Context(), time.Second)
		f.present = oneVersion("v2")
		f.reconcile(t.Context(), retention-2*time.Second)
		_, err := f.prover.Single(t.Context(), "s")
		g.Expect(err).To(MatchError(ErrSeveral))
		f.reconcile(t.Context(), 4*time.Second)
		g.Expect(f.prover.Single(t.Context(), "s")).To(Equal("v2"))
		time.Sleep(time.Second)
	})
}

// TestNextNodeForgetsPublishedVersions has a second node take over, which has never seen the version that left before.
func TestNextNodeForgetsPublishedVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := platformsim.NewStore(platformsim.Options{})
		newFixture(store, oneVersion("v1")).reconcile(t.Context(), time.Second)
		next := newFixture(store, oneVersion("v2"))
		_, err := next.prover.Single(t.Context(), "s")
		g.Expect(err).To(MatchError(ErrSeveral), "one is published, the other present")
		next.reconcile(t.Context(), time.Second)
		object, err := store.Get(t.Context(), Kind, Name)
		g.Expect(err).NotTo(HaveOccurred())
		record, err := DecodeRecord(object.Spec)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(record.Services).To(Equal(map[string][]string{"s": {"v1", "v2"}}))
		time.Sleep(time.Second)
	})
}

// TestRecordOfRestoredStoreProvesSingleVersion restores the store from a copy. Its record may lack versions, until a node
// that knew the time before has written it again.
func TestRecordOfRestoredStoreProvesSingleVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := platformsim.NewStore(platformsim.Options{})
		witness := newFixture(store, oneVersion("v1"))
		witness.reconcile(t.Context(), time.Second)
		g.Expect(witness.prover.Single(t.Context(), "s")).To(Equal("v1"))

		started := newFixture(store, oneVersion("v1"))
		started.epoch = 1
		started.reconcile(t.Context(), time.Minute)
		_, err := started.prover.Single(t.Context(), "s")
		g.Expect(err).To(MatchError(ErrIncomplete), "this node knows nothing of the time before")

		witness.epoch = 1
		witness.reconcile(t.Context(), time.Second)
		g.Expect(started.prover.Single(t.Context(), "s")).To(Equal("v1"))
		time.Sleep(time.Second)
	})
}

// TestLaterNodesPublishToo has the first node in turn not publish: the third one does after two turns.
func TestLaterNodesPublishToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := platformsim.NewStore(platformsim.Options{})
		f := newFixture(store, oneVersion("v1"))
		began := time.Now()
		for {
			f.publisher.Reconcile(t.Context(), 2)
			if _, err := store.Get(t.Context(), Kind, Name); err == nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		g.Expect(time.Since(began)).To(Equal(2 * turnDelay))
		observer := newFixture(platformsim.NewStore(platformsim.Options{}), oneVersion("v1"))
		for range 100 {
			observer.publisher.Reconcile(t.Context(), -1)
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(observer.store.reads).To(BeZero())
	})
}

// TestResumedStreamsShareReads has many requests wait for the record: each gets a read that began after it arrived, and
// the store few calls. While the store does not answer, requests are rejected at once.
func TestResumedStreamsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(platformsim.NewStore(platformsim.Options{}), oneVersion("v1"))
		f.reconcile(t.Context(), time.Second)
		f.store.reads, f.store.readTime = 0, 20*time.Millisecond
		var waiting sync.WaitGroup
		for range 3 {
			for range 50 {
				waiting.Go(func() {
					version, err := f.prover.Single(t.Context(), "s")
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(version).To(Equal("v1"))
				})
			}
			time.Sleep(10 * time.Millisecond)
		}
		waiting.Wait()
		g.Expect(f.store.reads).To(Equal(2), "one for the first requests, one for those that arrived during it")
		time.Sleep(time.Second)
		f.store.isDown = true
		_, err := f.prover.Single(t.Context(), "s")
		g.Expect(err).To(MatchError(ErrUnavailable))
		began := time.Now()
		_, err = f.prover.Single(t.Context(), "s")
		g.Expect(err).To(MatchError(ErrUnavailable))
		g.Expect(time.Since(began)).To(BeZero())
		time.Sleep(time.Second)
	})
}

// startFixture is a node on which a stream has begun at a start that discovery does not describe, and the version that it is told of
// later.
func startFixture(t *testing.T) (f *fixture, described map[Start]string, start Start) {
	t.Helper()
	f = newFixture(platformsim.NewStore(platformsim.Options{}), oneVersion("v1"))
	described, start = map[Start]string{}, Start{Service: "s", Backend: "b", StartedAt: 5}
	versionOf := func(start Start) (string, bool) {
		version, found := described[start]
		return version, found
	}
	f.publisher.options.VersionOf, f.prover.options.VersionOf = versionOf, versionOf
	f.reconcile(t.Context(), time.Second)
	f.publisher.Undescribed(start)
	return f, described, start
}

// TestStartWithoutVersionProvesNoSingleVersion guards against streams that began at a restarted backend whose entry was not written yet:
// they went on at the version of the entry.
func TestStartWithoutVersionProvesNoSingleVersion(t *testing.T) {
	for _, version := range []string{"v1", "v2"} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f, described, start := startFixture(t)
			f.publisher.Reconcile(t.Context(), -1)
			_, err := f.prover.Single(t.Context(), "s")
			g.Expect(err).To(MatchError(ErrSeveral), "published at once, also by a node that only observes")
			described[start] = version
			got, err := f.prover.Single(t.Context(), "s")
			if version == "v1" {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got).To(Equal(version))
			} else {
				g.Expect(err).To(MatchError(ErrSeveral))
			}
			time.Sleep(time.Second)
		})
	}
}

// TestStartWithoutVersionIsForgotten has two nodes that learn of a start at different times, and whose checks are not at the same time: it
// must not be published anew by the one that forgets it later.
func TestStartWithoutVersionIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, _, _ := startFixture(t)
		f.publisher.Reconcile(t.Context(), 0)
		other := newFixture(f.store.Store, oneVersion("v1"))
		time.Sleep(time.Second)
		for until := time.Now().Add(retention + time.Minute); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			for _, node := range []*fixture{f, other} {
				object, err := f.store.Store.Get(t.Context(), Kind, Name)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(node.publisher.Received(object)).To(Succeed())
				node.publisher.Reconcile(t.Context(), 0)
				time.Sleep(70 * time.Millisecond)
			}
		}
		g.Expect(f.prover.Single(t.Context(), "s")).To(Equal("v1"))
		time.Sleep(time.Second)
	})
}
