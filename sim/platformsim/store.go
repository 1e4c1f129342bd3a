package platformsim

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/reelrun/reelrun/objectapi"
)

// watchHistory is the number of changes retained for watches that start from an
// earlier revision.
const watchHistory = 4096

// Options are the limits of the store. Zero means no limit.
type Options struct {
	// WritesPerSecond and ReadsPerSecond bound the calls; a watch counts as a read.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// MachineLag is the delay until a change of the machine list becomes visible.
	MachineLag time.Duration
}

// Counts are the numbers of calls that the store has received.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// Waiting is the number of open watches.
	Waiting   int64 `json:"waiting"`
	Throttled int64 `json:"throttled"`
	Conflicts int64 `json:"conflicts"`
}

type key struct {
	kind objectapi.Kind
	name string
}

type change struct {
	revision int64
	event    objectapi.Event
}

// Store is an in-memory object API. It is safe for concurrent use.
type Store struct {
	options Options
	writes  *rate.Limiter
	reads   *rate.Limiter

	mu       sync.Mutex
	revision int64
	objects  map[key]objectapi.Object
	// history holds the latest changes, and trimmedTo is the revision of the newest one
	// removed from it.
	history   []change
	trimmedTo int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	counts  Counts
}

var _ objectapi.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(options Options) *Store {
	return &Store{
		options: options,
		writes:  limiter(options.WritesPerSecond),
		reads:   limiter(options.ReadsPerSecond),
		objects: map[key]objectapi.Object{},
		changed: make(chan struct{}),
	}
}

// limiter returns a limiter whose burst is the calls of a quarter of a second.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond/4), 1))
}

// Counts returns the numbers of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// read counts a read and returns ErrThrottled if it exceeds the rate limit.
func (s *Store) read() error {
	s.counts.Reads++
	if !s.reads.Allow() {
		s.counts.Throttled++
		return objectapi.ErrThrottled
	}
	return nil
}

func (s *Store) write() error {
	s.counts.Writes++
	if !s.writes.Allow() {
		s.counts.Throttled++
		return objectapi.ErrThrottled
	}
	return nil
}

// Get implements objectapi.Store.
func (s *Store) Get(_ context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.read(); err != nil {
		return objectapi.Object{}, err
	}
	object, ok := s.objects[key{kind, name}]
	if !ok {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return object, nil
}

// List implements objectapi.Store.
func (s *Store) List(_ context.Context, kind objectapi.Kind) ([]objectapi.Object, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.read(); err != nil {
		return nil, 0, err
	}
	var listed []objectapi.Object
	for at, object := range s.objects {
		if at.kind == kind {
			listed = append(listed, object)
		}
	}
	slices.SortFunc(listed, func(a, b objectapi.Object) int { return strings.Compare(a.Name, b.Name) })
	return listed, s.revision, nil
}

// Put implements objectapi.Store.
func (s *Store) Put(_ context.Context, object objectapi.Object) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.write(); err != nil {
		return objectapi.Object{}, err
	}
	if len(object.Spec) > objectapi.MaxValueBytes {
		return objectapi.Object{}, objectapi.ErrTooLarge
	}
	at := key{object.Kind, object.Name}
	if s.objects[at].Version != object.Version {
		s.counts.Conflicts++
		return objectapi.Object{}, objectapi.ErrConflict
	}
	s.revision++
	object.Version = s.revision
	object.Spec = slices.Clone(object.Spec)
	s.objects[at] = object
	s.record(objectapi.Event{Object: object})
	return object, nil
}

// Delete implements objectapi.Store.
func (s *Store) Delete(_ context.Context, kind objectapi.Kind, name string, version int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.write(); err != nil {
		return err
	}
	at := key{kind, name}
	object, ok := s.objects[at]
	if !ok {
		return objectapi.ErrNotFound
	}
	if object.Version != version {
		s.counts.Conflicts++
		return objectapi.ErrConflict
	}
	delete(s.objects, at)
	s.revision++
	object.Version = s.revision
	s.record(objectapi.Event{Object: object, Deleted: true})
	return nil
}

func (s *Store) record(event objectapi.Event) {
	s.history = append(s.history, change{s.revision, event})
	if len(s.history) > watchHistory {
		s.trimmedTo = s.history[len(s.history)-watchHistory-1].revision
		s.history = slices.Clone(s.history[len(s.history)-watchHistory:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements objectapi.Store.
func (s *Store) Watch(ctx context.Context, kind objectapi.Kind, after int64, handle func(objectapi.Event)) error {
	s.mu.Lock()
	s.counts.Watches++
	s.counts.Waiting++
	err := s.read()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.counts.Waiting--
		s.mu.Unlock()
	}()
	for err == nil {
		var events []change
		var changed chan struct{}
		events, changed, err = s.since(kind, after)
		for _, recorded := range events {
			handle(recorded.event)
			after = recorded.revision
		}
		if err != nil || len(events) > 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
	return err
}

// since returns the changes of a kind after a revision, and the channel that is closed at the
// next change.
func (s *Store) since(kind objectapi.Kind, after int64) ([]change, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.trimmedTo {
		return nil, nil, objectapi.ErrTooOld
	}
	var selected []change
	for _, recorded := range s.history {
		if recorded.revision > after && recorded.event.Object.Kind == kind {
			selected = append(selected, recorded)
		}
	}
	return selected, s.changed, nil
}

// Snapshot returns all objects of a kind without counting a call, for the checks of
// tests.
func (s *Store) Snapshot(kind objectapi.Kind) []objectapi.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var objects []objectapi.Object
	for at, object := range s.objects {
		if at.kind == kind {
			objects = append(objects, object)
		}
	}
	return objects
}

// SetMachine sets a machine in the platform's own list. Readers see the change
// after MachineLag.
func (s *Store) SetMachine(name string, spec []byte) {
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revision++
		object := objectapi.Object{Kind: objectapi.KindMachine, Name: name, Version: s.revision, Spec: spec}
		s.objects[key{objectapi.KindMachine, name}] = object
		s.record(objectapi.Event{Object: object})
	}
	if s.options.MachineLag == 0 {
		apply()
		return
	}
	time.AfterFunc(s.options.MachineLag, apply)
}
