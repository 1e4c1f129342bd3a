package router

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/retrybudget"
)

// goldenObject is the encoded content of an object as written by an earlier build, and its decoded form.
// During a rolling upgrade or a rollback a fleet has objects of both builds.
type goldenObject[T any] struct {
	encoded string
	decoded T
}

// expectGolden checks that the content is decoded as intended, also with an unknown field of a later
// build, and that all its fields are encoded as before.
func expectGolden[T any](t *testing.T, golden goldenObject[T]) {
	t.Helper()
	g := NewWithT(t)
	later := golden.encoded[:len(golden.encoded)-1] + `,"ofALaterBuild":{"a":[1]}}`
	for _, content := range []string{golden.encoded, later} {
		var read T
		g.Expect(json.Unmarshal([]byte(content), &read)).To(Succeed())
		g.Expect(read).To(Equal(golden.decoded))
	}
	reencoded, err := json.Marshal(golden.decoded)
	g.Expect(err).NotTo(HaveOccurred())
	var fields, kept map[string]any
	g.Expect(json.Unmarshal(reencoded, &fields)).To(Succeed())
	g.Expect(json.Unmarshal([]byte(golden.encoded), &kept)).To(Succeed())
	for name, value := range kept {
		g.Expect(fields).To(HaveKeyWithValue(name, value), "an earlier build reads it")
	}
}

func TestObjectsOfEarlierBuildsAreRead(t *testing.T) {
	expectGolden(t, goldenObject[nodeSpec]{
		encoded: `{"address":"10.1.0.2:7000","zone":"a","started":1764730000000000000,"capacity":0.4,"linkBytes":125000000}`,
		decoded: nodeSpec{Address: "10.1.0.2:7000", Zone: "a", Started: 1764730000000000000, Capacity: 0.4, LinkBytes: 125e6},
	})
	expectGolden(t, goldenObject[roleChangeSpec]{
		encoded: `{"engine":"i-1@5","role":"decode"}`,
		decoded: roleChangeSpec{Engine: "i-1@5", Role: backend.RoleDecode},
	})
	expectGolden(t, goldenObject[retrybudget.Allocation]{
		encoded: `{"generation":7,"shares":{"n":{"start":"17","units":5,"unconfirmed":2,"lowered":6},"m":{"start":"18","units":5,"own":true}}}`,
		decoded: retrybudget.Allocation{Generation: 7, Shares: map[string]retrybudget.Share{
			"n": {Incarnation: "17", Units: 5, Unconfirmed: 2, Lowered: 6},
			"m": {Incarnation: "18", Units: 5, Initial: true},
		}},
	})
	expectGolden(t, goldenObject[cutOffSpec]{
		encoded: `{"start":"17","cutOff":true}`,
		decoded: cutOffSpec{Incarnation: "17", CutOff: true},
	})
	expectGolden(t, goldenObject[retryConfirmationSpec]{
		encoded: `{"start":"17","generation":6}`,
		decoded: retryConfirmationSpec{Incarnation: "17", Generation: 6},
	})
}
