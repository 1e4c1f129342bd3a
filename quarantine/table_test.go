package quarantine

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func requestNumber(number int) Fingerprint {
	return NewFingerprint(Content{URI: fmt.Sprintf("/%d", number)})
}

func TestThreeBackEndsMayEndUnderARequest(t *testing.T) {
	g := NewWithT(t)
	table, request := NewTable(), requestNumber(1)
	g.Expect(table.Add(0, request, "1")).To(Equal(Status{Crashes: 1}))
	g.Expect(table.Add(time.Second, request, "1")).To(Equal(Status{Crashes: 1}), "the same crash, told again")
	g.Expect(table.Add(time.Second, request, "2")).To(Equal(Status{Crashes: 2, Quarantined: suspectLifetime}))
	over := time.Second + suspectLifetime
	g.Expect(table.Status(over, request)).To(Equal(Status{Crashes: 2}))
	g.Expect(table.Add(over, request, "3")).To(Equal(Status{Crashes: 3, Quarantined: quarantineLifetime}))
}

// TestAnAnswerSpeaksForARequest: a request that many send is under way at each ordinary crash, and is
// answered in between. An answer also ends a quarantine.
func TestAnAnswerSpeaksForARequest(t *testing.T) {
	g := NewWithT(t)
	table, request := NewTable(), requestNumber(1)
	for crash := range 20 {
		now := time.Duration(crash) * time.Second
		g.Expect(table.Add(now, request, strconv.Itoa(crash)).Quarantined).To(BeZero())
		table.Answered(request)
	}
	g.Expect(table.Empty()).To(BeTrue())
	table.Add(0, request, "1")
	g.Expect(table.Add(0, request, "2").Quarantined).To(BeNumerically(">", 0))
	table.Answered(request)
	g.Expect(table.Status(0, request)).To(Equal(Status{}))
}

// TestAQuarantineBeginsAnewWithTheNextCrash: what crashed three back ends and was kept away for an
// hour ends at most one more.
func TestAQuarantineBeginsAnewWithTheNextCrash(t *testing.T) {
	g := NewWithT(t)
	table, request := NewTable(), requestNumber(1)
	for crash := range crashesAllowed {
		table.Add(0, request, strconv.Itoa(crash))
	}
	over := quarantineLifetime + time.Second
	g.Expect(table.Expire(over)).To(BeEmpty())
	g.Expect(table.Status(over, request).Quarantined).To(BeZero())
	g.Expect(table.Add(over, request, "later").Quarantined).To(Equal(quarantineLifetime))
	g.Expect(table.Expire(over + quarantineLifetime + evidenceLifetime)).To(Equal([]Fingerprint{request}))
}

// TestTheTableAgreesWithAListOfWhatHappened draws crashes, answers and times, and compares the table
// with a plain list of them.
func TestTheTableAgreesWithAListOfWhatHappened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, request := NewTable(), requestNumber(1)
		crashes := map[string]time.Duration{}
		var now, until time.Duration
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, int(evidenceLifetime)).Draw(t, "pause"))
			table.Expire(now)
			if now >= until+evidenceLifetime || until == 0 {
				for backend, at := range crashes {
					if now-at >= evidenceLifetime {
						delete(crashes, backend)
					}
				}
			}
			if rapid.Bool().Draw(t, "answered") {
				table.Answered(request)
				crashes, until = map[string]time.Duration{}, 0
			} else {
				backend := strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "backend"))
				table.Add(now, request, backend)
				if _, counted := crashes[backend]; !counted {
					crashes[backend] = now
					until = max(until, now+[]time.Duration{0, 0, suspectLifetime, quarantineLifetime}[min(3, len(crashes))])
				}
			}
			want := Status{Crashes: len(crashes), Quarantined: max(0, until-now)}
			if got := table.Status(now, request); got != want {
				t.Fatalf("at %v: %+v, want %+v", now, got, want)
			}
		}
	})
}

// TestTheTableIsBounded: callers that crash back ends under ever new requests take no more memory, and
// requests that are kept away are forgotten last.
func TestTheTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	for crash := range crashesAllowed {
		table.Add(0, requestNumber(-1), strconv.Itoa(crash))
	}
	for number := range maxRequests + 10 {
		table.Add(time.Duration(number)*time.Millisecond, requestNumber(number), "b")
	}
	g.Expect(table.requests).To(HaveLen(maxRequests))
	g.Expect(table.Status(time.Minute, requestNumber(-1)).Quarantined).To(BeNumerically(">", 0))
	g.Expect(table.Status(time.Minute, requestNumber(0)).Crashes).To(BeZero())
}
