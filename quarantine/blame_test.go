package quarantine

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// testPart returns the fingerprint of a part.
func testPart(name string) Fingerprint { return NewParts("", []string{name})[0].Shared }

func testParts(names ...string) []Fingerprint {
	parts := make([]Fingerprint, len(names))
	for i, name := range names {
		parts[i] = testPart(name)
	}
	return parts
}

// unwritten returns a request that was broken off before its backend had written anything, and written one after that.
func unwritten(names ...string) crashedRequest { return crashedRequest{parts: testParts(names...)} }

func written(names ...string) crashedRequest {
	return crashedRequest{parts: testParts(names...), written: true}
}

// testCrashes returns backends that ended with these requests.
func testCrashes(requests ...[]crashedRequest) []crashedBackend {
	crashes := make([]crashedBackend, len(requests))
	for i := range requests {
		crashes[i] = crashedBackend{name: fmt.Sprint("b", i), requests: requests[i]}
	}
	return crashes
}

// TestPartThatOthersShareIsNotBlamed has each backend end with one request that holds the cause, and others that share the first
// part with it and have been sent at the same time.
func TestPartThatOthersShareIsNotBlamed(t *testing.T) {
	g := NewWithT(t)
	blamed := blame(testCrashes(
		[]crashedRequest{unwritten("first", "cause"), written("first", "a"), unwritten("first", "b")},
		[]crashedRequest{unwritten("first", "cause"), written("first", "c")},
		[]crashedRequest{unwritten("first", "cause", "d")},
	))
	g.Expect(blamed).To(HaveLen(1))
	g.Expect(blamed[0].parts).To(Equal(testParts("cause")))
	g.Expect(blamed[0].backends).To(Equal([]string{"b0", "b1", "b2"}))
	g.Expect(blamed[0].onlyExplanation).To(BeZero())
}

// TestPartsThatCannotBeToldApartAreBlamedTogether has two parts in the same requests: only requests with both are known to be
// harmful.
func TestPartsThatCannotBeToldApartAreBlamedTogether(t *testing.T) {
	g := NewWithT(t)
	crash := []crashedRequest{unwritten("first", "cause")}
	blamed := blame(testCrashes(crash, crash, crash))
	g.Expect(blamed).To(HaveLen(1))
	g.Expect(blamed[0].parts).To(ConsistOf(testParts("first", "cause")))
	g.Expect(blamed[0].onlyExplanation).To(Equal(3))
}

func TestTwoCausesAreBlamed(t *testing.T) {
	g := NewWithT(t)
	one := []crashedRequest{unwritten("first", "cause"), written("first", "a"), written("first")}
	other := []crashedRequest{unwritten("first", "other"), written("first", "a"), written("first")}
	blamed := blame(testCrashes(one, one, one, other, other))
	g.Expect(blamed).To(HaveLen(2))
	g.Expect(blamed[0].parts).To(Equal(testParts("cause")))
	g.Expect(blamed[1].parts).To(Equal(testParts("other")))
}

func TestSingleCrashBlamesNothing(t *testing.T) {
	NewWithT(t).Expect(blame(testCrashes([]crashedRequest{unwritten("a")}, []crashedRequest{unwritten("b")}))).To(BeEmpty())
}

// TestCauseIsBlamedFirst draws crashes with one request that holds the cause and others that do not. Parts that share requests
// with it are also in others.
func TestCauseIsBlamedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var crashes [][]crashedRequest
		for range rapid.IntRange(3, 8).Draw(t, "crashes") {
			shared := fmt.Sprint("shared", rapid.IntRange(0, 2).Draw(t, "shared"))
			requests := []crashedRequest{unwritten(shared, "cause")}
			for i := range rapid.IntRange(1, 6).Draw(t, "others") {
				other := []string{shared, fmt.Sprint("other", rapid.IntRange(0, 20).Draw(t, "other"), i)}
				requests = append(requests, crashedRequest{parts: testParts(other...), written: rapid.Bool().Draw(t, "written")})
			}
			crashes = append(crashes, requests)
		}
		blamed := blame(testCrashes(crashes...))
		if len(blamed) == 0 || blamed[0].parts[0] != testPart("cause") || len(blamed[0].parts) != 1 {
			t.Fatalf("%d groups blamed, the first is not the cause", len(blamed))
		}
		if len(blamed) > 1 {
			t.Fatalf("%d groups blamed, although one explains all crashes", len(blamed))
		}
	})
}

// BenchmarkBlame evaluates a full table: 256 crashes of eight requests of four parts.
func BenchmarkBlame(b *testing.B) {
	var crashes [][]crashedRequest
	for i := range maxCrashedBackends {
		var requests []crashedRequest
		for j := range 8 {
			requests = append(requests, unwritten("first", fmt.Sprint("second", j%3), fmt.Sprint("third", i%40, j), fmt.Sprint(i, j)))
		}
		crashes = append(crashes, requests)
	}
	prepared := testCrashes(crashes...)
	b.ReportAllocs()
	for b.Loop() {
		blame(prepared)
	}
}
