package softwareversions

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/logging"
	"github.com/reelrun/reelrun/objectapi"
)

const (
	// turnDelay is how long each node waits for the one before it to publish.
	turnDelay = 300 * time.Millisecond
	// retryDelay is the pause after a failed call to the store.
	retryDelay = time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
)

// PublisherOptions configures a Publisher.
type PublisherOptions struct {
	Store objectapi.Store
	// Present returns the software versions of the backends of each service.
	Present func() map[string][]string
	// VersionOf returns the version of a start of a backend. Default: no start is described.
	VersionOf StartVersion
	// Wall reads the wall clock. Default: time.Now.
	Wall func() time.Time
	// Epoch returns the newest known epoch of the store.
	Epoch func() int64
	// Announce sends the published object to the other nodes.
	Announce func(object objectapi.Object)
	// Now reads a monotonic clock.
	Now    func() time.Duration
	Logger *slog.Logger
}

// Publisher keeps the published record complete. It is safe for concurrent use.
type Publisher struct {
	options PublisherOptions

	mu      sync.Mutex
	tracker tracker
	starts  startTracker
	// published is the record as this node last received or wrote it, and version that of its object; zero for none.
	published Record
	version   int64
	// isIncomplete is set while the record lacks something, and incompleteSince when that was first found.
	isIncomplete    bool
	incompleteSince time.Duration
	// pausedUntil is when the store may be called again after a failure.
	pausedUntil time.Duration
}

// NewPublisher returns a publisher that knows no record.
func NewPublisher(options PublisherOptions) *Publisher {
	options.setDefaults()
	return &Publisher{options: options, tracker: tracker{seen: versionSets[time.Duration]{}}, starts: startTracker{}}
}

// setDefaults sets the options that are not set.
func (o *PublisherOptions) setDefaults() {
	if o.VersionOf == nil {
		o.VersionOf = func(Start) (string, bool) { return "", false }
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
}

// Undescribed has a start published at which a stream has begun although discovery describes another one.
func (p *Publisher) Undescribed(start Start) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Wall()
	p.starts.note(now, now.Add(retention), start)
}

// Received applies the published object, as read from the store or sent by another node.
func (p *Publisher) Received(object objectapi.Object) error {
	record, err := DecodeRecord(object.Spec)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if object.Version <= p.version {
		return nil
	}
	p.published, p.version = record, object.Version
	p.tracker.receive(p.options.Now(), record)
	for _, published := range record.Starts {
		p.starts.note(p.options.Wall(), time.UnixMilli(published.UntilMillis), published.Start)
	}
	return nil
}

// OnlyPublished returns the version of a service if this node knows of no other published one.
func (p *Publisher) OnlyPublished(service string) (version string, isOnly bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.published.Services[service]
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// Reconcile publishes what is missing. Position is the number of nodes that should do so before this one; negative for
// a node that only observes. Starts are published by each node at once: others may not know of them.
func (p *Publisher) Reconcile(ctx context.Context, position int) {
	wanted, version, due := p.due(position)
	if !due {
		return
	}
	err := p.publish(ctx, wanted, version)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.pausedUntil = p.options.Now() + retryDelay
	}
}

// due returns the record to publish and the version of the object to replace, if it is this node's turn.
func (p *Publisher) due(position int) (wanted Record, version int64, due bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, epoch := p.options.Now(), p.options.Epoch()
	p.tracker.observe(now, p.options.Present(), epoch)
	wanted = p.tracker.wanted(now, p.published, epoch)
	wanted.Starts = p.starts.wanted(p.options.Wall(), p.options.VersionOf)
	if lacksAny(p.published.Starts, wanted.Starts) {
		position = 0
	}
	if wanted.equal(p.published) || len(wanted.Services) == 0 {
		p.isIncomplete = false
		return Record{}, 0, false
	}
	if !p.isIncomplete {
		p.isIncomplete, p.incompleteSince = true, now
	}
	isTurn := position >= 0 && now-p.incompleteSince >= time.Duration(position)*turnDelay
	return wanted, p.version, isTurn && now >= p.pausedUntil
}

// lacksAny reports whether a list lacks any of the given starts.
func lacksAny(list, starts []PublishedStart) bool {
	return slices.ContainsFunc(starts, func(wanted PublishedStart) bool {
		return !slices.ContainsFunc(list, func(published PublishedStart) bool { return published.Start == wanted.Start })
	})
}

// publish writes the record. If the store has another object than the known one, that is read first, and the record
// written in the next round if it still lacks something.
func (p *Publisher) publish(ctx context.Context, wanted Record, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if version == 0 {
		if found, err := p.load(ctx); found || err != nil {
			return err
		}
	}
	spec, err := wanted.encode()
	if err != nil {
		return err
	}
	written, err := p.options.Store.Put(ctx, objectapi.Object{Kind: Kind, Name: Name, Version: version, Spec: spec})
	p.options.Logger.Info("software versions published", "services", wanted.Services, "starts", len(wanted.Starts), "epoch", wanted.Epoch, "error", logging.ErrorText(err))
	if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrNotFound) {
		return p.reload(ctx)
	}
	if err != nil {
		return err
	}
	return p.apply(written)
}

// load reads the object from the store. It reports whether there is one.
func (p *Publisher) load(ctx context.Context) (found bool, err error) {
	stored, err := p.options.Store.Get(ctx, Kind, Name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return true, p.apply(stored)
}

// reload reads the object again, whose version is not the known one: another node has written it, or the store has been
// restored.
func (p *Publisher) reload(ctx context.Context) error {
	p.mu.Lock()
	p.published, p.version = Record{}, 0
	p.mu.Unlock()
	_, err := p.load(ctx)
	return err
}

// apply applies the stored object and sends it to the other nodes.
func (p *Publisher) apply(stored objectapi.Object) error {
	if err := p.Received(stored); err != nil {
		return err
	}
	p.options.Announce(stored)
	return nil
}
