package httpheader_test

import (
	"math"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/httpheader"
)

func TestRetryAfter(t *testing.T) {
	for text, expected := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "": 0, "0": 0, "-1": 0, "soon": 0, "NaN": 0,
		"Wed, 21 Oct 2015 07:28:00 GMT": 0, "1e300": 10 * time.Minute, "Inf": 10 * time.Minute,
	} {
		NewWithT(t).Expect(httpheader.RetryAfter(http.Header{"Retry-After": {text}})).To(Equal(expected), text)
	}
	NewWithT(t).Expect(httpheader.RetryAfter(nil)).To(BeZero())
}

// FuzzRetryAfter checks that any text gives a bounded time.
func FuzzRetryAfter(f *testing.F) {
	for _, text := range []string{"3", "0.5", "-0", "1e-320", "0x1p4", "9223372036854775807"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		after := httpheader.RetryAfter(http.Header{"Retry-After": {text}})
		if after < 0 || after > 10*time.Minute || math.IsNaN(after.Seconds()) {
			t.Fatalf("%q gives %v", text, after)
		}
	})
}
