package quarantine

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRecordsOfOtherBuilds decodes a record as an earlier build wrote it, also with a field of a later build,
// and encodes it unchanged.
func TestRecordsOfOtherBuilds(t *testing.T) {
	const (
		name    = "6b86b273ff34fce19d6b804eff5a3f57"
		written = `{"backends":["i-1@5","i-2@6","i-3@7"],"untilMillis":1764733600000}`
		later   = `{"backends":["i-1@5","i-2@6","i-3@7"],"untilMillis":1764733600000,"ofALaterBuild":true}`
	)
	g := NewWithT(t)
	now := time.UnixMilli(1764730000000)
	for _, content := range []string{written, later} {
		announcement, err := DecodeRecord(now, name, json.RawMessage(content))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(announcement.Backends).To(Equal([]string{"i-1@5", "i-2@6", "i-3@7"}))
		g.Expect(announcement.Quarantined).To(Equal(time.Hour))
		again, spec, err := EncodeRecord(now, announcement)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(name))
		g.Expect(string(spec)).To(MatchJSON(written))
	}
}
