package coordinator

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/ledger"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// Handle serves a call of another node.
func (c *Coordinator) Handle(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_AssignEngines:
		assignment := c.Assign(ctx, decodeRequest(body.AssignEngines, c.options.Now()))
		return &peerpb.Response{Body: &peerpb.Response_Assignment{Assignment: &peerpb.Assignment{
			DecodeEngine: assignment.Decode, PrefillEngine: assignment.Prefill,
			RetryAfterMs: assignment.RetryAfter.Milliseconds(), Short: assignment.ShortRole,
			OutputTokens: int64(assignment.Output), PromptReadyMs: assignment.PromptReady.Milliseconds(),
			ReadsItself: assignment.LocalPrefill,
		}}}, nil
	case *peerpb.Request_EndRun:
		c.End(decodeRunResult(body.EndRun))
		return &peerpb.Response{Body: &peerpb.Response_Done{Done: &peerpb.Done{}}}, nil
	case *peerpb.Request_PromptRead:
		c.PrefillDone(body.PromptRead.GetService(), body.PromptRead.GetId(), body.PromptRead.GetEngine())
		return &peerpb.Response{Body: &peerpb.Response_Done{Done: &peerpb.Done{}}}, nil
	case *peerpb.Request_EngineFailed:
		c.EngineFailed(EngineFailure{
			Service: body.EngineFailed.GetService(), Engine: body.EngineFailed.GetEngine(),
			ID: body.EngineFailed.GetId(), TimedOut: body.EngineFailed.GetSilent(),
		})
		return &peerpb.Response{Body: &peerpb.Response_Done{Done: &peerpb.Done{}}}, nil
	case *peerpb.Request_SyncRuns:
		if learned := body.SyncRuns.GetLearned(); learned != nil {
			c.Adopt(body.SyncRuns.GetService(), decodeLearned(learned))
		}
		c.Sync(body.SyncRuns.GetService(), body.SyncRuns.GetHolder(), decodeRuns(body.SyncRuns.GetRuns(), c.options.Now()))
		learned := encodeLearned(c.Learned(body.SyncRuns.GetService()))
		return &peerpb.Response{Body: &peerpb.Response_LearnedModel{LearnedModel: learned}}, nil
	default:
		return nil, peer.ErrUnknownCall
	}
}

func encodeRequest(request *Request, now time.Duration) *peerpb.AssignEngines {
	encoded := &peerpb.AssignEngines{
		Service: request.Service, Run: encodeRun(request.Run, now), WaitMs: request.Wait.Milliseconds(),
		Avoid: request.Avoid, Returning: request.Late, WithinMs: request.Objective.Milliseconds(), Probe: request.Probe,
		Priority: int32(request.Priority), Again: request.AfterProbe,
		TenantPriority: int32(request.TenantPriority), AboveUsual: request.AboveUsual,
	}
	if version, required := request.Version.Version(); required {
		encoded.SoftwareVersion = &version
	}
	if request.Probe {
		// Coordinators of builds without later_wait_ms must not wait for a probe.
		encoded.WaitMs, encoded.LaterWaitMs = 0, encoded.GetWaitMs()
	}
	return encoded
}

func decodeRequest(encoded *peerpb.AssignEngines, now time.Duration) *Request {
	request := &Request{
		Service: encoded.GetService(), Run: decodeRun(encoded.GetRun(), now), Wait: peer.Millis(encoded.GetWaitMs() + encoded.GetLaterWaitMs()),
		Avoid: encoded.GetAvoid(), Late: encoded.GetReturning(), Objective: peer.Millis(encoded.GetWithinMs()), Probe: encoded.GetProbe(),
		Priority: int(encoded.GetPriority()), AfterProbe: encoded.GetAgain(),
		TenantPriority: int(encoded.GetTenantPriority()), AboveUsual: encoded.GetAboveUsual(),
	}
	if encoded.SoftwareVersion != nil {
		request.Version = backend.RequireVersion(encoded.GetSoftwareVersion())
	}
	return request
}

func encodeRunResult(result RunResult) *peerpb.EndRun {
	return &peerpb.EndRun{
		Service: result.Service, Id: result.ID, DurationMs: result.Duration.Milliseconds(),
		Refusal: int32(result.Rejection), OutputTokens: int64(result.Output),
		FirstMs: result.FirstEvent.Milliseconds(), RestTokens: int64(result.RestTokens),
	}
}

func decodeRunResult(encoded *peerpb.EndRun) RunResult {
	return RunResult{
		Service: encoded.GetService(), ID: encoded.GetId(), Duration: peer.Millis(encoded.GetDurationMs()),
		Rejection: Rejection(encoded.GetRefusal()), Output: int(encoded.GetOutputTokens()),
		FirstEvent: peer.Millis(encoded.GetFirstMs()), RestTokens: int(encoded.GetRestTokens()),
	}
}

func encodeRuns(runs []ledger.Run, now time.Duration) []*peerpb.Run {
	encoded := make([]*peerpb.Run, len(runs))
	for i, run := range runs {
		encoded[i] = encodeRun(run, now)
	}
	return encoded
}

func decodeRuns(encoded []*peerpb.Run, now time.Duration) []ledger.Run {
	runs := make([]ledger.Run, len(encoded))
	for i, run := range encoded {
		runs[i] = decodeRun(run, now)
	}
	return runs
}

func encodeRun(run ledger.Run, now time.Duration) *peerpb.Run {
	return &peerpb.Run{
		Id: run.ID, PromptTokens: int64(run.Prompt), OutputTokens: int64(run.Output),
		MostTokens: int64(run.MaxOutput), Engine: run.Engine, Holder: run.Holder, AgeMs: (now - run.Started).Milliseconds(),
	}
}

func decodeRun(encoded *peerpb.Run, now time.Duration) ledger.Run {
	return ledger.Run{
		ID: encoded.GetId(), Prompt: int(encoded.GetPromptTokens()), Output: int(encoded.GetOutputTokens()), MaxOutput: int(encoded.GetMostTokens()),
		Engine: encoded.GetEngine(), Holder: encoded.GetHolder(), Started: now - peer.Millis(encoded.GetAgeMs()),
	}
}
