package directory

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/peer/peerpb"
)

func register(mode peerpb.RegisterMode, turn uint64, state peerpb.RunState, body string) *peerpb.Register {
	return &peerpb.Register{Mode: mode, Running: &peerpb.Running{Tenant: "t", Key: "k", BodyDigest: []byte(body), Turn: turn, State: state}}
}

// TestTurnsRise registers requests and late reports in any order: each request must get a turn of its own, and
// a report of an earlier turn must change nothing.
func TestTurnsRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		directory := New(time.Now)
		var newest uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "arrive") {
				registered, err := directory.Register(register(peerpb.RegisterMode_REGISTER_MODE_ARRIVE, 0, 0, "body"))
				if err != nil {
					t.Fatal(err)
				}
				if registered.GetTurn() != newest+1 {
					t.Fatalf("turn %d after %d", registered.GetTurn(), newest)
				}
				newest = registered.GetTurn()
				continue
			}
			late := uint64(rapid.IntRange(0, int(newest)).Draw(t, "late"))
			if late == newest {
				continue
			}
			if _, err := directory.Register(register(peerpb.RegisterMode_REGISTER_MODE_UPDATE, late, peerpb.RunState_RUN_STATE_ANSWERED, "body")); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func TestAnsweredRequestIsNotRunAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	directory := New(func() time.Time { return now })
	_, err := directory.Register(register(peerpb.RegisterMode_REGISTER_MODE_ARRIVE, 0, 0, "body"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = directory.Register(register(peerpb.RegisterMode_REGISTER_MODE_UPDATE, 1, peerpb.RunState_RUN_STATE_ANSWERED, "body"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = directory.Register(register(peerpb.RegisterMode_REGISTER_MODE_ARRIVE, 0, 0, "body"))
	g.Expect(api.IsCode(err, api.CodeAlreadyClaimed)).To(BeTrue())
	_, err = directory.Register(register(peerpb.RegisterMode_REGISTER_MODE_ARRIVE, 0, 0, "other"))
	g.Expect(api.IsCode(err, api.CodeKeyConflict)).To(BeTrue())
	now = now.Add(2 * retention)
	_, err = directory.Register(register(peerpb.RegisterMode_REGISTER_MODE_ARRIVE, 0, 0, "other"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(directory.Len()).To(Equal(1))
}
