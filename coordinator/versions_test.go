package coordinator

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/ledger"
)

// versionOfEngine returns the version of an engine that is named after it.
func versionOfEngine(engine string) string {
	version, _, _ := strings.Cut(engine, "-")
	return version
}

// TestAssignedEnginesHaveTwoVersions draws engines of several versions and requests: the engines of an assignment have one
// version, and the required one if there is one.
func TestAssignedEnginesHaveTwoVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := func(role string) []string {
			return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1-" + role + "1", "v1-" + role + "2", "v2-" + role + "1", "v2-" + role + "2", "v3-" + role + "1"}),
				0, 5, rapid.ID[string]).Draw(t, role)
		}
		engines := Engines{Prefill: names("p"), Versions: []string{"v1", "v2", "v3"}, VersionOf: versionOfEngine}
		for _, id := range names("d") {
			engines.Decode = append(engines.Decode, ledger.Engine{ID: id, Memory: rapid.SampledFrom([]int{100, 12_000, 60_000}).Draw(t, id), Slots: 8})
		}
		now := time.Duration(0)
		versioned := New(Options{Engines: func(string) Engines { return engines }, Nodes: func() int { return 1 }, Now: func() time.Duration { return now }})
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			request := requestOf(string(rune('a'+i)), 0)
			required := rapid.SampledFrom([]string{"", "v1", "v2", "v3"}).Draw(t, "required")
			if required != "" {
				request.Version = backend.RequireVersion(required)
			}
			assigned := versioned.Assign(t.Context(), request)
			if assigned.Decode == "" {
				continue
			}
			decode := versionOfEngine(assigned.Decode)
			if required != "" && decode != required {
				t.Fatalf("%s was required, %+v assigned", required, assigned)
			}
			if assigned.Prefill != "" && versionOfEngine(assigned.Prefill) != decode {
				t.Fatalf("two versions in %+v", assigned)
			}
		}
	})
}

// TestNewStreamsUseOneVersionOnly sends requests that any version can serve: the version with the most free memory comes
// first, so that no version is filled while another one is idle.
func TestNewStreamsUseOneVersionOnly(t *testing.T) {
	g := NewWithT(t)
	engines := Engines{
		Decode:  []ledger.Engine{{ID: "v1-d", Memory: 200_000, Slots: 64}, {ID: "v2-d", Memory: 200_000, Slots: 64}},
		Prefill: []string{"v1-p", "v2-p"}, Versions: []string{"v1", "v2"}, VersionOf: versionOfEngine,
	}
	now := time.Duration(0)
	versioned := New(Options{Engines: func(string) Engines { return engines }, Nodes: func() int { return 1 }, Now: func() time.Duration { return now }})
	counts := map[string]int{}
	for i := range 20 {
		counts[versioned.Assign(t.Context(), requestOf(string(rune('a'+i)), 0)).Decode]++
		now += time.Second
	}
	g.Expect(counts).To(Equal(map[string]int{"v1-d": 10, "v2-d": 10}))
}

// TestRequiredVersionIsLostOnTheWire encodes and decodes requests with and without a required version.
func TestRequiredVersionIsLostOnTheWire(t *testing.T) {
	g := NewWithT(t)
	for _, constraint := range []backend.VersionConstraint{{}, backend.RequireVersion(""), backend.RequireVersion("v1")} {
		request := requestOf("run", 0)
		request.Version = constraint
		g.Expect(decodeRequest(encodeRequest(request, 0), 0).Version).To(Equal(constraint))
	}
}
