package timeline

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestMergeKeepsCauseBeforeEffect sends messages between processes whose clocks
// are skewed. The receipt of a message must be ordered after its sending.
func TestMergeKeepsCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		var rings []*Ring
		for _, name := range []string{"a", "b", "c"} {
			skew := time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "skew")) * time.Millisecond
			rings = append(rings, NewRing(name, NewClock(func() time.Time { return now.Add(skew) }), 100))
		}
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			from := rapid.SampledFrom(rings).Draw(t, "from")
			to := rapid.SampledFrom(rings).Draw(t, "to")
			from.Record(Event{Kind: "sent"})
			sent := from.Clock().Now()
			to.Clock().Observe(sent)
			to.Record(Event{Kind: "received"})
			events := to.Events(Filter{})
			if last := events[len(events)-1]; last.Stamp <= sent {
				t.Fatalf("received at %d, sent at %d", last.Stamp, sent)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "advance")) * time.Millisecond)
		}
		merged := Merge(rings[0].Events(Filter{}), rings[1].Events(Filter{}), rings[2].Events(Filter{}))
		for i := 1; i < len(merged); i++ {
			if merged[i].Stamp < merged[i-1].Stamp {
				t.Fatal("the timeline is not in order")
			}
		}
	})
}

func TestRingKeepsTheNewest(t *testing.T) {
	g := NewWithT(t)
	ring := NewRing("a", NewClock(time.Now), 3)
	for _, request := range []string{"1", "2", "3", "4", "5"} {
		ring.Record(Event{Kind: "event", Request: request})
	}
	events := ring.Events(Filter{})
	g.Expect(events).To(HaveLen(3))
	g.Expect(events[0].Request).To(Equal("3"))
	g.Expect(events[2].Request).To(Equal("5"))
	g.Expect(ring.Events(Filter{Request: "4"})).To(HaveLen(1))
}

func TestRendering(t *testing.T) {
	g := NewWithT(t)
	events := []Event{{Stamp: 1 << 20, Process: "a", Kind: "granted", Request: "r", Engine: "<e>"}, {Stamp: 2 << 20, Process: "b", Kind: "ended", Detail: "answered"}}
	var text, page bytes.Buffer
	g.Expect(WriteText(&text, events)).To(Succeed())
	g.Expect(text.String()).To(ContainSubstring("request=r engine=<e>"))
	g.Expect(WriteHTML(&page, events)).To(Succeed())
	g.Expect(page.String()).To(ContainSubstring("&lt;e&gt;"))
}
