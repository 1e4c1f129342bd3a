package ledger

import (
	"cmp"
	"slices"
	"time"
)

// Run is one request at a decode engine. Sizes are in tokens.
type Run struct {
	ID     string
	Prompt int
	// Output is the expected number of output tokens.
	Output int
	// CallerEstimate is the number of output tokens that the caller expects; zero if unknown.
	CallerEstimate int
	// MaxOutput is the upper bound of the output; zero if unknown.
	MaxOutput int
	// Engine is the assigned decode engine.
	Engine string
	// Started is the time of the assignment.
	Started time.Duration
	// Holder names the node that serves the run.
	Holder string
}

// Engine is a decode engine.
type Engine struct {
	ID string
	// Memory is the size of its KV memory in tokens.
	Memory int
	// Slots is the number of concurrent runs.
	Slots int
}

// Options configure a Ledger.
type Options struct {
	// UsableShare is the share of an engine's memory that may be assigned. Default 1.
	UsableShare float64
	// Deviations is how many standard deviations of the total output of an engine's runs are kept
	// free. Default 1; docs/KYKLOS.md has the figures.
	Deviations float64
	// Overrun is how much further a run that has reached its expected output is assumed to grow, as
	// a share of that output. Default 0.25.
	Overrun float64
	// DecodeRate is the initial estimate of the tokens per second of one run. Default 1000.
	DecodeRate float64
	// FirstTokenDelay is the initial estimate of the time from an assignment to the first token,
	// which includes the prefill. Default 150ms.
	FirstTokenDelay time.Duration
}

const (
	defaultUsableShare     = 1.0
	defaultDeviations      = 1.0
	defaultOverrun         = 0.25
	defaultDecodeRate      = 1000.0
	defaultFirstTokenDelay = 150 * time.Millisecond
	// rateWeight is the weight of one run in the learned decode rate.
	rateWeight = 0.05
	// minDecodeTime is the minimum time from the first to the last event for an output to be used
	// to learn the decode rate: in less time, the events were delivered together.
	minDecodeTime = 10 * time.Millisecond
	// holderTimeout is how long the runs of a node without contact are kept.
	holderTimeout = 4 * time.Second
	// expireInterval is the minimum time between two checks for nodes without contact.
	expireInterval = 500 * time.Millisecond
	// syncGracePeriod is the age from which a run that its holder does not report counts as ended:
	// the assignment of a younger one may still be on its way to the holder.
	syncGracePeriod = 500 * time.Millisecond
)

// Ledger holds the runs of a service's decode engines.
type Ledger struct {
	options Options
	// decodeRate and firstTokenDelay are learned; options holds the initial estimates.
	decodeRate      float64
	firstTokenDelay time.Duration
	// samples counts the outputs from which decodeRate and firstTokenDelay were learned; tokens and
	// seconds are the weighted totals of these outputs.
	samples         int
	tokens, seconds float64
	engines         []Engine
	runs            map[string]Run
	// byEngine holds the runs of each engine, and byHolder the identifiers of the runs of each
	// holder.
	byEngine map[string]map[string]Run
	byHolder map[string]map[string]bool
	// projected and active are buffers, reused for each engine that is checked.
	projected []projected
	active    []Run
	// rejectedUntil is the time until which an engine gets no runs after it rejected one that
	// should have fitted.
	rejectedUntil map[string]time.Duration
	// expiredAt is the time of the last check for holders without contact.
	expiredAt time.Duration
	// external is the memory that engines use for runs that the ledger does not track.
	external map[string]externalUse
	// outputDeviation is the standard deviation of a run's output, as a share of the expected
	// output.
	outputDeviation float64
	// coverage is the estimated share of all runs that the ledger tracks.
	coverage float64
	// lastContact is when each holder last reported its runs or requested an engine.
	lastContact map[string]time.Duration
}

// New returns an empty ledger.
func New(options Options) *Ledger {
	if options.UsableShare == 0 {
		options.UsableShare = defaultUsableShare
	}
	if options.Deviations == 0 {
		options.Deviations = defaultDeviations
	}
	if options.Overrun == 0 {
		options.Overrun = defaultOverrun
	}
	if options.DecodeRate == 0 {
		options.DecodeRate = defaultDecodeRate
	}
	if options.FirstTokenDelay == 0 {
		options.FirstTokenDelay = defaultFirstTokenDelay
	}
	return &Ledger{
		options: options, decodeRate: options.DecodeRate, firstTokenDelay: options.FirstTokenDelay, runs: map[string]Run{},
		byEngine: map[string]map[string]Run{}, byHolder: map[string]map[string]bool{}, rejectedUntil: map[string]time.Duration{}, lastContact: map[string]time.Duration{}, external: map[string]externalUse{}, coverage: 1,
	}
}

// SetEngines sets the engines that accept runs. Runs at other engines are kept, because an engine
// may return. The ledger does not modify the list.
func (l *Ledger) SetEngines(engines []Engine) { l.engines = engines }

// Sync adds the runs that a holder reports, including those that another ledger assigned, and
// removes its other runs, which have ended.
func (l *Ledger) Sync(now time.Duration, holder string, runs []Run) {
	l.lastContact[holder] = now
	reported := make(map[string]bool, len(runs))
	for _, run := range runs {
		reported[run.ID] = true
		if _, known := l.runs[run.ID]; !known {
			run.Holder = holder
			l.add(run)
		}
	}
	for id := range l.byHolder[holder] {
		if !reported[id] && now-l.runs[id].Started > syncGracePeriod {
			l.remove(id)
		}
	}
	l.expire(now)
}

// End removes a run and returns it.
func (l *Ledger) End(id string, output OutputTiming) (Run, bool) {
	run, known := l.runs[id]
	if !known {
		return Run{}, false
	}
	l.remove(id)
	if output.Duration-output.FirstEvent >= minDecodeTime && output.RestTokens > 0 {
		l.learn(output)
	}
	return run, true
}

// Rejected records that the engine of a run rejected it. The engine has information that the ledger
// lacks, so the engine gets no runs for the given time.
func (l *Ledger) Rejected(now time.Duration, id string, pause time.Duration) {
	if run, known := l.runs[id]; known {
		l.rejectedUntil[run.Engine] = max(l.rejectedUntil[run.Engine], now+pause)
	}
}

// Assign assigns a run to the engine with the lowest predicted peak of memory use. It reports false
// if the run fits on no engine.
func (l *Ledger) Assign(now time.Duration, run Run, avoid map[string]bool) (string, bool) {
	return l.AssignPreferring(now, run, avoid, func(string) bool { return false })
}

// preferenceAllowance is how much fuller, as a share of its memory, a preferred engine may be than
// the least full one. The coordinator prefers engines in the zone of the run's node, because
// otherwise the whole output is sent between zones.
const preferenceAllowance = 0.1

// AssignPreferring is Assign, but prefers engines for which isPreferred holds unless they are much
// fuller.
func (l *Ledger) AssignPreferring(now time.Duration, run Run, avoid map[string]bool, isPreferred func(id string) bool) (string, bool) {
	l.lastContact[run.Holder] = now
	l.expire(now)
	var best, preferred choice
	for _, engine := range l.engines {
		if avoid[engine.ID] || now < l.rejectedUntil[engine.ID] {
			continue
		}
		peak, fits := l.peakWith(now, engine, run)
		if !fits {
			continue
		}
		best.consider(engine.ID, peak)
		if isPreferred(engine.ID) {
			preferred.consider(engine.ID, peak)
		}
	}
	if best.engine == "" {
		return "", false
	}
	if preferred.engine != "" && preferred.peak <= best.peak+preferenceAllowance {
		best = preferred
	}
	run.Engine, run.Started = best.engine, now
	l.add(run)
	return best.engine, true
}

// Fits reports whether a run fits on an engine.
func (l *Ledger) Fits(now time.Duration, run Run) bool {
	return slices.ContainsFunc(l.engines, func(engine Engine) bool {
		if now < l.rejectedUntil[engine.ID] {
			return false
		}
		_, fits := l.peakWith(now, engine, run)
		return fits
	})
}

// choice is the candidate with the lowest peak so far.
type choice struct {
	engine string
	peak   float64
}

// consider replaces the choice by an engine with a lower peak; ties go to the first by name.
func (c *choice) consider(engine string, peak float64) {
	if c.engine == "" || peak < c.peak || peak == c.peak && engine < c.engine {
		c.engine, c.peak = engine, peak
	}
}

// add adds a run, replacing one with the same identifier.
func (l *Ledger) add(run Run) {
	l.remove(run.ID)
	l.runs[run.ID] = run
	if l.byEngine[run.Engine] == nil {
		l.byEngine[run.Engine] = map[string]Run{}
	}
	l.byEngine[run.Engine][run.ID] = run
	if l.byHolder[run.Holder] == nil {
		l.byHolder[run.Holder] = map[string]bool{}
	}
	l.byHolder[run.Holder][run.ID] = true
}

func (l *Ledger) remove(id string) {
	run, known := l.runs[id]
	if !known {
		return
	}
	delete(l.runs, id)
	delete(l.byEngine[run.Engine], id)
	if len(l.byEngine[run.Engine]) == 0 {
		delete(l.byEngine, run.Engine)
	}
	delete(l.byHolder[run.Holder], id)
	if len(l.byHolder[run.Holder]) == 0 {
		delete(l.byHolder, run.Holder)
	}
}

// TimeUntilCapacity returns the time until a run fits on some engine, if every run ends as expected
// and no other run arrives. It is zero if the run fits after the end of no other run.
func (l *Ledger) TimeUntilCapacity(now time.Duration, run Run) time.Duration {
	earliest := time.Duration(0)
	for _, engine := range l.engines {
		after, found := l.timeUntilCapacityOn(now, engine, run, l.byEngine[engine.ID])
		if found && (earliest == 0 || after < earliest) {
			earliest = after
		}
	}
	return earliest
}

// timeUntilCapacityOn returns the time until a run fits on one engine. It reports false if the run
// fits after the end of none of the active runs.
func (l *Ledger) timeUntilCapacityOn(now time.Duration, engine Engine, run Run, active map[string]Run) (time.Duration, bool) {
	byEnd := make([]Run, 0, len(active))
	for _, current := range active {
		byEnd = append(byEnd, current)
	}
	slices.SortFunc(byEnd, func(a, b Run) int { return cmp.Compare(l.remaining(now, a), l.remaining(now, b)) })
	for i, ending := range byEnd {
		after := l.remaining(now, ending)
		if _, fits := l.peakOf(now+after, engine, run, byEnd[i+1:]); fits {
			return after, true
		}
	}
	return 0, false
}

// SetCoverage sets the share of all runs that the ledger tracks, above 0 and up to 1. The memory
// predicted for the runs of each engine is divided by this share.
func (l *Ledger) SetCoverage(share float64) { l.coverage = share }

// RecentHolders returns how many holders had contact with the ledger within the given window.
func (l *Ledger) RecentHolders(now, window time.Duration) int {
	count := 0
	for _, at := range l.lastContact {
		if now-at <= window {
			count++
		}
	}
	return count
}

// Len returns the number of runs in the ledger.
func (l *Ledger) Len() int { return len(l.runs) }

// expire drops the runs of holders without contact for longer than holderTimeout.
func (l *Ledger) expire(now time.Duration) {
	if now-l.expiredAt < expireInterval {
		return
	}
	l.expiredAt = now
	for id, run := range l.runs {
		if now-l.lastContact[run.Holder] > holderTimeout {
			l.remove(id)
		}
	}
	for holder, at := range l.lastContact {
		if now-at > holderTimeout {
			delete(l.lastContact, holder)
		}
	}
}

// Counts returns the number of runs of each engine.
func (l *Ledger) Counts() map[string]int {
	counts := make(map[string]int, len(l.byEngine))
	for id, runs := range l.byEngine {
		counts[id] = len(runs)
	}
	return counts
}
