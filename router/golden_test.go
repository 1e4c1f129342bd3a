package router

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/retrybudget"
)

// goldenObject is the content of an object as the build of an earlier landing wrote it, and what it says.
// A fleet that is upgraded, or rolled back, has objects of both builds.
type goldenObject[T any] struct {
	written string
	says    T
}

// expectGolden wants the content to be read as it was meant, also with a field of a later build in it, and
// to be written as before.
func expectGolden[T any](t *testing.T, golden goldenObject[T]) {
	t.Helper()
	g := NewWithT(t)
	later := golden.written[:len(golden.written)-1] + `,"ofALaterBuild":{"a":[1]}}`
	for _, content := range []string{golden.written, later} {
		var read T
		g.Expect(json.Unmarshal([]byte(content), &read)).To(Succeed())
		g.Expect(read).To(Equal(golden.says))
	}
	again, err := json.Marshal(golden.says)
	g.Expect(err).NotTo(HaveOccurred())
	var fields, kept map[string]any
	g.Expect(json.Unmarshal(again, &fields)).To(Succeed())
	g.Expect(json.Unmarshal([]byte(golden.written), &kept)).To(Succeed())
	for name, value := range kept {
		g.Expect(fields).To(HaveKeyWithValue(name, value), "an earlier build reads it")
	}
}

func TestObjectsOfEarlierBuildsAreRead(t *testing.T) {
	expectGolden(t, goldenObject[nodeSpec]{
		written: `{"address":"10.1.0.2:7000","zone":"a","started":1764730000000000000,"capacity":0.4,"linkBytes":125000000}`,
		says:    nodeSpec{Address: "10.1.0.2:7000", Zone: "a", Started: 1764730000000000000, Capacity: 0.4, LinkBytes: 125e6},
	})
	expectGolden(t, goldenObject[roleChangeSpec]{
		written: `{"engine":"i-1@5","role":"decode"}`,
		says:    roleChangeSpec{Engine: "i-1@5", Role: backend.RoleDecode},
	})
	expectGolden(t, goldenObject[retrybudget.Allocation]{
		written: `{"generation":7,"shares":{"n":{"start":"17","units":5,"unconfirmed":2,"lowered":6},"m":{"start":"18","units":5,"own":true}}}`,
		says: retrybudget.Allocation{Generation: 7, Shares: map[string]retrybudget.Share{
			"n": {Incarnation: "17", Units: 5, Unconfirmed: 2, Lowered: 6},
			"m": {Incarnation: "18", Units: 5, Initial: true},
		}},
	})
	expectGolden(t, goldenObject[retryConfirmationSpec]{
		written: `{"start":"17","generation":6}`,
		says:    retryConfirmationSpec{Start: "17", Generation: 6},
	})
}
