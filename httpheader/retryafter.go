package httpheader

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// longestRetryAfter bounds for how long a back end is left alone on its own word. A longer wish is more
// likely a fault; a back end that still wants backoff then says so in its next answer.
const longestRetryAfter = 10 * time.Minute

// RetryAfter returns how long a back end asks its caller to stay away, or zero where it does not. It
// reads the form in seconds (RFC 9110, section 10.2.3), also with fractions; a date is not read,
// because clocks differ between machines by more than the times asked for.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get("Retry-After")), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	if seconds >= longestRetryAfter.Seconds() {
		return longestRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
