package account

import (
	"cmp"
	"io"
	"net/http"
	"slices"
)

// OwnAnswer counts the answers that nodes gave by themselves, for one status and reason.
type OwnAnswer struct {
	Status int
	Reason string
	Count  int
	// AfterSend is how many were given after a back end had been sent the request, AfterRun after
	// one had run it or may have.
	AfterSend, AfterRun int
}

// Untrue returns how many of the answers said that a request had not run although it had, or may
// have. Any is a defect.
func (a OwnAnswer) Untrue() int {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return a.AfterRun
	default:
		return 0
	}
}

// answerKey groups a node's own answers.
type answerKey struct {
	status int
	reason string
}

func (b *builder) takeAnswer(read line) {
	key := answerKey{read.Status, reasonOf(read)}
	counted := b.answers[key]
	counted.Status, counted.Reason = key.status, key.reason
	counted.Count++
	if read.Sends > 0 {
		counted.AfterSend++
	}
	if read.Runs > 0 {
		counted.AfterRun++
	}
	b.answers[key] = counted
}

// ownAnswers returns the answers by status, the most frequent first.
func (b *builder) ownAnswers() []OwnAnswer {
	var answers []OwnAnswer
	for _, counted := range b.answers {
		answers = append(answers, counted)
	}
	slices.SortFunc(answers, func(a, b OwnAnswer) int {
		return cmp.Or(cmp.Compare(a.Status, b.Status), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return answers
}

// idleMemoryPercent is the use of the fullest engines below which a refusal for want of memory is
// worth a look.
const idleMemoryPercent = 50

// refusedIdle returns how many requests were refused for want of engines in windows in which
// nothing waited and less than half of the memory was used.
func (a *Account) refusedIdle() int {
	refused := 0
	for _, window := range a.Windows {
		engines := window.AllEngines()
		if len(window.Engines) == 0 || engines.Waiting > 0 || engines.MemoryPercent >= idleMemoryPercent {
			continue
		}
		refused += window.Reasons[reasonDecodeMemory] + window.Reasons[reasonPrefillTime]
	}
	return refused
}

func (a *Account) writeAnswers(table io.Writer) {
	row(table, "own answer", "reason", "count", "after a send", "after a run", "untrue")
	for _, answer := range a.Answers {
		row(table, answer.Status, answer.Reason, answer.Count, answer.AfterSend, answer.AfterRun, answer.Untrue())
	}
	row(table, "refused for want of engines while none waited and half was free", a.refusedIdle())
	row(table)
}
