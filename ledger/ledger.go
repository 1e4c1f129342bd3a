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
	// Output is how many tokens are expected to come out.
	Output int
	// CallerEstimate is what its caller expected; zero where that is not known.
	CallerEstimate int
	// MaxOutput bounds it; zero where that is not known.
	MaxOutput int
	// Engine is the decode engine that it was given.
	Engine string
	// Started is when it was given.
	Started time.Duration
	// Holder names the node that serves it.
	Holder string
}

// Engine is a decode engine.
type Engine struct {
	ID string
	// Memory is how many tokens it holds.
	Memory int
	// Slots is how many runs it takes at once.
	Slots int
}

// Options are the assumptions of a Ledger.
type Options struct {
	// UsableShare is the share of an engine's memory that is given. Default 1.
	UsableShare float64
	// Deviations is how many standard deviations of what the runs of an engine will make
	// together are kept free. Default 1 (docs/KYKLOS.md has the figures).
	Deviations float64
	// Overrun is how much more, as a share of its expected output, a run is taken to
	// make once it has made that. Default 0.25.
	Overrun float64
	// DecodeRate is the first guess of how many tokens a run makes in a second. Default
	// 1000.
	DecodeRate float64
	// FirstTokenDelay is the first guess of the time from an assignment to the first token, while the
	// prompt is read. Default 150ms.
	FirstTokenDelay time.Duration
}

const (
	defaultFill       = 1.0
	defaultDeviations = 1.0
	defaultOverrun    = 0.25
	defaultPace       = 1000.0
	defaultStart      = 150 * time.Millisecond
	// paceWeight is the weight of one run in the learned pace.
	paceWeight = 0.05
	// leastAnswer is the time below which an answer says nothing of the pace: its events came
	// together.
	leastAnswer = 10 * time.Millisecond
	// silenceLimit is how long the runs of a node are kept that tells nothing of them.
	silenceLimit = 4 * time.Second
	// forgetInterval is the least time between two looks for such nodes.
	forgetInterval = 500 * time.Millisecond
	// syncSlack is how old a run must be to be missed in what its holder tells: the
	// assignment of a younger one may still be on its way there.
	syncSlack = 500 * time.Millisecond
)

// Ledger is the ledger.
type Ledger struct {
	options Options
	// pace and start are learned; options has the first guesses.
	pace  float64
	start time.Duration
	// answers counts those that taught them, tokens and seconds are what they took together.
	answers         int
	tokens, seconds float64
	engines         []Engine
	runs            map[string]Run
	// byEngine holds the runs of each engine, and byHolder the identifiers of those of each holder.
	byEngine map[string]map[string]Run
	byHolder map[string]map[string]bool
	// projected and active are used for one look at an engine after the other.
	projected []projected
	active    []Run
	// refusedUntil holds the engines that did not take a run that should have fitted, until
	// they are given runs again.
	refusedUntil map[string]time.Duration
	forgotAt     time.Duration
	// foreign holds what engines use for runs that the ledger does not know.
	foreign map[string]foreignUse
	// spread is the standard deviation of a run's length, as a share of what is expected.
	spread float64
	// coverage is the share of the runs that the ledger is taken to know.
	coverage float64
	// heard is when each holder last told of its runs or asked for an engine.
	heard map[string]time.Duration
}

// New returns an empty ledger.
func New(options Options) *Ledger {
	if options.UsableShare == 0 {
		options.UsableShare = defaultFill
	}
	if options.Deviations == 0 {
		options.Deviations = defaultDeviations
	}
	if options.Overrun == 0 {
		options.Overrun = defaultOverrun
	}
	if options.DecodeRate == 0 {
		options.DecodeRate = defaultPace
	}
	if options.FirstTokenDelay == 0 {
		options.FirstTokenDelay = defaultStart
	}
	return &Ledger{
		options: options, pace: options.DecodeRate, start: options.FirstTokenDelay, runs: map[string]Run{},
		byEngine: map[string]map[string]Run{}, byHolder: map[string]map[string]bool{}, refusedUntil: map[string]time.Duration{}, heard: map[string]time.Duration{}, foreign: map[string]foreignUse{}, coverage: 1,
	}
}

// SetEngines states which engines take runs. Runs at other engines are kept: an
// engine may come back. The ledger only reads the list.
func (l *Ledger) SetEngines(engines []Engine) { l.engines = engines }

// Sync takes over all runs of a holder, whichever ledger gave them. Runs of the
// holder that it does not name have ended.
func (l *Ledger) Sync(now time.Duration, holder string, runs []Run) {
	l.heard[holder] = now
	named := make(map[string]bool, len(runs))
	for _, run := range runs {
		named[run.ID] = true
		if _, known := l.runs[run.ID]; !known {
			run.Holder = holder
			l.add(run)
		}
	}
	for id := range l.byHolder[holder] {
		if !named[id] && now-l.runs[id].Started > syncSlack {
			l.remove(id)
		}
	}
	l.forget(now)
}

// End forgets a run and returns it.
func (l *Ledger) End(id string, answer AnswerTiming) (Run, bool) {
	run, known := l.runs[id]
	if !known {
		return Run{}, false
	}
	l.remove(id)
	if answer.Duration-answer.FirstEvent >= leastAnswer && answer.RestTokens > 0 {
		l.learn(answer)
	}
	return run, true
}

// Refused notes that the engine of a run did not take it. The ledger knows less than
// the engine then, and leaves it alone for a time.
func (l *Ledger) Refused(now time.Duration, id string, pause time.Duration) {
	if run, known := l.runs[id]; known {
		l.refusedUntil[run.Engine] = max(l.refusedUntil[run.Engine], now+pause)
	}
}

// Assign gives a run to the engine that will be the least full, and reports false
// where none has room.
func (l *Ledger) Assign(now time.Duration, run Run, avoid map[string]bool) (string, bool) {
	return l.AssignPreferring(now, run, avoid, func(string) bool { return false })
}

// nearAllowance is how much fuller, as a share of its memory, an engine in the zone of the run's
// node may be than the least full one. A whole answer crosses the border otherwise.
const nearAllowance = 0.1

// AssignPreferring is Assign, but prefers engines for which isNear holds where they are not much fuller.
func (l *Ledger) AssignPreferring(now time.Duration, run Run, avoid map[string]bool, isNear func(id string) bool) (string, bool) {
	l.heard[run.Holder] = now
	l.forget(now)
	var best, near choice
	for _, engine := range l.engines {
		if avoid[engine.ID] || now < l.refusedUntil[engine.ID] {
			continue
		}
		peak, fits := l.peakWith(now, engine, run)
		if !fits {
			continue
		}
		best.offer(engine.ID, peak)
		if isNear(engine.ID) {
			near.offer(engine.ID, peak)
		}
	}
	if best.engine == "" {
		return "", false
	}
	if near.engine != "" && near.peak <= best.peak+nearAllowance {
		best = near
	}
	run.Engine, run.Started = best.engine, now
	l.add(run)
	return best.engine, true
}

// choice is the least full engine of those offered.
type choice struct {
	engine string
	peak   float64
}

// offer takes an engine over if it will be less full; of equal ones the first by its name counts.
func (c *choice) offer(engine string, peak float64) {
	if c.engine == "" || peak < c.peak || peak == c.peak && engine < c.engine {
		c.engine, c.peak = engine, peak
	}
}

// add puts a run into the ledger, in the place of one of the same name.
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

// TimeUntilCapacity returns how long it will take until a run fits somewhere, if every
// run ends as expected and no other comes.
func (l *Ledger) TimeUntilCapacity(now time.Duration, run Run) time.Duration {
	soonest := time.Duration(0)
	for _, engine := range l.engines {
		after, found := l.roomAt(now, engine, run, l.byEngine[engine.ID])
		if found && (soonest == 0 || after < soonest) {
			soonest = after
		}
	}
	return soonest
}

// roomAt returns how long it will take until a run fits at one engine.
func (l *Ledger) roomAt(now time.Duration, engine Engine, run Run, active map[string]Run) (time.Duration, bool) {
	left := make([]Run, 0, len(active))
	for _, current := range active {
		left = append(left, current)
	}
	slices.SortFunc(left, func(a, b Run) int { return cmp.Compare(l.remaining(now, a), l.remaining(now, b)) })
	for i, ending := range left {
		after := l.remaining(now, ending)
		if _, fits := l.peakOf(now+after, engine, run, left[i+1:]); fits {
			return after, true
		}
	}
	return 0, false
}

// SetCoverage states which share of the runs the ledger knows, above 0 and up to 1.
// Each engine is taken to need as much more as that.
func (l *Ledger) SetCoverage(share float64) { l.coverage = share }

// RecentHolders returns how many holders the ledger has heard of lately.
func (l *Ledger) RecentHolders(now, lately time.Duration) int {
	count := 0
	for _, at := range l.heard {
		if now-at <= lately {
			count++
		}
	}
	return count
}

// Len returns the number of runs in the ledger.
func (l *Ledger) Len() int { return len(l.runs) }

// forget drops the runs of holders that have been silent for too long.
func (l *Ledger) forget(now time.Duration) {
	if now-l.forgotAt < forgetInterval {
		return
	}
	l.forgotAt = now
	for id, run := range l.runs {
		if now-l.heard[run.Holder] > silenceLimit {
			l.remove(id)
		}
	}
	for holder, at := range l.heard {
		if now-at > silenceLimit {
			delete(l.heard, holder)
		}
	}
}

// Counts returns how many runs each engine has.
func (l *Ledger) Counts() map[string]int {
	counts := make(map[string]int, len(l.byEngine))
	for id, runs := range l.byEngine {
		counts[id] = len(runs)
	}
	return counts
}
