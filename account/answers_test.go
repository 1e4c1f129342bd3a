package account_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/account"
)

const ownAnswers = `{"time":"2026-05-19T03:26:31Z","msg":"request not answered","node":"a","request":"r1","reason":"no_room","short":"decode","status":503,"sends":0,"runs":0}
{"time":"2026-05-19T03:26:31Z","msg":"request not answered","node":"a","request":"r2","reason":"no_room","short":"decode","status":503,"sends":1,"runs":0}
{"time":"2026-05-19T03:26:31Z","msg":"request not answered","node":"a","request":"r3","reason":"backend_failed","status":502,"sends":1,"runs":1}
{"time":"2026-05-19T03:26:31Z","msg":"request not answered","node":"a","request":"r4","reason":"backend_failed","status":503,"sends":1,"runs":1}
{"time":"2026-05-19T03:26:31.5Z","msg":"engines","node":"a","service":"llm","prefill":2,"decode":5,"memory_percent":20,"waiting":0}
`

// TestOwnAnswersByStatus counts what nodes answered by themselves, with one that is untrue: a 503
// after a run.
func TestOwnAnswersByStatus(t *testing.T) {
	g := NewWithT(t)
	made, err := account.Read(strings.NewReader(ownAnswers))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(made.Answers).To(Equal([]account.OwnAnswer{
		{Status: 502, Reason: "backend_failed", Count: 1, AfterSend: 1, AfterRun: 1},
		{Status: 503, Reason: "no decode memory", Count: 2, AfterSend: 1},
		{Status: 503, Reason: "backend_failed", Count: 1, AfterSend: 1, AfterRun: 1},
	}))
	untrue := 0
	for _, answer := range made.Answers {
		untrue += answer.Untrue()
	}
	g.Expect(untrue).To(Equal(1))
	var printed bytes.Buffer
	g.Expect(made.Write(&printed)).To(Succeed())
	g.Expect(printed.String()).To(MatchRegexp(`503 +backend_failed +1 +1 +1 +1`))
	g.Expect(printed.String()).To(MatchRegexp(`none waited and half was free +2`))
}
