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

// Decide grants a prefill engine to the request, leaves it waiting, or refuses
// it. The same snapshot and request always give the same decision.
func Decide(snapshot *Snapshot, request *Request, options Options) Decision {
	options.setDefaults()
	candidates := prefillCandidates(snapshot, request, &options)
	if len(candidates) == 0 {
		return refuse(snapshot, request, ReasonNoEngine)
	}
	if !request.IsLocal() && !canEverDecode(snapshot, request) {
		return refuseDecode(snapshot, request)
	}
	best := pick(snapshot, candidates)
	firstToken := best.moved + slack(snapshot, request, &options)
	late := firstToken > request.Deadline()
	if late && !request.LateAllowed && !options.NoAdmission {
		return refuse(snapshot, request, ReasonDeadline)
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

// pick takes the candidate whose KV cache is ready first; among equals the one
// that has been free for longest, so that load spreads.
func pick(snapshot *Snapshot, candidates []candidate) candidate {
	best := candidates[0]
	for _, other := range candidates[1:] {
		switch {
		case other.moved < best.moved:
			best = other
		case other.moved == best.moved && snapshot.Prefill[other.index].FreeAt < snapshot.Prefill[best.index].FreeAt:
			best = other
		}
	}
	return best
}

// slack is the time from the arrival of the KV cache to the first token.
func slack(snapshot *Snapshot, request *Request, options *Options) time.Duration {
	if request.IsLocal() {
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
	if request.IsLocal() || options.Reservation == ReserveNone {
		return true
	}
	ahead := options.Reservation == ReserveAhead
	return freeSlots(snapshot, request, options, best.prefillEnd, ahead) > snapshot.Reserved
}

func refuseDecode(snapshot *Snapshot, request *Request) Decision {
	for i := range snapshot.Decode {
		if snapshot.Decode[i].Ready && !request.excludes(snapshot.Decode[i].Name) {
			return Decision{Kind: KindRefuse, RequestID: request.ID, Reason: ReasonTooLarge}
		}
	}
	return refuse(snapshot, request, ReasonNoEngine)
}

// refuse gives the request up and predicts when the pool will have worked off
// what it has.
func refuse(snapshot *Snapshot, request *Request, reason Reason) Decision {
	after := minRetryAfter
	if reason == ReasonNoEngine {
		after = time.Second
	}
	after = max(after, drainTime(snapshot))
	return Decision{Kind: KindRefuse, RequestID: request.ID, Reason: reason, RetryAfter: min(after, maxRetryAfter)}
}

// drainTime predicts how long the granted and waiting prefills take.
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

// DecideDecode picks the decode engine for a request whose prefill has ended:
// of those with a slot, memory and a step time within the target, the one with
// the smallest share of its slots in use. It returns "" if there is none.
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
