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

// Options are the properties of a stand-in engine.
type Options struct {
	Name  string
	Model string
	Role  api.Role
	// Slots and KVTokens bound what it decodes at once.
	Slots    int
	KVTokens int
	// PrefillTokensPerSecond is the rate of its serial prefill.
	PrefillTokensPerSecond float64
	// StepTime is the interval between tokens with a full batch; an empty one takes half.
	StepTime time.Duration
	// LinkTokensPerSecond is the rate of KV export, shared by all transfers.
	LinkTokensPerSecond float64
	// Hold is how long a prefill result is kept.
	Hold time.Duration
	// StreamRetention is how long an ended stream can be read again.
	StreamRetention time.Duration
	// LoadLag is the age of its load reports.
	LoadLag time.Duration
	// ChecksFence rejects orders with a stale fence.
	ChecksFence bool
	// CacheBlocks is the size of the prefix cache; CacheDelay and CacheGapEvery
	// describe its events.
	CacheBlocks   int
	CacheDelay    time.Duration
	CacheGapEvery uint64
	// LoadModel loads a model version from the weight store. It may be nil.
	LoadModel func(ctx context.Context, model, version string) error
	// HTTP fetches KV caches from other engines.
	HTTP *http.Client
}

// tombstoneTime is how long a cancelled attempt is refused.
const tombstoneTime = 5 * time.Minute

// phase is where a stream stands.
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

// stream is a prefill result or a decode stream. The engine's lock guards it.
type stream struct {
	attempt engine.Attempt
	holder  engine.Holder
	role    api.Role
	phase   phase
	prompt  string
	// generated is the number of tokens that an earlier attempt produced.
	generated int
	priority  int
	// computed is the number of tokens prefilled, without cached ones.
	computed int
	kvTokens int
	used     bool
	produced int
	max      int
	attached int
	ctx      context.Context
	cancel   context.CancelFunc
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// Engine is a stand-in engine. It is safe for concurrent use.
type Engine struct {
	options Options
	link    *rate.Limiter
	ledger  ledger

	mu         sync.Mutex
	role       api.Role
	version    string
	adapters   []string
	fence      uint64
	orders     map[string]bool
	streams    map[engine.Attempt]*stream
	tombstones map[engine.Attempt]time.Time
	queue      []*stream
	busy       bool
	cache      *prefixCache
	reports    []timedLoad
	finished   int
}

type timedLoad struct {
	at   time.Time
	load engine.Load
}

// New returns an idle engine.
func New(options Options) *Engine {
	const linkBurstTokens = 512
	return &Engine{
		options:    options,
		link:       rate.NewLimiter(rate.Limit(options.LinkTokensPerSecond), linkBurstTokens),
		role:       options.Role,
		orders:     map[string]bool{},
		streams:    map[engine.Attempt]*stream{},
		tombstones: map[engine.Attempt]time.Time{},
		cache:      newPrefixCache(options.CacheBlocks, options.CacheDelay, options.CacheGapEvery),
	}
}

func refuse(status int, code api.Code, text string) *api.Error {
	return api.NewError(status, code, api.OutcomeNotRun, "%s", text)
}

// admit registers a stream, or refuses it. The caller holds the lock.
func (e *Engine) admit(added *stream) error {
	e.sweepTombstones()
	if _, cancelled := e.tombstones[added.attempt]; cancelled {
		return refuse(http.StatusConflict, api.CodeCancelled, "attempt was cancelled")
	}
	if _, exists := e.streams[added.attempt]; exists {
		return api.NewError(http.StatusConflict, api.CodeConflict, api.OutcomeUnknown, "attempt runs already")
	}
	if e.role != added.role {
		return refuse(http.StatusServiceUnavailable, api.CodeNoCapacity, "engine has another role")
	}
	added.ctx, added.cancel = context.WithCancel(context.Background())
	added.changed = make(chan struct{})
	e.streams[added.attempt] = added
	return nil
}

func (e *Engine) sweepTombstones() {
	now := time.Now()
	for attempt, at := range e.tombstones {
		if now.Sub(at) > tombstoneTime {
			delete(e.tombstones, attempt)
		}
	}
}

// notify wakes everyone who waits for the stream. The caller holds the lock.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Cancel ends an attempt and remembers it.
func (e *Engine) Cancel(attempt engine.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tombstones[attempt] = time.Now()
	held, ok := e.streams[attempt]
	if !ok {
		return
	}
	e.recordCancel(held)
	e.remove(held, phaseCancelled)
}

// Close ends everything that the engine holds.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, held := range e.streams {
		e.remove(held, phaseCancelled)
	}
}

func (e *Engine) recordCancel(held *stream) {
	switch held.phase {
	case phaseHeld:
		if !held.used {
			e.record(held, EntryPrefillCancelled, held.computed)
		}
	case phaseImporting, phaseDecoding:
		e.record(held, EntryDecodeCancelled, held.produced)
	}
}

// remove drops a stream and its memory. The caller holds the lock.
func (e *Engine) remove(held *stream, final phase) {
	held.phase = final
	held.kvTokens = 0
	held.cancel()
	delete(e.streams, held.attempt)
	held.notify()
}

func (e *Engine) record(held *stream, kind EntryKind, tokens int) {
	e.ledger.add(Entry{Kind: kind, Stream: held.attempt, Holder: held.holder, Tokens: tokens})
}

// Streams lists what the engine holds.
func (e *Engine) Streams() []engine.StreamStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	statuses := []engine.StreamStatus{}
	for _, held := range e.streams {
		if held.phase == phaseEnded {
			continue
		}
		statuses = append(statuses, engine.StreamStatus{
			Attempt: held.attempt, Holder: held.holder, Phase: held.role, Attached: held.attached > 0,
			KVTokens: held.kvTokens, Offset: held.produced, MaxTokens: held.max,
		})
	}
	return statuses
}

// usage returns the slots and memory in use. The caller holds the lock.
func (e *Engine) usage() (slots, kvTokens int) {
	for _, held := range e.streams {
		if held.phase == phaseImporting || held.phase == phaseDecoding {
			slots++
		}
		kvTokens += held.kvTokens
	}
	return slots, kvTokens
}

// Load returns the newest report that is at least as old as the lag.
func (e *Engine) Load() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, timedLoad{now, e.currentLoad()})
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

// CacheEvents returns the visible cache events after a sequence number.
func (e *Engine) CacheEvents(after uint64) []engine.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.visible(after, time.Now())
}

// Report returns the ledger.
func (e *Engine) Report() Report {
	report := e.ledger.report()
	report.Engine = e.options.Name
	for _, held := range e.Streams() {
		report.HeldStreams++
		report.HeldKVTokens += held.KVTokens
	}
	return report
}
