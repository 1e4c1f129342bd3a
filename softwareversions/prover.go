package softwareversions

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/objectapi"
)

// Errors that say why a service is not known to have had a single version.
var (
	// ErrSeveral means that the service has had several versions, or none.
	ErrSeveral = errors.New("softwareversions: not a single version")
	// ErrIncomplete means that the record lacks what was published before the store was restored from a copy.
	ErrIncomplete = errors.New("softwareversions: the record is from an earlier epoch of the store")
	// ErrUnavailable means that the record could not be read.
	ErrUnavailable = errors.New("softwareversions: the record cannot be read")
)

const (
	// readTimeout bounds the wait for the record.
	readTimeout = 500 * time.Millisecond
	// readInterval is the shortest time between the ends of two reads of a node, which bounds the calls when many callers
	// resume streams at once.
	readInterval = 200 * time.Millisecond
	// failurePause is how long a failed read is not repeated, so that requests are rejected at once while the store does
	// not answer.
	failurePause = time.Second
)

// Prover proves that a service has had a single version. A stream began while its version was published, or present, so the
// record is read after the request to resume it has arrived: a copy could be older than the stream. It is safe for
// concurrent use.
type Prover struct {
	options PublisherOptions

	mu sync.Mutex
	// running is the read in progress, and next the one after it; nil for none.
	running, next *read
	// failedAt is when the last read failed; hasFailed is set until one succeeds.
	failedAt  time.Duration
	hasFailed bool
}

// read is one read of the record, which several requests may wait for.
type read struct {
	done   chan struct{}
	object objectapi.Object
	err    error
}

// NewProver returns a prover that has read nothing.
func NewProver(options PublisherOptions) *Prover {
	options.setDefaults()
	return &Prover{options: options}
}

// Single returns the only version that a service has had of late, or an error that says why that is not known.
func (p *Prover) Single(ctx context.Context, service string) (string, error) {
	if present := p.options.Present()[service]; len(present) > 1 {
		return "", errors.Wrapf(ErrSeveral, "%d versions", len(present))
	}
	object, err := p.record(ctx)
	if errors.Is(err, objectapi.ErrNotFound) {
		return "", ErrIncomplete
	}
	if err != nil {
		return "", errors.CombineErrors(ErrUnavailable, err)
	}
	published, err := DecodeRecord(object.Spec)
	if err != nil {
		return "", errors.CombineErrors(ErrUnavailable, err)
	}
	if published.Epoch < max(p.options.Epoch(), objectapi.EpochOf(object.Version)) {
		return "", ErrIncomplete
	}
	started, err := p.versionsOfStarts(service, published.Starts)
	if err != nil {
		return "", err
	}
	versions := slices.Concat(published.Services[service], p.options.Present()[service], started)
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) != 1 || len(published.Services[service]) == 0 {
		return "", errors.Wrapf(ErrSeveral, "%d versions", len(versions))
	}
	return versions[0], nil
}

// versionsOfStarts returns the versions of the published starts of a service's backends, or ErrSeveral if one is not known.
func (p *Prover) versionsOfStarts(service string, starts []PublishedStart) ([]string, error) {
	if len(starts) >= maxStarts {
		return nil, errors.Wrap(ErrSeveral, "too many starts without a version")
	}
	var versions []string
	for _, start := range starts {
		if start.Service != service {
			continue
		}
		version, isDescribed := p.options.VersionOf(start.Start)
		if !isDescribed {
			return nil, errors.Wrapf(ErrSeveral, "start of %s without a version", start.Backend)
		}
		versions = append(versions, version)
	}
	return versions, nil
}

// record returns the published object from a read that begins now or later.
func (p *Prover) record(ctx context.Context) (objectapi.Object, error) {
	p.mu.Lock()
	if p.hasFailed && p.options.Now()-p.failedAt < failurePause {
		p.mu.Unlock()
		return objectapi.Object{}, ErrUnavailable
	}
	if p.next == nil {
		p.next = &read{done: make(chan struct{})}
	}
	awaited := p.next
	if p.running == nil {
		p.start()
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout+readInterval)
	defer cancel()
	select {
	case <-awaited.done:
		return awaited.object, awaited.err
	case <-ctx.Done():
		return objectapi.Object{}, ctx.Err()
	}
}

// start starts the next read; the lock is held.
func (p *Prover) start() {
	p.running, p.next = p.next, nil
	go p.run(p.running)
}

// run performs a read, and starts the next one after readInterval if a request waits for it.
func (p *Prover) run(current *read) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	current.object, current.err = p.options.Store.Get(ctx, Kind, Name)
	cancel()
	p.mu.Lock()
	p.hasFailed = current.err != nil && !errors.Is(current.err, objectapi.ErrNotFound)
	p.failedAt = p.options.Now()
	p.mu.Unlock()
	close(current.done)
	time.AfterFunc(readInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.running = nil
		if p.next != nil {
			p.start()
		}
	})
}
