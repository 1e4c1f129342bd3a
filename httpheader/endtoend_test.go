package httpheader_test

import (
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/httpheader"
)

// TestEndToEnd checks that exactly the hop-by-hop headers are removed, and that the given headers
// are unchanged.
func TestEndToEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"X-One", "X-Two", "X-Three", "Te", "Upgrade"}), rapid.ID[string]).Draw(t, "names")
		named := rapid.SampledFrom([]string{"X-One", "x-two", "X-Absent"}).Draw(t, "named")
		header := http.Header{"Connection": {"close, " + named}}
		for _, name := range names {
			header.Set(name, "value")
		}
		before := header.Clone()
		passed := httpheader.EndToEnd(header)
		for name := range before {
			hopByHop := name == "Connection" || name == "Te" || name == "Upgrade" || name == http.CanonicalHeaderKey(named)
			if _, kept := passed[name]; kept == hopByHop {
				t.Fatalf("%s kept: %t", name, kept)
			}
			if len(header[name]) != len(before[name]) {
				t.Fatalf("%s was changed in the original", name)
			}
		}
	})
}
