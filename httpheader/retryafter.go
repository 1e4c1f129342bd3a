package httpheader

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter bounds how long a backend is avoided at its own request. A longer time is more
// likely a fault; a backend that still needs backoff after it requests backoff again in its next
// response.
const maxRetryAfter = 10 * time.Minute

// RetryAfter returns how long a backend requests its caller to back off; zero if it does not. It
// parses the form in seconds (RFC 9110, section 10.2.3), also with fractions; a date is ignored,
// because clocks differ between machines by more than the requested times.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get("Retry-After")), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
