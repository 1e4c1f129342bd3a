package model

import (
	"time"

	"github.com/reelrun/reelrun/sim/eventqueue"
)

// phase is where a job stands.
type phase int

const (
	phaseNew phase = iota
	phaseQueued
	phasePrefilling
	phaseHeld
	phaseMoving
	phaseDecoding
	phaseDone
)

// run is the state of a job.
type run struct {
	phase phase
	// attempt tells events of an earlier attempt from those of the present one.
	attempt int
	prefill int
	decode  int
	// computed is the uncached tokens of the present prefill.
	computed int
	used     bool
	produced int
	first    time.Duration
	last     time.Duration
	refused  bool
	answered bool
}

// prefillEngine prefills one prompt at a time.
type prefillEngine struct {
	queue  []*job
	busy   bool
	queued int
	cache  *prefixCache
	// linkFree is when its link is free.
	linkFree time.Duration
	// gone states that it has changed its role.
	gone bool
}

// decodeEngine decodes a batch, one token a step.
type decodeEngine struct {
	// waiting are held prefill results that wait for a slot, in order.
	waiting []*job
	// moving counts transfers under way, which have their slot and memory.
	moving int
	batch  []*job
	kv     int
	up     bool
	ticks  bool
	// gone states that it has changed its role.
	gone bool
}

func (e *decodeEngine) slotsUsed() int { return len(e.batch) + e.moving }

// simulation is one run of the model.
type simulation struct {
	eventqueue.Queue
	parameters Parameters
	prefills   []*prefillEngine
	decodes    []*decodeEngine
	router     router
	stalls     func() bool
	gaps       func() bool

	prefilled int
	wasted    int
}

// startPrefill queues a job at a prefill engine.
func (s *simulation) startPrefill(j *job, engine int) {
	j.state.phase = phaseQueued
	j.state.attempt++
	j.state.prefill = engine
	target := s.prefills[engine]
	target.queue = append(target.queue, j)
	target.queued += j.prompt
	s.nextPrefill(engine)
}

func (s *simulation) nextPrefill(engine int) {
	target := s.prefills[engine]
	for !target.busy && len(target.queue) > 0 {
		j := target.queue[0]
		target.queue = target.queue[1:]
		target.queued -= j.prompt
		if j.state.phase != phaseQueued {
			continue
		}
		target.busy = true
		j.state.phase = phasePrefilling
		cached := min(target.cache.match(j.blocks), j.prompt)
		j.state.computed = j.prompt - cached
		duration := s.parameters.PrefillOverhead + time.Duration(float64(j.state.computed)/s.parameters.PrefillTokensPerSecond*float64(second))
		s.After(duration, func() { s.endPrefill(j, engine) })
	}
}

func (s *simulation) endPrefill(j *job, engine int) {
	target := s.prefills[engine]
	target.busy = false
	s.prefilled += j.state.computed
	evicted := target.cache.store(j.blocks)
	s.tellEvictions(engine, evicted)
	switch {
	case j.state.phase != phasePrefilling:
		s.wasted += j.state.computed // Its caller has gone.
	case j.kind.maxOutput <= 1:
		s.emit(j)
		s.finish(j, true)
	default:
		s.hold(j)
	}
	s.nextPrefill(engine)
	s.router.changed()
}

// tellEvictions brings cache events to the router late, and not all of them.
func (s *simulation) tellEvictions(engine int, evicted []uint64) {
	if len(evicted) == 0 {
		return
	}
	told := make([]uint64, 0, len(evicted))
	for _, block := range evicted {
		if !s.gaps() {
			told = append(told, block)
		}
	}
	s.After(s.parameters.EventDelay, func() { s.router.evicted(engine, told) })
}

// hold keeps a prefill result for a few seconds.
func (s *simulation) hold(j *job) {
	j.state.phase = phaseHeld
	j.state.used = false
	attempt := j.state.attempt
	s.After(s.parameters.Hold, func() {
		if j.state.attempt == attempt && j.state.phase == phaseHeld {
			s.lapse(j)
		}
	})
	s.router.prefillDone(j)
}

// lapse drops a result that no decode engine took in time.
func (s *simulation) lapse(j *job) {
	s.wasted += j.state.computed
	s.dropWaiting(j)
	const maxAttempts = 2
	if j.state.attempt >= maxAttempts {
		s.finish(j, false)
		return
	}
	s.router.failed(j)
}

func (s *simulation) dropWaiting(j *job) {
	for _, engine := range s.decodes {
		for i, waiting := range engine.waiting {
			if waiting == j {
				engine.waiting = append(engine.waiting[:i], engine.waiting[i+1:]...)
				return
			}
		}
	}
}

// enqueueDecode lets a held result wait for a slot of a decode engine.
func (s *simulation) enqueueDecode(j *job, engine int) {
	j.state.decode = engine
	s.decodes[engine].waiting = append(s.decodes[engine].waiting, j)
	s.admit(engine)
}

// admit starts the transfers for which an engine has room.
func (s *simulation) admit(engine int) {
	target := s.decodes[engine]
	for target.up && len(target.waiting) > 0 {
		j := target.waiting[0]
		need := j.prompt + longestOutput
		if target.slotsUsed() >= s.parameters.Slots || target.kv+need > s.parameters.KVTokens {
			return
		}
		target.waiting = target.waiting[1:]
		target.moving++
		target.kv += need
		s.move(j, engine)
	}
}

// move transfers a KV cache over the link of its prefill engine.
func (s *simulation) move(j *job, engine int) {
	j.state.phase = phaseMoving
	j.state.used = true
	source := s.prefills[j.state.prefill]
	start := max(s.Now(), source.linkFree)
	duration := time.Duration(float64(j.prompt) / s.parameters.LinkTokensPerSecond * float64(second))
	if s.stalls() {
		duration += s.parameters.StallTime
	}
	source.linkFree = start + duration
	attempt := j.state.attempt
	s.After(start+duration-s.Now(), func() { s.moved(j, engine, attempt) })
}

func (s *simulation) moved(j *job, engine, attempt int) {
	target := s.decodes[engine]
	if !target.up {
		return
	}
	target.moving--
	if j.state.phase != phaseMoving || j.state.attempt != attempt {
		target.kv -= j.prompt + longestOutput
		s.admit(engine)
		return
	}
	j.state.phase = phaseDecoding
	target.batch = append(target.batch, j)
	s.step(engine)
}

// step lets an engine produce one token for each job of its batch, again and again.
func (s *simulation) step(engine int) {
	target := s.decodes[engine]
	if target.ticks || len(target.batch) == 0 || !target.up {
		return
	}
	target.ticks = true
	context := 0
	for _, j := range target.batch {
		context += j.prompt + j.state.produced
	}
	s.After(s.parameters.Step.Time(len(target.batch), context), func() { s.endStep(engine) })
}

func (s *simulation) endStep(engine int) {
	target := s.decodes[engine]
	target.ticks = false
	if !target.up {
		return
	}
	still := target.batch[:0]
	var ended []*job
	for _, j := range target.batch {
		if j.state.phase == phaseDecoding {
			s.emit(j)
		}
		if j.state.phase != phaseDecoding || j.state.produced >= j.output || (j.hangUp && j.state.produced >= j.output/2) {
			target.kv -= j.prompt + longestOutput
			ended = append(ended, j)
			continue
		}
		still = append(still, j)
	}
	clear(target.batch[len(still):])
	target.batch = still
	for _, j := range ended {
		if j.state.phase == phaseDecoding {
			s.finish(j, !j.hangUp)
		}
	}
	s.admit(engine)
	s.step(engine)
	if len(ended) > 0 {
		s.router.changed()
	}
}

func (s *simulation) emit(j *job) {
	if j.state.produced == 0 {
		j.state.first = s.Now()
	}
	j.state.last = s.Now()
	j.state.produced++
}

// finish ends a job; answered is false if its caller did not get all of it.
func (s *simulation) finish(j *job, answered bool) {
	if j.state.phase == phaseDone {
		return
	}
	j.state.phase = phaseDone
	j.state.answered = answered
	s.router.finished(j)
}

// leave ends a job whose caller has lost its patience.
func (s *simulation) leave(j *job) {
	if j.state.phase == phaseDone || j.state.produced > 0 {
		return
	}
	if j.state.phase == phaseHeld {
		s.wasted += j.state.computed
		s.dropWaiting(j)
	}
	if j.state.phase == phaseMoving {
		s.wasted += j.state.computed
	}
	s.finish(j, false)
	s.router.changed()
}

// refuse gives a job its final answer at once.
func (s *simulation) refuse(j *job) {
	j.state.refused = true
	j.state.phase = phaseDone
}

// fail takes a decode engine away and brings it back.
func (s *simulation) fail(engine int, down time.Duration) {
	target := s.decodes[engine]
	target.up = false
	lost := append(append([]*job(nil), target.batch...), target.waiting...)
	lost = append(lost, s.allMoving(engine)...)
	target.batch, target.waiting, target.moving, target.kv, target.ticks = nil, nil, 0, 0, false
	s.router.engineDown(engine)
	for _, j := range lost {
		if j.state.phase != phaseDone {
			s.router.failed(j)
		}
	}
	s.After(down, func() {
		target.up = true
		s.router.engineUp(engine)
		s.router.changed()
	})
}

func (s *simulation) allMoving(engine int) []*job {
	var moving []*job
	for _, j := range s.router.jobs() {
		if j.state.phase == phaseMoving && j.state.decode == engine {
			moving = append(moving, j)
		}
	}
	return moving
}
