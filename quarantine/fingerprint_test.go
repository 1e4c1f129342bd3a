package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFingerprintsDistinguishContents draws two contents: their fingerprints are equal only if all their parts
// are.
func TestFingerprintsDistinguishContents(t *testing.T) {
	part := rapid.StringMatching(`[a/]{0,3}`)
	rapid.Check(t, func(t *rapid.T) {
		draw := func() Content {
			return Content{
				Tenant: part.Draw(t, "tenant"), Method: part.Draw(t, "method"), Host: part.Draw(t, "host"),
				URI: part.Draw(t, "uri"), Body: []byte(part.Draw(t, "body")),
			}
		}
		first, second := draw(), draw()
		same := first.Tenant == second.Tenant && first.Method == second.Method && first.Host == second.Host &&
			first.URI == second.URI && string(first.Body) == string(second.Body)
		if (NewFingerprint(first) == NewFingerprint(second)) != same {
			t.Fatalf("%+v and %+v: same %t", first, second, same)
		}
	})
}

// FuzzDecodeRecord checks that arbitrary objects yield an error, or a quarantine of a valid duration.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(NewFingerprint(Content{}).String(), []byte(`{"backends":["a"],"untilMillis":1}`))
	f.Add("", []byte(`[]`))
	f.Fuzz(func(t *testing.T, name string, spec []byte) {
		announcement, err := DecodeRecord(time.Unix(0, 0), name, spec)
		if err == nil && (announcement.Quarantined < 0 || announcement.Quarantined > quarantineDuration) {
			t.Fatalf("quarantined for %v", announcement.Quarantined)
		}
	})
}

// BenchmarkNewFingerprint computes the fingerprint of a request of 5,000 bytes: 4.7 µs. It is computed when a
// backend failed, and for every request while any request has a record.
func BenchmarkNewFingerprint(b *testing.B) {
	content := Content{Tenant: "a", Method: "POST", Host: "h", URI: "/p/x", Body: make([]byte, 5000)}
	b.ReportAllocs()
	for b.Loop() {
		NewFingerprint(content)
	}
}

// BenchmarkStatus looks a request up in a full table: 12 ns.
func BenchmarkStatus(b *testing.B) {
	table := NewTable()
	for number := range maxRequests {
		table.Add(0, testRequest(number), "b")
	}
	request := testRequest(1)
	for b.Loop() {
		table.Status(0, request)
	}
}
