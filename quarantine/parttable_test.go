package quarantine

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// crashPart records a crash of a backend under a request of a tenant with these parts.
func (t *partTable) crashPart(at time.Duration, tenant, backend string, parts ...string) {
	t.add(at, backend, testRequest(len(t.crashes)), NewParts(tenant, parts), false)
}

// answer records the answer to a request of a tenant with these parts.
func (t *partTable) answer(at time.Duration, tenant string, parts ...string) {
	for _, part := range NewParts(tenant, parts) {
		t.noteAnswered(answeredPart{part, at})
	}
}

// settle evaluates the table repeatedly from a time on, as a coordinator does, and returns its announcements.
func (t *partTable) settle(now time.Duration) []Announcement {
	for range 4 {
		now += checkInterval
		t.evaluate(now)
	}
	return t.announcements(now)
}

func TestThreeCrashesQuarantinePart(t *testing.T) {
	g := NewWithT(t)
	table := newPartTable()
	table.crashPart(0, "", "1", "part")
	g.Expect(table.settle(0)).To(BeEmpty())
	table.crashPart(time.Second, "", "2", "part")
	announced := table.settle(time.Second)
	g.Expect(announced).To(HaveLen(1))
	g.Expect(announced[0].Quarantined).To(BeZero(), "nodes are asked for answers")
	table.crashPart(2*time.Second, "", "3", "part")
	announced = table.settle(2 * time.Second)
	g.Expect(announced).To(HaveLen(1))
	g.Expect(announced[0].Parts).To(Equal(testParts("part")))
	g.Expect(announced[0].Quarantined).To(BeNumerically(">", quarantineDuration-time.Minute))
}

// TestNodesAreAskedBeforeQuarantine has three backends end at once: nodes must have the time to tell of an answer.
func TestNodesAreAskedBeforeQuarantine(t *testing.T) {
	g := NewWithT(t)
	table := newPartTable()
	for i := range 3 {
		table.crashPart(0, "", strconv.Itoa(i), "part")
	}
	table.evaluate(settleTime)
	g.Expect(table.announcements(settleTime)).To(HaveLen(1))
	g.Expect(table.announcements(settleTime)[0].Quarantined).To(BeZero())
	table.answer(settleTime, "", "part")
	g.Expect(table.settle(settleTime)).To(BeEmpty())
}

// TestUncertainCauseIsQuarantinedBriefly has another part present at all crashes, in more requests.
func TestUncertainCauseIsQuarantinedBriefly(t *testing.T) {
	g := NewWithT(t)
	table := newPartTable()
	for i := range 3 {
		backend := strconv.Itoa(i)
		table.add(0, backend, testRequest(10*i), NewParts("", []string{"first", "cause"}), false)
		table.add(0, backend, testRequest(10*i+1), NewParts("", []string{"first"}), true)
	}
	announced := table.settle(0)
	g.Expect(announced).To(HaveLen(1))
	g.Expect(announced[0].Parts).To(Equal(testParts("cause")))
	g.Expect(announced[0].Quarantined).To(BeNumerically("<=", suspectDuration))
	table.answer(time.Second, "", "first")
	announced = table.settle(2 * time.Second)
	g.Expect(announced[0].Quarantined).To(BeNumerically(">", suspectDuration), "nothing else explains the crashes")
}

func TestAnswerClearsPart(t *testing.T) {
	g := NewWithT(t)
	table := newPartTable()
	for i := range 3 {
		table.crashPart(0, "", strconv.Itoa(i), "part")
	}
	g.Expect(table.settle(0)).To(HaveLen(1))
	table.answer(2*time.Second, "", "part")
	g.Expect(table.settle(2 * time.Second)).To(BeEmpty())
	table.crashPart(time.Minute, "", "later", "part")
	table.crashPart(time.Minute, "", "next", "part")
	g.Expect(table.settle(time.Minute)).To(BeEmpty(), "it was answered shortly before")
	for i := range 3 {
		table.crashPart(5*time.Minute, "", fmt.Sprint("late", i), "part")
	}
	g.Expect(table.settle(5*time.Minute)).To(HaveLen(1), "an old answer says nothing of the software that runs now")
}

// TestTenantsClearOnlyTheirOwnRequests has a tenant's requests crash backends, and another tenant's be answered: the part is
// kept from backends, but not for the tenant that is answered.
func TestTenantsClearOnlyTheirOwnRequests(t *testing.T) {
	g := NewWithT(t)
	table := newPartTable()
	for i := range 3 {
		table.crashPart(time.Duration(i)*time.Second, "a", strconv.Itoa(i), "part")
	}
	table.answer(3*time.Second, "b", "part")
	announced := table.settle(3 * time.Second)
	g.Expect(announced).To(HaveLen(1))
	g.Expect(announced[0].Quarantined).To(BeNumerically(">", 0))
	g.Expect(announced[0].Exempt).To(Equal([]Fingerprint{NewParts("b", []string{"part"})[0].Own}))
}

// TestCrashesOfAllTenantsCount has requests of several tenants crash a backend each.
func TestCrashesOfAllTenantsCount(t *testing.T) {
	g := NewWithT(t)
	table := newPartTable()
	for i := range 3 {
		table.crashPart(0, fmt.Sprint("tenant", i), strconv.Itoa(i), "part")
	}
	announced := table.settle(0)
	g.Expect(announced).To(HaveLen(1))
	g.Expect(announced[0].Quarantined).To(BeNumerically(">", 0))
}

func TestOperatorEndsQuarantineOfPart(t *testing.T) {
	g := NewWithT(t)
	table := newPartTable()
	for i := range 3 {
		table.crashPart(0, "", strconv.Itoa(i), "part")
	}
	announced := table.settle(0)
	g.Expect(announced).To(HaveLen(1))
	table.end(2*time.Second, announced[0].Request)
	g.Expect(table.settle(2 * time.Second)).To(BeEmpty())
}

// TestRestoredQuarantineOfPartContinues restores a quarantine at a node that has seen none of its crashes.
func TestRestoredQuarantineOfPartContinues(t *testing.T) {
	g := NewWithT(t)
	table := newPartTable()
	earlier := Announcement{
		Request: groupName(testParts("part")), Parts: testParts("part"), Backends: []string{"1", "2", "3"}, Quarantined: 40 * time.Minute,
	}
	table.restore(time.Hour, earlier)
	announced := table.settle(time.Hour)
	g.Expect(announced).To(HaveLen(1))
	g.Expect(announced[0].Request).To(Equal(earlier.Request))
	g.Expect(announced[0].Backends).To(Equal(earlier.Backends))
	g.Expect(announced[0].Quarantined).To(BeNumerically("~", 40*time.Minute, 2*time.Second))
	ended := time.Hour + 41*time.Minute
	table.crashPart(ended, "", "4", "part")
	announced = table.settle(ended)
	g.Expect(announced[0].Quarantined).To(BeNumerically(">", quarantineDuration-time.Minute), "one crash renews it")
}

// TestSuspectedPartExpires has two crashes under a part, and nothing after.
func TestSuspectedPartExpires(t *testing.T) {
	g := NewWithT(t)
	table := newPartTable()
	table.crashPart(0, "", "1", "part")
	table.crashPart(0, "", "2", "part")
	g.Expect(table.settle(0)).To(HaveLen(1))
	g.Expect(table.settle(evidenceLifetime)).To(BeEmpty())
	g.Expect(table.isEmpty()).To(BeTrue())
}

// TestPartTableIsBounded has callers crash backends with ever new parts, and have ever new parts answered.
func TestPartTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := newPartTable()
	for i := range 3 {
		table.crashPart(0, "", strconv.Itoa(i), "kept")
	}
	table.settle(0)
	for i := range 2 * maxCrashedBackends {
		at := time.Duration(i) * time.Millisecond
		for j := range 2 * maxRequestsPerCrash {
			table.add(at, fmt.Sprint("b", i), testRequest(j), NewParts("", []string{fmt.Sprint(i, j)}), false)
		}
	}
	for i := range 2 * maxAnsweredParts {
		table.answer(time.Minute, "", fmt.Sprint("answered", i))
	}
	g.Expect(table.crashes).To(HaveLen(maxCrashedBackends))
	g.Expect(table.crashes[fmt.Sprint("b", 2*maxCrashedBackends-1)].requests).To(HaveLen(maxRequestsPerCrash))
	g.Expect(len(table.answered)).To(BeNumerically("<=", maxAnsweredParts))
	kept := table.settle(time.Minute)
	g.Expect(kept).NotTo(BeEmpty())
	g.Expect(kept[0].Parts).To(Equal(testParts("kept")), "what a quarantine is based on is evicted last")
}

// TestRecordsOfPartsAreDecodedAgain encodes an announcement of parts as an object and as a message.
func TestRecordsOfPartsAreDecodedAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1764730000000)
	announcement := Announcement{
		Request: groupName(testParts("a", "b")), Parts: testParts("a", "b"), Exempt: testParts("c"), Backends: []string{"1", "2"},
		Quarantined: time.Minute,
	}
	name, spec, err := EncodeRecord(now, announcement)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := DecodeRecord(now, name, spec)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(announcement))
	received, valid := decodeAnnouncement(EncodeAnnouncement(announcement))
	g.Expect(valid).To(BeTrue())
	g.Expect(received).To(Equal(announcement))
	_, err = DecodeRecord(now, name, []byte(`{"parts":["not a fingerprint"]}`))
	g.Expect(err).To(MatchError(ErrInvalidRecord))
}

// TestReportsOfPartsAreDecodedAgain encodes a report as a message.
func TestReportsOfPartsAreDecodedAgain(t *testing.T) {
	g := NewWithT(t)
	const now = time.Minute
	parts := NewParts("tenant", []string{"a", "b"})
	reported := report{
		evidence:      []Evidence{{Request: testRequest(1), Backend: "b", At: now - time.Second, Parts: parts, Written: true}},
		answeredParts: []answeredPart{{parts[0], now - 2*time.Second}},
	}
	g.Expect(decodeReport(now, encodeReport(now, reported))).To(Equal(reported))
	g.Expect(decodeReportResponse(encodeReportResponse(reportResponse{countsParts: true})).countsParts).To(BeTrue())
}
