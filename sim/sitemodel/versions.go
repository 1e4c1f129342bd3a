package sitemodel

import (
	"math/rand/v2"
	"slices"
)

// anyVersion is the version of a request that engines of all software versions can serve.
const anyVersion = -1

// versionOf returns the software version of an engine: the versions alternate.
func (s *simulation) versionOf(engine *decodeEngine) int { return engine.id % s.versions }

// mayServe reports whether an engine has the software version that a request needs.
func (s *simulation) mayServe(engine *decodeEngine, incoming *request) bool {
	return incoming.version == anyVersion || incoming.version == s.versionOf(engine)
}

// enginesFor returns the numbers of the engines that can serve a request, in random order.
func (s *simulation) enginesFor(incoming *request, random *rand.Rand) []int {
	return slices.DeleteFunc(random.Perm(len(s.decodes)), func(i int) bool { return !s.mayServe(s.decodes[i], incoming) })
}

// drawBreaks decides which callers break off their streams, each after half of the output, and resume them.
func drawBreaks(requests []*request, share float64, random *rand.Rand) {
	for _, drawn := range requests {
		drawn.version = anyVersion
		if drawn.output < 2 || random.Float64() >= share { //nolint:mnd // one token for each half
			continue
		}
		drawn.rest = drawn.output / 2 //nolint:mnd // half
		drawn.output -= drawn.rest
	}
}

// resume has the caller of a stream that was broken off resume it at the version of its engine: the prompt and what
// was generated so far are prefilled, and the rest is generated.
func (s *simulation) resume(engine *decodeEngine, broken *request) {
	broken.resumed = true
	broken.version = s.versionOf(engine)
	broken.isLate = broken.isLate || !s.isInTime(broken)
	broken.prompt += broken.output
	broken.output, broken.rest = broken.rest, 0
	broken.hint = max(1, broken.hint/2) //nolint:mnd // half
	broken.prefills, broken.retried, broken.paused = 0, false, false
	s.arrive(broken)
}

// isInTime reports whether the first event of a request's last attempt came in time, and no pause was too long.
func (s *simulation) isInTime(ended *request) bool {
	return ended.firstEventAt-ended.attemptedAt <= s.site.Objective && !ended.paused
}
