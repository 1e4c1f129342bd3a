package enginesim

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
)

// Options configure a stand-in engine.
type Options struct {
	Name  string
	Model string
	Role  api.Role
	// Slots and KVTokens are the limits on concurrently decoded requests and on KV memory
	// in tokens.
	Slots    int
	KVTokens int
	// PrefillTokensPerSecond is the prefill throughput. Prompts are processed one at a
	// time.
	PrefillTokensPerSecond float64
	// StepTime is the interval between tokens with a full batch. With an empty batch the interval
	// is half as long, and in between it is linear.
	StepTime time.Duration
	// LinkTokensPerSecond is the rate of KV export, shared by all transfers of the engine.
	LinkTokensPerSecond float64
	// Hold is how long a prefill result is kept.
	Hold time.Duration
	// StreamRetention is how long a completed stream can still be read.
	StreamRetention time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// ChecksFencingToken makes the engine reject orders with a stale fencing token.
	ChecksFencingToken bool
	// CacheBlocks is the size of the prefix cache in blocks. Its events become visible after
	// CacheDelay; those whose sequence number is divisible by CacheGapEvery are omitted.
	CacheBlocks   int
	CacheDelay    time.Duration
	CacheGapEvery uint64
	// LoadModel loads a model version from the weight store. If nil, model orders load
	// nothing.
	LoadModel func(ctx context.Context, model, version string) error
	// HTTP fetches KV caches from other engines.
	HTTP *http.Client
}

// tombstoneLifetime is how long a cancelled attempt is rejected if it arrives again.
const tombstoneLifetime = 5 * time.Minute

// phase is the current stage of a stream.
type phase int

const (
	phaseQueued phase = iota
	phasePrefilling
	phaseHeld
	phaseImporting
	phaseDecoding
	phaseEnded
	phaseCancelled
)

// stream is a prefill or a decode attempt. The engine's mutex guards it.
type stream struct {
	attempt engine.Attempt
	holder  engine.Holder
	role    api.Role
	phase   phase
	prompt  string
	// generated is the number of output tokens of earlier attempts, which are prefilled
	// after the prompt.
	generated int
	priority  int
	// computed is the number of tokens prefilled, excluding cached ones.
	computed int
	// kvTokens is the KV memory in use, in tokens.
	kvTokens int
	// used is set once a prefill result has been exported.
	used bool
	// produced is the number of output tokens, including those of earlier attempts, and maxTokens
	// its bound.
	produced  int
	maxTokens int
	// readers is the number of connections that read the stream.
	readers int
	ctx     context.Context
	cancel  context.CancelFunc
	// changed is closed and replaced by notify.
	changed chan struct{}
}

// Engine is a stand-in engine. It is safe for concurrent use.
type Engine struct {
	options     Options
	linkLimiter *rate.Limiter
	ledger      ledger

	mu       sync.Mutex
	role     api.Role
	version  string
	adapters []string
	// fencingToken is the highest fencing token of the orders so far.
	fencingToken uint64
	orders       map[string]bool
	streams      map[engine.Attempt]*stream
	tombstones   map[engine.Attempt]time.Time
	queue        []*stream
	prefilling   bool
	cache        *prefixCache
	reports      []timestampedLoad
	finished     int
}

type timestampedLoad struct {
	at   time.Time
	load engine.Load
}

// New returns an engine without requests.
func New(options Options) *Engine {
	const linkBurstTokens = 512
	return &Engine{
		options:     options,
		linkLimiter: rate.NewLimiter(rate.Limit(options.LinkTokensPerSecond), linkBurstTokens),
		role:        options.Role,
		orders:      map[string]bool{},
		streams:     map[engine.Attempt]*stream{},
		tombstones:  map[engine.Attempt]time.Time{},
		cache:       newPrefixCache(options.CacheBlocks, options.CacheDelay, options.CacheGapEvery),
	}
}

func notRunError(status int, code api.Code, text string) *api.Error {
	return api.NewError(status, code, api.OutcomeNotRun, "%s", text)
}

// admit registers a stream or rejects it. The caller holds e.mu.
func (e *Engine) admit(s *stream) error {
	e.removeOldTombstones()
	if _, cancelled := e.tombstones[s.attempt]; cancelled {
		return notRunError(http.StatusConflict, api.CodeCancelled, "attempt was cancelled")
	}
	if _, exists := e.streams[s.attempt]; exists {
		return api.NewError(http.StatusConflict, api.CodeConflict, api.OutcomeUnknown, "attempt runs already")
	}
	if e.role != s.role {
		return notRunError(http.StatusServiceUnavailable, api.CodeNoCapacity, "engine has another role")
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.changed = make(chan struct{})
	e.streams[s.attempt] = s
	return nil
}

func (e *Engine) removeOldTombstones() {
	now := time.Now()
	for attempt, at := range e.tombstones {
		if now.Sub(at) > tombstoneLifetime {
			delete(e.tombstones, attempt)
		}
	}
}

// notify wakes all readers that wait for a change of the stream. The caller holds the
// engine's mutex.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Cancel ends an attempt and rejects it for tombstoneLifetime if it arrives again.
func (e *Engine) Cancel(attempt engine.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tombstones[attempt] = time.Now()
	s, ok := e.streams[attempt]
	if !ok {
		return
	}
	e.recordCancellation(s)
	e.remove(s, phaseCancelled)
}

// Close cancels all streams.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		e.remove(s, phaseCancelled)
	}
}

func (e *Engine) recordCancellation(s *stream) {
	switch s.phase {
	case phaseHeld:
		if !s.used {
			e.record(s, EntryPrefillCancelled, s.computed)
		}
	case phaseImporting, phaseDecoding:
		e.record(s, EntryDecodeCancelled, s.produced)
	}
}

// remove deletes a stream and frees its memory. The caller holds e.mu.
func (e *Engine) remove(s *stream, final phase) {
	s.phase = final
	s.kvTokens = 0
	s.cancel()
	delete(e.streams, s.attempt)
	s.notify()
}

func (e *Engine) record(s *stream, kind EntryKind, tokens int) {
	e.ledger.add(Entry{Kind: kind, Stream: s.attempt, Holder: s.holder, Tokens: tokens})
}

// Streams returns the status of all streams that have not ended.
func (e *Engine) Streams() []engine.StreamStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	statuses := []engine.StreamStatus{}
	for _, s := range e.streams {
		if s.phase == phaseEnded {
			continue
		}
		statuses = append(statuses, engine.StreamStatus{
			Attempt: s.attempt, Holder: s.holder, Phase: s.role, Attached: s.readers > 0,
			KVTokens: s.kvTokens, Offset: s.produced, MaxTokens: s.maxTokens,
		})
	}
	return statuses
}

// usage returns the slots and the KV memory in use. The caller holds e.mu.
func (e *Engine) usage() (slots, kvTokens int) {
	for _, s := range e.streams {
		if s.phase == phaseImporting || s.phase == phaseDecoding {
			slots++
		}
		kvTokens += s.kvTokens
	}
	return slots, kvTokens
}

// Load returns the newest report that is at least LoadLag old, or the oldest kept one
// if none is. Each call adds a report.
func (e *Engine) Load() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, timestampedLoad{now, e.currentLoad()})
	visible := e.reports[0]
	for len(e.reports) > 0 && now.Sub(e.reports[0].at) >= e.options.LoadLag {
		visible = e.reports[0]
		e.reports = e.reports[1:]
	}
	return visible.load
}

func (e *Engine) currentLoad() engine.Load {
	slots, kvTokens := e.usage()
	queued := 0
	for _, waiting := range e.queue {
		queued += engine.CountTokens(waiting.prompt)
	}
	return engine.Load{
		Role: e.role, Model: e.options.Model, ModelVersion: e.version, Adapters: slices.Clone(e.adapters),
		QueuedTokens: queued, SlotsUsed: slots, KVTokensUsed: kvTokens, FinishedTotal: e.finished,
	}
}

// CacheEvents returns the visible cache events with a higher sequence number than after.
func (e *Engine) CacheEvents(after uint64) []engine.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.visible(after, time.Now())
}

// Report returns the ledger with its totals, and the streams and KV memory that the engine holds
// now.
func (e *Engine) Report() Report {
	report := e.ledger.report()
	report.Engine = e.options.Name
	for _, s := range e.Streams() {
		report.HeldStreams++
		report.HeldKVTokens += s.KVTokens
	}
	return report
}
