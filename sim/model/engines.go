package model

import (
	"time"

	"github.com/reelrun/reelrun/sim/eventqueue"
)

// phase is the current stage of a job.
type phase int

const (
	phaseNew phase = iota
	phaseQueued
	phasePrefilling
	phaseHeld
	phaseTransferring
	phaseDecoding
	phaseDone
)

// jobState is the mutable state of a job.
type jobState struct {
	phase phase
	// attempt counts attempts, so that events of an earlier attempt are ignored.
	attempt       int
	prefillEngine int
	decodeEngine  int
	// uncachedTokens is the number of prompt tokens that the current prefill computes.
	uncachedTokens  int
	transferStarted bool
	outputTokens    int
	firstTokenAt    time.Duration
	lastTokenAt     time.Duration
	rejected        bool
	answered        bool
}

// prefillEngine processes one prompt at a time.
type prefillEngine struct {
	queue        []*job
	busy         bool
	queuedTokens int
	cache        *prefixCache
	// linkFreeAt is when the last transfer on the engine's link ends.
	linkFreeAt time.Duration
	// removed is set when the engine begins to change its role.
	removed bool
}

// decodeEngine decodes a batch and produces one token per request and step.
type decodeEngine struct {
	// waiting are jobs with a held prefill result that wait for a slot, in FIFO order.
	waiting []*job
	// transfers counts transfers in progress. Each has its slot and memory reserved.
	transfers int
	batch     []*job
	kvTokens  int
	available bool
	stepping  bool
	// removed is set when the engine begins to change its role.
	removed bool
}

func (e *decodeEngine) slotsUsed() int { return len(e.batch) + e.transfers }

// simulation is the state of one run of the model.
type simulation struct {
	eventqueue.Queue
	parameters     Parameters
	prefills       []*prefillEngine
	decodes        []*decodeEngine
	router         router
	transferStalls func() bool
	eventLost      func() bool

	prefilledTokens int
	wastedTokens    int
}

// enqueuePrefill adds a job to the queue of a prefill engine.
func (s *simulation) enqueuePrefill(j *job, engine int) {
	j.state.phase = phaseQueued
	j.state.attempt++
	j.state.prefillEngine = engine
	target := s.prefills[engine]
	target.queue = append(target.queue, j)
	target.queuedTokens += j.prompt
	s.startNextPrefill(engine)
}

func (s *simulation) startNextPrefill(engine int) {
	target := s.prefills[engine]
	for !target.busy && len(target.queue) > 0 {
		j := target.queue[0]
		target.queue = target.queue[1:]
		target.queuedTokens -= j.prompt
		if j.state.phase != phaseQueued {
			continue
		}
		target.busy = true
		j.state.phase = phasePrefilling
		cached := min(target.cache.match(j.blocks), j.prompt)
		j.state.uncachedTokens = j.prompt - cached
		duration := s.parameters.PrefillOverhead + time.Duration(float64(j.state.uncachedTokens)/s.parameters.PrefillTokensPerSecond*float64(second))
		s.After(duration, func() { s.finishPrefill(j, engine) })
	}
}

func (s *simulation) finishPrefill(j *job, engine int) {
	target := s.prefills[engine]
	target.busy = false
	s.prefilledTokens += j.state.uncachedTokens
	evicted := target.cache.store(j.blocks)
	s.publishEvictions(engine, evicted)
	switch {
	case j.state.phase != phasePrefilling:
		s.wastedTokens += j.state.uncachedTokens // The caller has disconnected.
	case j.kind.maxOutput <= 1:
		s.emitToken(j)
		s.finish(j, true)
	default:
		s.hold(j)
	}
	s.startNextPrefill(engine)
	s.router.capacityChanged()
}

// publishEvictions sends eviction events to the router after a delay and loses some.
func (s *simulation) publishEvictions(engine int, evicted []uint64) {
	if len(evicted) == 0 {
		return
	}
	published := make([]uint64, 0, len(evicted))
	for _, block := range evicted {
		if !s.eventLost() {
			published = append(published, block)
		}
	}
	s.After(s.parameters.EventDelay, func() { s.router.blocksEvicted(engine, published) })
}

// hold keeps a prefill result for Parameters.Hold.
func (s *simulation) hold(j *job) {
	j.state.phase = phaseHeld
	j.state.transferStarted = false
	attempt := j.state.attempt
	s.After(s.parameters.Hold, func() {
		if j.state.attempt == attempt && j.state.phase == phaseHeld {
			s.expire(j)
		}
	})
	s.router.prefillDone(j)
}

// expire discards a prefill result that no decode engine fetched within
// Parameters.Hold.
func (s *simulation) expire(j *job) {
	s.wastedTokens += j.state.uncachedTokens
	s.removeWaiting(j)
	const maxAttempts = 2
	if j.state.attempt >= maxAttempts {
		s.finish(j, false)
		return
	}
	s.router.attemptFailed(j)
}

func (s *simulation) removeWaiting(j *job) {
	for _, engine := range s.decodes {
		for i, waiting := range engine.waiting {
			if waiting == j {
				engine.waiting = append(engine.waiting[:i], engine.waiting[i+1:]...)
				return
			}
		}
	}
}

// enqueueDecode adds a job with a held result to the queue of a decode engine.
func (s *simulation) enqueueDecode(j *job, engine int) {
	j.state.decodeEngine = engine
	s.decodes[engine].waiting = append(s.decodes[engine].waiting, j)
	s.startTransfers(engine)
}

// startTransfers starts the transfers for which a decode engine has slots and memory.
func (s *simulation) startTransfers(engine int) {
	target := s.decodes[engine]
	for target.available && len(target.waiting) > 0 {
		j := target.waiting[0]
		kvNeeded := j.prompt + longestOutput
		if target.slotsUsed() >= s.parameters.Slots || target.kvTokens+kvNeeded > s.parameters.KVTokens {
			return
		}
		target.waiting = target.waiting[1:]
		target.transfers++
		target.kvTokens += kvNeeded
		s.transfer(j, engine)
	}
}

// transfer sends a KV cache over the link of its prefill engine.
func (s *simulation) transfer(j *job, engine int) {
	j.state.phase = phaseTransferring
	j.state.transferStarted = true
	source := s.prefills[j.state.prefillEngine]
	start := max(s.Now(), source.linkFreeAt)
	duration := time.Duration(float64(j.prompt) / s.parameters.LinkTokensPerSecond * float64(second))
	if s.transferStalls() {
		duration += s.parameters.StallTime
	}
	source.linkFreeAt = start + duration
	attempt := j.state.attempt
	s.After(start+duration-s.Now(), func() { s.finishTransfer(j, engine, attempt) })
}

func (s *simulation) finishTransfer(j *job, engine, attempt int) {
	target := s.decodes[engine]
	if !target.available {
		return
	}
	target.transfers--
	if j.state.phase != phaseTransferring || j.state.attempt != attempt {
		target.kvTokens -= j.prompt + longestOutput
		s.startTransfers(engine)
		return
	}
	j.state.phase = phaseDecoding
	target.batch = append(target.batch, j)
	s.startStep(engine)
}

// startStep schedules the next decode step, which produces one token for each job of
// the batch. Each step starts the next one while the batch is not empty.
func (s *simulation) startStep(engine int) {
	target := s.decodes[engine]
	if target.stepping || len(target.batch) == 0 || !target.available {
		return
	}
	target.stepping = true
	context := 0
	for _, j := range target.batch {
		context += j.prompt + j.state.outputTokens
	}
	s.After(s.parameters.Step.Time(len(target.batch), context), func() { s.finishStep(engine) })
}

func (s *simulation) finishStep(engine int) {
	target := s.decodes[engine]
	target.stepping = false
	if !target.available {
		return
	}
	remaining := target.batch[:0]
	var ended []*job
	for _, j := range target.batch {
		if j.state.phase == phaseDecoding {
			s.emitToken(j)
		}
		if j.state.phase != phaseDecoding || j.state.outputTokens >= j.output || (j.disconnects && j.state.outputTokens >= j.output/2) {
			target.kvTokens -= j.prompt + longestOutput
			ended = append(ended, j)
			continue
		}
		remaining = append(remaining, j)
	}
	clear(target.batch[len(remaining):])
	target.batch = remaining
	for _, j := range ended {
		if j.state.phase == phaseDecoding {
			s.finish(j, !j.disconnects)
		}
	}
	s.startTransfers(engine)
	s.startStep(engine)
	if len(ended) > 0 {
		s.router.capacityChanged()
	}
}

func (s *simulation) emitToken(j *job) {
	if j.state.outputTokens == 0 {
		j.state.firstTokenAt = s.Now()
	}
	j.state.lastTokenAt = s.Now()
	j.state.outputTokens++
}

// finish ends a job; answered is false if the caller did not get the whole output.
func (s *simulation) finish(j *job, answered bool) {
	if j.state.phase == phaseDone {
		return
	}
	j.state.phase = phaseDone
	j.state.answered = answered
	s.router.finished(j)
}

// abandon ends a job whose caller gave up waiting for the first token.
func (s *simulation) abandon(j *job) {
	if j.state.phase == phaseDone || j.state.outputTokens > 0 {
		return
	}
	if j.state.phase == phaseHeld {
		s.wastedTokens += j.state.uncachedTokens
		s.removeWaiting(j)
	}
	if j.state.phase == phaseTransferring {
		s.wastedTokens += j.state.uncachedTokens
	}
	s.finish(j, false)
	s.router.capacityChanged()
}

// reject ends a job that the router rejected.
func (s *simulation) reject(j *job) {
	j.state.rejected = true
	j.state.phase = phaseDone
}

// failDecodeEngine makes a decode engine unavailable for the given time. Its jobs
// start again with a new attempt.
func (s *simulation) failDecodeEngine(engine int, downtime time.Duration) {
	target := s.decodes[engine]
	target.available = false
	interrupted := append(append([]*job(nil), target.batch...), target.waiting...)
	interrupted = append(interrupted, s.transfersTo(engine)...)
	target.batch, target.waiting, target.transfers, target.kvTokens, target.stepping = nil, nil, 0, 0, false
	s.router.engineDown(engine)
	for _, j := range interrupted {
		if j.state.phase != phaseDone {
			s.router.attemptFailed(j)
		}
	}
	s.After(downtime, func() {
		target.available = true
		s.router.engineUp(engine)
		s.router.capacityChanged()
	})
}

func (s *simulation) transfersTo(engine int) []*job {
	var transferring []*job
	for _, j := range s.router.jobs() {
		if j.state.phase == phaseTransferring && j.state.decodeEngine == engine {
			transferring = append(transferring, j)
		}
	}
	return transferring
}
