package gateway

import (
	"cmp"
	"net/http"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/logging"
	"github.com/reelrun/reelrun/quarantine"
)

// timings are the phases of a request, each measured from its arrival.
type timings struct {
	// reserved is when memory was reserved, prefilled when the prompt was prefilled and firstEvent when the
	// first event was relayed.
	reserved, prefilled, firstEvent time.Duration
	// pause is the longest time between two events.
	pause time.Duration
	// readWait is the time until the head of the request had been read, and body the time that its body took.
	readWait, body time.Duration
}

// sinceArrival returns how long ago the request arrived.
func (x *exchange) sinceArrival() time.Duration { return x.handler.options.Clock.Since(x.arrived) }

// writing returns how long writes to the caller have taken.
func (x *exchange) writing() time.Duration {
	if x.conn == nil {
		return 0
	}
	return x.conn.Writing()
}

// pastDeadline returns how long ago the time of the request ended, and zero if it has not.
func (x *exchange) pastDeadline() time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return max(0, -x.left())
}

// attributes returns the attributes of all log lines about a request.
func (x *exchange) attributes(took time.Duration) []any {
	attributes := []any{
		"service", x.service, "backend", x.target, "sends", x.arrivals.runs, "prompts", x.arrivals.prefills, "runs", x.runs,
		"beyond_first", x.arrivals.upstreamRetries(),
		"age_ms", x.clientRetry.age.Milliseconds(), "full_deadlines", x.clientRetry.fullShare, "took_ms", took.Milliseconds(),
		"read_wait_ms", x.timings.readWait.Milliseconds(), "body_ms", x.timings.body.Milliseconds(), "write_ms", x.writing().Milliseconds(),
	}
	if past := x.pastDeadline(); past > 0 {
		attributes = append(attributes, "past_deadline_ms", past.Milliseconds())
	}
	if x.request != nil {
		attributes = append(attributes, "request", x.request.ID, "wait_ms", x.request.Timeout.Milliseconds())
	}
	if x.request != nil && x.request.Generation.Resumes != "" {
		attributes = append(attributes, "resumes", x.request.Generation.Resumes)
	}
	if version, required := x.version.Version(); required {
		attributes = append(attributes, "version_required", version, "origin_source", x.originSource)
	}
	if x.route != nil {
		attributes = append(attributes, "route", x.route.Name)
	}
	if x.via != "" {
		attributes = append(attributes, "via", x.via)
	}
	if x.tenant != nil {
		attributes = append(attributes, "tenant", x.tenant.Name)
	}
	if x.configuration != nil {
		attributes = append(attributes, "configuration", x.configuration.Version)
	}
	if x.timings.reserved > 0 {
		attributes = append(attributes, "room_ms", x.timings.reserved.Milliseconds(), "prefill_ms", x.timings.prefilled.Milliseconds(),
			"first_ms", x.timings.firstEvent.Milliseconds(), "longest_pause_ms", x.timings.pause.Milliseconds())
	}
	return attributes
}

// logFailure logs a request that the gateway answered itself.
func (h *Handler) logFailure(x *exchange, final *failure, took time.Duration) {
	attributes := append(x.attributes(took),
		"reason", string(final.reason), "status", final.status, "retry_after_ms", final.retryAfter.Milliseconds())
	if x.shortRole != "" {
		attributes = append(attributes, "short", x.shortRole)
	}
	if final.reason == ReasonNoRoute {
		attributes = append(attributes, h.options.Freshness().attributes()...)
	}
	if final.reason == ReasonQuarantined {
		attributes = append(attributes, "content", x.fingerprint().String(), "record", x.quarantinedBy.String(), "parts", partNames(x.parts()))
	}
	if final.reason == ReasonOverloaded {
		attributes = append(attributes, "admitted_share", x.admission.Share, "plan_age_ms", x.admission.PlanAge.Milliseconds())
	}
	if x.quota.Source != "" && final.reason == ReasonQuota {
		attributes = append(attributes, "quota_rate", x.tenant.Quota.Rate, "quota_burst", x.tenant.Quota.Burst,
			"quota_level", int(x.quota.Level), "quota_source", string(x.quota.Source))
	}
	if final.cause != nil {
		attributes = append(attributes, "cause", final.cause.Error())
	}
	h.options.Logger.Info("request not answered", attributes...)
}

// logRetry logs an upstream retry.
func (h *Handler) logRetry(x *exchange, err error) {
	h.options.Metrics.Add("repeats", 1)
	h.options.Logger.Info("request sent again", append(x.attributes(x.sinceArrival()),
		"cause", err.Error(), "budget_left", int(h.options.Budget.Remaining(x.service)))...)
}

// logContinued logs that a stream continues at an engine, within the response of the request or from an earlier attempt
// of its caller.
func (h *Handler) logContinued(x *exchange, engine backend.Backend, lastEvent string) {
	h.options.Metrics.Add("streams_continued", 1)
	h.options.Logger.Info("stream continues", append(x.attributes(x.sinceArrival()),
		"after_event", lastEvent, "begun_by", cmp.Or(x.request.Generation.Resumes, x.request.ID), "version", engine.SoftwareVersion)...)
}

// logUnconfirmed logs that an engine is not given a stream of a version because it has restarted since its entry was
// written, or does not say when it started.
func (h *Handler) logUnconfirmed(x *exchange, described backend.Backend, startedAt int64, err error) {
	h.options.Metrics.Add("engines_unconfirmed", 1)
	h.options.Logger.Info("version of engine not confirmed", append(x.attributes(x.sinceArrival()), "engine", described.ID,
		"version", described.SoftwareVersion, "started_at", described.StartedAt, "reported_start", startedAt,
		"error", logging.ErrorText(err))...)
}

// logBreak logs that a backend broke off a request, whether the backend has terminated, and the resulting
// quarantine status of the request.
func (h *Handler) logBreak(broken brokenRequest, crashed bool, quarantineStatus quarantine.Status) {
	h.options.Metrics.Add("requests_broken_off", 1)
	h.options.Logger.Info("back end broke request off", "request", broken.request, "content", broken.subject.Content.String(),
		"service", broken.service, "backend", broken.backend.ID, "crashed", crashed, "age_ms", broken.age.Milliseconds(),
		"written", broken.written, "parts", partNames(broken.subject.Parts),
		"crashes", quarantineStatus.Crashes, "quarantined", quarantineStatus.Quarantined > 0)
}

// logTrial logs that a quarantined request runs as a trial.
func (h *Handler) logTrial(x *exchange, status quarantine.Status) {
	h.options.Metrics.Add("quarantine_trials", 1)
	h.options.Logger.Info("request on trial", append(x.attributes(x.sinceArrival()), "content", x.fingerprint().String(),
		"crashes", status.Crashes, "quarantined_ms", status.Quarantined.Milliseconds())...)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// partNames returns the fingerprints of the first parts of a prompt, as logged.
func partNames(parts []quarantine.Part) []string {
	parts = parts[:min(len(parts), maxLoggedParts)]
	names := make([]string, len(parts))
	for i, part := range parts {
		names[i] = part.Shared.String()
	}
	return names
}

// logUncoordinated logs a request for which this node chooses engines without a coordinator.
func (h *Handler) logUncoordinated(x *exchange, err error) {
	h.options.Metrics.Add("coordinator_missed", 1)
	h.options.Logger.Info("coordinator missed", append(x.attributes(x.sinceArrival()), "cause", err.Error())...)
}

// logAssignedFull logs an assigned engine that had no capacity.
func (h *Handler) logAssignedFull(x *exchange, engine string) {
	h.options.Metrics.Add("assigned_engines_full", 1)
	h.options.Logger.Info("assigned engine full", append(x.attributes(x.sinceArrival()), "engine", engine)...)
}

// logAnswered logs a response that is late, or that reports a failure of its backend. Other responses are
// only counted.
func (h *Handler) logAnswered(x *exchange, took time.Duration) {
	if x.status >= http.StatusInternalServerError {
		h.options.Metrics.Add("requests_failed_by_backend", 1)
		h.counters.add(x, func(counts *RouteCounts) { counts.Failed++ })
		h.tenantCounters.add(x, func(counts *TenantCounts) { counts.Failed++ })
		h.options.Logger.Info("request failed by its back end", append(x.attributes(took), "status", x.status)...)
		return
	}
	firstEvent := took
	if x.timings.firstEvent > 0 {
		firstEvent = x.timings.firstEvent
	}
	h.options.Metrics.Observe("request_first_answer", firstEvent)
	late := x.clientRetry.age+firstEvent > x.route.Objective
	paused := x.route.MaxPause > 0 && x.timings.pause > x.route.MaxPause
	if !late && !paused {
		h.counters.add(x, func(counts *RouteCounts) { counts.InTime++ })
		h.tenantCounters.add(x, func(counts *TenantCounts) { counts.InTime++ })
	}
	if late || paused {
		h.counters.add(x, func(counts *RouteCounts) { counts.Late++ })
		h.tenantCounters.add(x, func(counts *TenantCounts) { counts.Late++ })
		h.options.Metrics.Add("requests_late", 1)
		h.options.Logger.Info("request late", append(x.attributes(took),
			"objective_ms", x.route.Objective.Milliseconds(), "max_pause_ms", x.route.MaxPause.Milliseconds())...)
	}
}

// logWasted logs a prefill, complete or only started, whose result is not used.
func (h *Handler) logWasted(x *exchange, engine string, cause wasteCause) {
	h.options.Metrics.Add("prompts_wasted", 1)
	h.options.Logger.Info("prompt wasted", "request", x.request.ID, "service", x.service, "engine", engine,
		"tokens", x.request.Generation.PromptTokens, "cause", string(cause))
}

// wasteCause is why a prefill was wasted.
type wasteCause string

// The causes of wasted prefills, as logged.
const (
	wastePrefillTimeout wasteCause = "reading given up"
	wasteDecodeRejected wasteCause = "decode refused"
	wasteDecodeFailed   wasteCause = "decode failed"
	wasteEngineLeft     wasteCause = "engine left"
	wasteEngineBackoff  wasteCause = "engine asked for backoff"
	wasteNotSent        wasteCause = "time over or request quarantined"
	wasteStreamBroken   wasteCause = "stream broken"
	wasteNotNeeded      wasteCause = "not needed"
)
