package owner

import (
	"strconv"
	"strings"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/scheduler"
)

// Key returns the key whose owner grants the work of a pool.
func Key(pool string) string { return "pool/" + pool }

// grantID identifies one attempt of a request within a pool.
func grantID(requestID string, attempt uint32) string {
	return requestID + "/" + strconv.FormatUint(uint64(attempt), 10)
}

// requestOf converts a grant that arrived at the given time to a scheduler request.
func requestOf(now time.Duration, grant *peerpb.Grant) *scheduler.Request {
	return &scheduler.Request{
		ID: grantID(grant.GetRequestId(), grant.GetAttempt()),
		// Without the clone, the string would keep the whole message in memory.
		Tenant:        strings.Clone(grant.GetTenant()),
		Weight:        grant.GetWeight(),
		Arrival:       now,
		PromptTokens:  int(grant.GetPromptTokens()),
		MaxTokens:     int(grant.GetMaxTokens()),
		FirstToken:    time.Duration(grant.GetFirstTokenUs()) * time.Microsecond,
		TokenInterval: time.Duration(grant.GetTokenIntervalUs()) * time.Microsecond,
		LateAllowed:   grant.GetLateAllowed(),
		Prefixes:      grant.GetPrefixes(),
		Excluded:      grant.GetExcludedEngines(),
	}
}

// enginesOf returns the scheduler states of a pool's engines.
func enginesOf(pool *api.Pool) ([]scheduler.PrefillState, []scheduler.DecodeState) {
	var prefill []scheduler.PrefillState
	var decode []scheduler.DecodeState
	for _, member := range pool.Engines {
		switch member.Role {
		case api.RolePrefill:
			prefill = append(prefill, scheduler.PrefillState{
				Name: member.Name, Ready: true, TokensPerSecond: pool.PrefillTokensPerSecond,
			})
		case api.RoleDecode:
			decode = append(decode, scheduler.DecodeState{
				Name: member.Name, Ready: true, Slots: member.Slots, KVTokens: member.KVTokens, Step: stepModel(pool, member.Slots),
			})
		}
	}
	return prefill, decode
}

// stepModel derives a step model from the step time with a full batch: half of it is independent of
// the batch size, and half is proportional to it.
func stepModel(pool *api.Pool, slots int) scheduler.StepModel {
	base := pool.StepTime.Std() / 2
	return scheduler.StepModel{Base: base, PerRequest: base / time.Duration(max(slots, 1))}
}

// streamRequest returns the scheduler request of a stream that an engine holds and that no entry
// node has reported.
func streamRequest(now time.Duration, status engine.StreamStatus) *scheduler.Request {
	return &scheduler.Request{
		ID: grantID(status.RequestID, status.Number), Arrival: now,
		PromptTokens: max(status.KVTokens-status.Offset, 0), MaxTokens: max(status.MaxTokens, 2),
	}
}
