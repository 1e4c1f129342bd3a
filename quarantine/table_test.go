package quarantine

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func testRequest(number int) Fingerprint {
	return NewFingerprint(Content{URI: fmt.Sprintf("/%d", number)})
}

func TestThreeCrashesQuarantine(t *testing.T) {
	g := NewWithT(t)
	table, request := NewTable(), testRequest(1)
	g.Expect(table.Add(0, request, "1")).To(Equal(Status{Crashes: 1}))
	g.Expect(table.Add(time.Second, request, "1")).To(Equal(Status{Crashes: 1}), "the same crash, reported again")
	g.Expect(table.Add(time.Second, request, "2")).To(Equal(Status{Crashes: 2, Quarantined: suspectDuration}))
	ended := time.Second + suspectDuration
	g.Expect(table.Status(ended, request)).To(Equal(Status{Crashes: 2}))
	g.Expect(table.Add(ended, request, "3")).To(Equal(Status{Crashes: 3, Quarantined: quarantineDuration}))
}

// TestResponseClearsCrashes checks a request that many callers send: it is in flight at each ordinary crash, and
// is answered in between. A response also ends a quarantine.
func TestResponseClearsCrashes(t *testing.T) {
	g := NewWithT(t)
	table, request := NewTable(), testRequest(1)
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

// TestNextCrashRenewsQuarantine checks that a request that crashed three backends and was quarantined for an
// hour crashes at most one more.
func TestNextCrashRenewsQuarantine(t *testing.T) {
	g := NewWithT(t)
	table, request := NewTable(), testRequest(1)
	for crash := range quarantineCrashes {
		table.Add(0, request, strconv.Itoa(crash))
	}
	ended := quarantineDuration + time.Second
	g.Expect(table.Expire(ended)).To(BeEmpty())
	g.Expect(table.Status(ended, request).Quarantined).To(BeZero())
	g.Expect(table.Add(ended, request, "later").Quarantined).To(Equal(quarantineDuration))
	g.Expect(table.Expire(ended + quarantineDuration + evidenceLifetime)).To(Equal([]Fingerprint{request}))
}

// TestTableMatchesModel draws crashes, responses and times, and compares the table with a simple model.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, request := NewTable(), testRequest(1)
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
					until = max(until, now+[]time.Duration{0, 0, suspectDuration, quarantineDuration}[min(3, len(crashes))])
				}
			}
			want := Status{Crashes: len(crashes), Quarantined: max(0, until-now)}
			if got := table.Status(now, request); got != want {
				t.Fatalf("at %v: %+v, want %+v", now, got, want)
			}
		}
	})
}

// TestTableIsBounded checks that the table does not grow beyond its bound when callers crash backends with ever
// new requests, and that quarantined requests are evicted last.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	for crash := range quarantineCrashes {
		table.Add(0, testRequest(-1), strconv.Itoa(crash))
	}
	for number := range maxRequests + 10 {
		table.Add(time.Duration(number)*time.Millisecond, testRequest(number), "b")
	}
	g.Expect(table.requests).To(HaveLen(maxRequests))
	g.Expect(table.Status(time.Minute, testRequest(-1)).Quarantined).To(BeNumerically(">", 0))
	g.Expect(table.Status(time.Minute, testRequest(0)).Crashes).To(BeZero())
}
