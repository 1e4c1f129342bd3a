package scheduler

import (
	"slices"
	"time"
)

// Bounds of RetryAfter.
const (
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Decide grants a prefill engine to the request, leaves it waiting, or rejects it. It is
// deterministic: the same snapshot and request give the same decision.
func Decide(snapshot *Snapshot, request *Request, options Options) Decision {
	options.setDefaults()
	candidates := prefillCandidates(snapshot, request, &options)
	if len(candidates) == 0 {
		return reject(snapshot, request, ReasonNoEngine)
	}
	if !request.IsPrefillOnly() && !canEverDecode(snapshot, request) {
		return rejectDecode(snapshot, request)
	}
	best := pick(snapshot, candidates)
	firstToken := best.transferEnd + slack(snapshot, request, &options)
	late := firstToken > request.Deadline()
	if late && !request.LateAllowed && !options.NoAdmission {
		return reject(snapshot, request, ReasonDeadline)
	}
	backlogged := best.start-snapshot.Now > options.MaxBacklog
	if backlogged || !hasSlot(snapshot, request, &options, best) {
		return Decision{Kind: KindWait, RequestID: request.ID, CachedTokens: best.cached, FirstToken: firstToken}
	}
	return Decision{
		Kind: KindPrefill, RequestID: request.ID, Prefill: snapshot.Prefill[best.index].Name,
		CachedTokens: best.cached, FirstToken: firstToken,
	}
}

// pick returns the candidate whose KV transfer ends first; ties go to the engine that has been free
// for longest, which balances the load.
func pick(snapshot *Snapshot, candidates []candidate) candidate {
	best := candidates[0]
	for _, other := range candidates[1:] {
		switch {
		case other.transferEnd < best.transferEnd:
			best = other
		case other.transferEnd == best.transferEnd && snapshot.Prefill[other.index].FreeAt < snapshot.Prefill[best.index].FreeAt:
			best = other
		}
	}
	return best
}

// slack is the assumed time from the end of the KV transfer to the first token.
func slack(snapshot *Snapshot, request *Request, options *Options) time.Duration {
	if request.IsPrefillOnly() {
		return 0
	}
	var longest time.Duration
	for i := range snapshot.Decode {
		engine := &snapshot.Decode[i]
		if engine.Ready {
			longest = max(longest, engine.Step.Time(engine.SlotsUsed, engine.KVUsed))
		}
	}
	return time.Duration(options.SlackSteps) * longest
}

func hasSlot(snapshot *Snapshot, request *Request, options *Options, best candidate) bool {
	if request.IsPrefillOnly() || options.Reservation == ReserveNone {
		return true
	}
	ahead := options.Reservation == ReserveAhead
	return freeSlots(snapshot, request, options, best.prefillEnd, ahead) > snapshot.Reserved
}

func rejectDecode(snapshot *Snapshot, request *Request) Decision {
	for i := range snapshot.Decode {
		if snapshot.Decode[i].Ready && !request.excludes(snapshot.Decode[i].Name) {
			return Decision{Kind: KindReject, RequestID: request.ID, Reason: ReasonTooLarge}
		}
	}
	return reject(snapshot, request, ReasonNoEngine)
}

// reject rejects the request and predicts when the pool will have finished its current work.
func reject(snapshot *Snapshot, request *Request, reason Reason) Decision {
	after := minRetryAfter
	if reason == ReasonNoEngine {
		after = time.Second
	}
	after = max(after, drainTime(snapshot))
	return Decision{Kind: KindReject, RequestID: request.ID, Reason: reason, RetryAfter: min(after, maxRetryAfter)}
}

// drainTime predicts how long the granted and waiting prefills still take.
func drainTime(snapshot *Snapshot) time.Duration {
	rate := 0.0
	var busy []time.Duration
	for i := range snapshot.Prefill {
		engine := &snapshot.Prefill[i]
		if engine.Ready {
			rate += engine.TokensPerSecond
			busy = append(busy, max(engine.FreeAt-snapshot.Now, 0))
		}
	}
	if rate == 0 {
		return 0
	}
	return slices.Min(busy) + seconds(float64(snapshot.Ahead.PrefillTokens)/rate)
}

// DecideDecode picks the decode engine for a request whose prefill has ended: among the engines
// with a free slot, enough memory and a step time within the target, the one with the smallest
// share of slots and memory in use. It returns "" if there is no such engine.
func DecideDecode(snapshot *Snapshot, request *Request, options Options) string {
	options.setDefaults()
	best, bestShare := "", 0.0
	for i := range snapshot.Decode {
		engine := &snapshot.Decode[i]
		if !engine.Ready || request.excludes(engine.Name) {
			continue
		}
		if engine.SlotsUsed >= engine.Slots || engine.KVUsed+requestKV(request) > engine.KVTokens {
			continue
		}
		if engine.SlotsUsed > 0 && engine.SlotsUsed >= batchLimit(engine, request.TokenInterval, &options) {
			continue
		}
		share := float64(engine.SlotsUsed+1)/float64(engine.Slots) + float64(engine.KVUsed)/float64(engine.KVTokens)
		if best == "" || share < bestShare {
			best, bestShare = engine.Name, share
		}
	}
	return best
}
