package account_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/account"
)

const firstNode = `  1.2 node-a {"time":"2026-05-19T03:26:30.9Z","msg":"start","node":"node-a"}
not a line
{"time":"2026-05-19T03:26:31Z","msg":"requests","node":"node-a","route":"draft","first":9,"in_time":6,"late":1,"refused":2,"failed":0,"left":0}
{"time":"2026-05-19T03:26:31Z","msg":"request not answered","node":"node-a","request":"r1","reason":"no_room","short":"decode","took_ms":100}
{"time":"2026-05-19T03:26:31Z","msg":"request not answered","node":"node-a","request":"r2","reason":"no_room","short":"decode","took_ms":300}
{"time":"2026-05-19T03:26:33Z","msg":"prompt wasted","node":"node-a","request":"r3","tokens":1200,"cause":"decode failed"}
{"time":"2026-05-19T03:26:33.2Z","msg":"configuration in force","node":"node-a","version":7}
{"time":"2026-05-19T03:26:33Z","msg":"torn`

const secondNode = `{"time":"2026-05-19T03:26:31.5Z","msg":"requests","node":"node-b","route":"draft","first":4,"in_time":3,"late":0,"refused":1,"failed":0,"left":0}
{"time":"2026-05-19T03:26:31.5Z","msg":"engines","node":"node-b","service":"llm","prefill":2,"decode":5,"failing":1,"memory_percent":88,"waiting":3,"backlog_ms":40}
{"time":"2026-05-19T03:26:33Z","msg":"request not answered","node":"node-b","request":"r4","reason":"no_room","short":"prefill","took_ms":7}
{"time":"2026-05-19T03:26:33.1Z","msg":"configuration in force","node":"node-b","version":7}
`

func readAccount(t *testing.T) *account.Account {
	t.Helper()
	summary, err := account.Read(strings.NewReader(firstNode), strings.NewReader(secondNode))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return summary
}

func TestCountsByRouteAndWindowOfAllNodes(t *testing.T) {
	g := NewWithT(t)
	summary := readAccount(t)
	g.Expect(summary.Routes).To(HaveKeyWithValue("draft", account.Counts{FirstAttempts: 13, InTime: 9, Late: 1, Rejected: 3}))
	g.Expect(summary.Windows).To(HaveLen(2))
	g.Expect(summary.Windows[0].Start).To(Equal(time.Date(2026, 5, 19, 3, 26, 30, 0, time.UTC)))
	g.Expect(summary.Windows[0].Reasons).To(Equal(map[string]int{"no decode memory": 2}))
	g.Expect(summary.Windows[0].Engines).To(HaveKeyWithValue("llm", account.Engines{
		Prefill: 2, Decode: 5, Failing: 1, MemoryPercent: 88, Waiting: 3, Backlog: 40 * time.Millisecond,
	}))
	g.Expect(summary.Windows[1].Reasons).To(Equal(map[string]int{"no prefill in time": 1}))
}

func TestWaitTimesAndWastedPrefills(t *testing.T) {
	g := NewWithT(t)
	summary := readAccount(t)
	g.Expect(summary.Unserved).To(HaveLen(2))
	g.Expect(summary.Unserved[0].Reason).To(Equal("no decode memory"))
	g.Expect(summary.Unserved[0].Mean()).To(Equal(200 * time.Millisecond))
	g.Expect(summary.Unserved[0].Quantile(1)).To(Equal(300 * time.Millisecond))
	g.Expect(summary.WastedPrefills).To(Equal([]account.WastedPrefills{{Cause: "decode failed", Prompts: 1, Tokens: 1200}}))
}

// TestEventLoggedBySeveralNodesAppearsOnce checks that an event has the earliest time that any node
// logged.
func TestEventLoggedBySeveralNodesAppearsOnce(t *testing.T) {
	g := NewWithT(t)
	var texts []string
	for _, event := range readAccount(t).Events {
		texts = append(texts, event.Time.Format("05.0")+" "+event.Text)
	}
	g.Expect(texts).To(Equal([]string{"30.9 node-a start", "33.1 configuration 7"}))
}

func TestWriteAndPlot(t *testing.T) {
	g := NewWithT(t)
	summary := readAccount(t)
	var printed bytes.Buffer
	g.Expect(summary.Write(&printed)).To(Succeed())
	g.Expect(printed.String()).To(MatchRegexp(`no decode memory +2 +200 ms +300 ms +300 ms`))
	g.Expect(printed.String()).To(MatchRegexp(`03:26:30 +13 +9 +1 +3 +0 +2\+5 \(1\) +88 % +3 +40 ms +no decode memory 2`))
	plot := filepath.Join(t.TempDir(), "account.svg")
	g.Expect(summary.Plot(plot)).To(Succeed())
	g.Expect(plot).To(BeAnExistingFile())
	g.Expect((&account.Account{}).Plot(plot)).NotTo(Succeed())
}

func FuzzRead(f *testing.F) {
	f.Add(firstNode)
	f.Add(`{"time":"2026-05-19T03:26:31Z","msg":"requests","first":"x"}`)
	f.Fuzz(func(t *testing.T, log string) {
		summary, err := account.Read(strings.NewReader(log))
		if err != nil {
			return
		}
		if err := summary.Write(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	})
}
