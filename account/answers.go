package account

import (
	"cmp"
	"io"
	"net/http"
	"slices"
)

// LocalResponse counts the answers that nodes generated themselves instead of forwarding one from a
// backend, for one status and reason.
type LocalResponse struct {
	Status int
	Reason string
	Count  int
	// AfterSend counts those given after the request had been sent to a backend, AfterRun those given
	// after a backend had run it or may have run it.
	AfterSend, AfterRun int
}

// FalseNotRun returns how many of the answers stated that a request had not run although it had, or
// may have. A value above zero indicates a defect.
func (a LocalResponse) FalseNotRun() int {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return a.AfterRun
	default:
		return 0
	}
}

// replyKey groups local replies.
type replyKey struct {
	status int
	reason string
}

func (b *builder) addReply(read line) {
	key := replyKey{read.Status, reasonOf(read)}
	reply := b.replies[key]
	reply.Status, reply.Reason = key.status, key.reason
	reply.Count++
	if read.Sends > 0 {
		reply.AfterSend++
	}
	if read.Runs > 0 {
		reply.AfterRun++
	}
	b.replies[key] = reply
}

// localReplies returns the replies ordered by status, the most frequent of each status first.
func (b *builder) localReplies() []LocalResponse {
	var replies []LocalResponse
	for _, reply := range b.replies {
		replies = append(replies, reply)
	}
	slices.SortFunc(replies, func(a, b LocalResponse) int {
		return cmp.Or(cmp.Compare(a.Status, b.Status), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return replies
}

// idleMemoryPercent is the memory utilization of the fullest service in a window below which a
// rejection for lack of engines should be investigated.
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

func (a *Account) writeLocalReplies(table io.Writer) {
	row(table, "own answer", "reason", "count", "after a send", "after a run", "untrue")
	for _, reply := range a.LocalResponses {
		row(table, reply.Status, reply.Reason, reply.Count, reply.AfterSend, reply.AfterRun, reply.FalseNotRun())
	}
	row(table, "refused for want of engines while none waited and half was free", a.rejectedWhileIdle())
	row(table)
}
