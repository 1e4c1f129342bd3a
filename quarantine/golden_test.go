package quarantine

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRecordsOfEarlierBuildsAreRead reads a record as the build of an earlier landing wrote it, also with a
// field of a later one in it, and writes it as before.
func TestRecordsOfEarlierBuildsAreRead(t *testing.T) {
	const (
		name    = "6b86b273ff34fce19d6b804eff5a3f57"
		written = `{"backends":["i-1@5","i-2@6","i-3@7"],"untilMillis":1764733600000}`
		later   = `{"backends":["i-1@5","i-2@6","i-3@7"],"untilMillis":1764733600000,"ofALaterBuild":true}`
	)
	g := NewWithT(t)
	now := time.UnixMilli(1764730000000)
	for _, content := range []string{written, later} {
		told, err := DecodeRecord(now, name, json.RawMessage(content))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(told.Backends).To(Equal([]string{"i-1@5", "i-2@6", "i-3@7"}))
		g.Expect(told.Quarantined).To(Equal(time.Hour))
		again, spec, err := EncodeRecord(now, told)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(name))
		g.Expect(string(spec)).To(MatchJSON(written))
	}
}
