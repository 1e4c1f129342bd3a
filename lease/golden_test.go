package lease

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
)

// TestRecordsOfOtherBuilds decodes a lease record as an earlier build wrote it, also with a field of a later
// build, and encodes it unchanged: holders of two builds succeed each other while a fleet is upgraded.
func TestRecordsOfOtherBuilds(t *testing.T) {
	const (
		written = `{"holder":"node-1/1764730000000000000","fence":7,"renewals":3,"duration_ms":6000,"idle":true}`
		later   = `{"holder":"node-1/1764730000000000000","fence":7,"renewals":3,"duration_ms":6000,"idle":true,"ofALaterBuild":[]}`
	)
	g := NewWithT(t)
	expected := Record{Holder: "node-1/1764730000000000000", FencingToken: 7, Renewals: 3, DurationMillis: 6000, Idle: true}
	for _, content := range []string{written, later} {
		var read Record
		g.Expect(json.Unmarshal([]byte(content), &read)).To(Succeed())
		g.Expect(read).To(Equal(expected))
	}
	again, err := json.Marshal(expected)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(again)).To(MatchJSON(written))
}
