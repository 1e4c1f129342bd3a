package account_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/account"
)

const localResponseLog = `{"time":"2026-05-19T03:26:31Z","msg":"request not answered","node":"a","request":"r1","reason":"no_room","short":"decode","status":503,"sends":0,"runs":0}
{"time":"2026-05-19T03:26:31Z","msg":"request not answered","node":"a","request":"r2","reason":"no_room","short":"decode","status":503,"sends":1,"runs":0}
{"time":"2026-05-19T03:26:31Z","msg":"request not answered","node":"a","request":"r3","reason":"backend_failed","status":502,"sends":1,"runs":1}
{"time":"2026-05-19T03:26:31Z","msg":"request not answered","node":"a","request":"r4","reason":"backend_failed","status":503,"sends":1,"runs":1}
{"time":"2026-05-19T03:26:31.5Z","msg":"engines","node":"a","service":"llm","prefill":2,"decode":5,"memory_percent":20,"waiting":0}
`

// TestLocalResponsesByStatus checks the counts of local responses, among them one that falsely states
// that the request did not run: a 503 after a run.
func TestLocalResponsesByStatus(t *testing.T) {
	g := NewWithT(t)
	summary, err := account.Read(strings.NewReader(localResponseLog))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(summary.LocalResponses).To(Equal([]account.LocalResponse{
		{Status: 502, Reason: "backend_failed", Count: 1, AfterSend: 1, AfterRun: 1},
		{Status: 503, Reason: "no decode memory", Count: 2, AfterSend: 1},
		{Status: 503, Reason: "backend_failed", Count: 1, AfterSend: 1, AfterRun: 1},
	}))
	falseNotRun := 0
	for _, response := range summary.LocalResponses {
		falseNotRun += response.FalseNotRun()
	}
	g.Expect(falseNotRun).To(Equal(1))
	var printed bytes.Buffer
	g.Expect(summary.Write(&printed)).To(Succeed())
	g.Expect(printed.String()).To(MatchRegexp(`503 +backend_failed +1 +1 +1 +1`))
	g.Expect(printed.String()).To(MatchRegexp(`none waited and half was free +2`))
}
