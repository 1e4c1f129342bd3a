package account

import (
	"cmp"
	"io"
	"net/http"
	"slices"
)

// LocalResponse counts the responses of one status and reason that nodes generated themselves instead
// of forwarding one from a backend.
type LocalResponse struct {
	Status int
	Reason string
	Count  int
	// AfterSend counts those sent after the request had been sent to a backend, AfterRun those sent
	// after a backend had run the request or may have run it.
	AfterSend, AfterRun int
}

// FalseNotRun returns how many of the responses stated that a request had not run although it had, or
// may have. A value above zero indicates a defect.
func (a LocalResponse) FalseNotRun() int {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return a.AfterRun
	default:
		return 0
	}
}

// responseKey groups local responses.
type responseKey struct {
	status int
	reason string
}

func (b *builder) addResponse(read line) {
	key := responseKey{read.Status, reasonOf(read)}
	response := b.responses[key]
	response.Status, response.Reason = key.status, key.reason
	response.Count++
	if read.Sends > 0 {
		response.AfterSend++
	}
	if read.Runs > 0 {
		response.AfterRun++
	}
	b.responses[key] = response
}

// localResponses returns the responses ordered by status, the most frequent of each status first.
func (b *builder) localResponses() []LocalResponse {
	var responses []LocalResponse
	for _, response := range b.responses {
		responses = append(responses, response)
	}
	slices.SortFunc(responses, func(a, b LocalResponse) int {
		return cmp.Or(cmp.Compare(a.Status, b.Status), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return responses
}

// idleMemoryPercent is the memory utilization below which a rejection for lack of engines should be
// investigated. The utilization of a window is the highest among its services.
const idleMemoryPercent = 50

// rejectedWhileIdle returns how many requests were rejected for lack of engines in windows in which
// no request waited and less than half of the memory was used.
func (a *Account) rejectedWhileIdle() int {
	rejected := 0
	for _, window := range a.Windows {
		engines := window.AllEngines()
		if len(window.Engines) == 0 || engines.Waiting > 0 || engines.MemoryPercent >= idleMemoryPercent {
			continue
		}
		rejected += window.Reasons[reasonDecodeMemory] + window.Reasons[reasonPrefillTime]
	}
	return rejected
}

func (a *Account) writeLocalResponses(table io.Writer) {
	row(table, "own answer", "reason", "count", "after a send", "after a run", "untrue")
	for _, response := range a.LocalResponses {
		row(table, response.Status, response.Reason, response.Count, response.AfterSend, response.AfterRun, response.FalseNotRun())
	}
	row(table, "refused for want of engines while none waited and half was free", a.rejectedWhileIdle())
	row(table)
}
