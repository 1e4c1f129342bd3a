package logging_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/logging"
)

func TestLinesBeyondTheRateAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var written bytes.Buffer
		log := logging.New(&written, logging.Options{LinesPerSecond: 1, Burst: 5})
		for range 100 {
			log.Logger().Info("much")
		}
		log.Logger().Info("other")
		time.Sleep(3 * time.Second)
		log.Logger().Info("later")
		log.Close(time.Second)
		messages, dropped := map[string]int{}, map[string]float64{}
		for line := range strings.Lines(written.String()) {
			var fields map[string]any
			g.Expect(json.Unmarshal([]byte(line), &fields)).To(Succeed())
			messages[fields["msg"].(string)]++
			for _, message := range []string{"much", "other"} {
				count, _ := fields[message].(float64)
				dropped[message] += count
			}
		}
		g.Expect(messages).To(Equal(map[string]int{"much": 5, "later": 1, "lines dropped": 2}))
		g.Expect(dropped).To(Equal(map[string]float64{"much": 95, "other": 1}))
	})
}

// TestBlockedOutputDoesNotBlockCallers writes to a pipe that is never read. Info must
// not block, and Close must give up after its timeout.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		reader, writer := io.Pipe()
		log := logging.New(writer, logging.Options{LinesPerSecond: 1e6, Burst: 1e6, QueuedLines: 10})
		started := time.Now()
		for range 10000 {
			log.Logger().Info("line")
		}
		log.Close(time.Second)
		g.Expect(time.Since(started)).To(BeNumerically("<=", time.Second))
		_ = reader.Close()
	})
}
