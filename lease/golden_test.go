package lease

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
)

// TestRecordsOfEarlierBuildsAreRead reads the record of a lease as the build of an earlier landing wrote it,
// also with a field of a later one in it, and writes it as before: holders of two builds follow each other
// while a fleet is upgraded.
func TestRecordsOfEarlierBuildsAreRead(t *testing.T) {
	const (
		written = `{"holder":"node-1/1764730000000000000","fence":7,"renewals":3,"duration_ms":6000,"idle":true}`
		later   = `{"holder":"node-1/1764730000000000000","fence":7,"renewals":3,"duration_ms":6000,"idle":true,"ofALaterBuild":[]}`
	)
	g := NewWithT(t)
	says := Record{Holder: "node-1/1764730000000000000", Fence: 7, Renewals: 3, DurationMillis: 6000, Idle: true}
	for _, content := range []string{written, later} {
		var read Record
		g.Expect(json.Unmarshal([]byte(content), &read)).To(Succeed())
		g.Expect(read).To(Equal(says))
	}
	again, err := json.Marshal(says)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(again)).To(MatchJSON(written))
}
