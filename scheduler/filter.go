package scheduler

import "time"

// seconds converts a number of seconds to a duration.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// candidate is one possible placement of a prefill.
type candidate struct {
	index      int
	cached     int
	start      time.Duration
	prefillEnd time.Duration
	// transferEnd is when the KV cache is predicted to be at the decode engine.
	transferEnd time.Duration
}

// prefillCandidates returns the prefill engines that can take the request, with a prediction for
// each.
func prefillCandidates(snapshot *Snapshot, request *Request, options *Options) []candidate {
	candidates := make([]candidate, 0, len(snapshot.Prefill))
	for i := range snapshot.Prefill {
		engine := &snapshot.Prefill[i]
		if !engine.Ready || request.excludes(engine.Name) || engine.TokensPerSecond <= 0 {
			continue
		}
		candidates = append(candidates, predict(snapshot, request, options, i))
	}
	return candidates
}

func predict(snapshot *Snapshot, request *Request, options *Options, index int) candidate {
	engine := &snapshot.Prefill[index]
	cached := 0
	if !options.NoAffinity {
		cached = min(snapshot.Index.CachedTokens(engine.Name, request.Prefixes), request.PromptTokens)
	}
	start := max(snapshot.Now, engine.FreeAt)
	end := start + seconds(float64(request.PromptTokens-cached)/engine.TokensPerSecond)
	transferEnd := end
	if !request.IsPrefillOnly() && snapshot.LinkTokensPerSecond > 0 {
		transferEnd = max(end, engine.LinkFreeAt) + seconds(float64(request.PromptTokens)/snapshot.LinkTokensPerSecond)
	}
	return candidate{index: index, cached: cached, start: start, prefillEnd: end, transferEnd: transferEnd}
}

// requestKV is the KV memory that a request needs at its decode engine.
func requestKV(request *Request) int { return request.PromptTokens + request.MaxTokens }

// batchLimit is the largest batch of an engine that keeps the step time within the target, for the
// context tokens that are in use now.
func batchLimit(engine *DecodeState, interval time.Duration, options *Options) int {
	if options.NoBatchLimit || interval <= 0 || engine.Step.PerRequest <= 0 {
		return engine.Slots
	}
	remaining := interval - engine.Step.Time(0, engine.KVUsed)
	return min(engine.Slots, max(int(remaining/engine.Step.PerRequest), 0))
}

// canEverDecode reports whether an idle decode engine could hold the request.
func canEverDecode(snapshot *Snapshot, request *Request) bool {
	for i := range snapshot.Decode {
		engine := &snapshot.Decode[i]
		if engine.Ready && !request.excludes(engine.Name) && engine.KVTokens >= requestKV(request) {
			return true
		}
	}
	return false
}

// freeSlots counts the decode slots that are open to the request at a given time: those free now
// and, if ahead is set, a share of those that are expected to become free by then. The share is
// below one, because a request that finds no slot has to wait, and its prefill result may expire.
func freeSlots(snapshot *Snapshot, request *Request, options *Options, at time.Duration, ahead bool) int {
	free, ending := 0, 0.0
	for i := range snapshot.Decode {
		engine := &snapshot.Decode[i]
		if !engine.Ready || request.excludes(engine.Name) {
			continue
		}
		if ahead {
			ending += options.AheadShare * engine.CompletionRate * max(at-snapshot.Now, 0).Seconds()
		}
		if engine.KVUsed+requestKV(request) > engine.KVTokens {
			continue
		}
		free += max(batchLimit(engine, request.TokenInterval, options)-engine.SlotsUsed, 0)
	}
	return free + int(ending)
}
