package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/platform/standin"
)

// rejectStream numbers the random stream of the backends that reject requests.
const rejectStream = 6

// retryRule limits the upstream retries of the nodes. Its window is short, so that a run contains many windows.
var retryRule = standin.RetryRule{Ratio: 0.2, Slack: 20, Window: 2 * time.Second}

// requestLog records when callers sent requests, by the service of the request's route. It is safe for
// concurrent use.
type requestLog struct {
	mu   sync.Mutex
	sent map[string][]time.Time
}

// add records a request.
func (l *requestLog) add(k kind, at time.Time) {
	service := "app"
	if k.isStream() {
		service = "llm"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent == nil {
		l.sent = map[string][]time.Time{}
	}
	l.sent[service] = append(l.sent[service], at)
}

func (l *requestLog) times(service string) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.sent[service]...)
}

// injectRejections has one backend or all backends of a service reject some or all requests for a time.
func (h *harness) injectRejections(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		service := []string{"app", "llm"}[random.IntN(2)]
		rejecting := h.backendsOf(service)
		if random.IntN(3) == 0 {
			rejecting = rejecting[random.IntN(len(rejecting)):][:1]
		}
		share := []float64{0.3, 0.6, 1}[random.IntN(3)]
		for _, b := range rejecting {
			b.setRejecting(share)
		}
		time.Sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		for _, b := range rejecting {
			b.setRejecting(0)
		}
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	}
}

// setRejecting has a backend reject a share of the callers' requests without asking for a backoff.
func (b *backend) setRejecting(share float64) {
	if b.engine != nil {
		b.engine.SetRejectShare(share)
		return
	}
	b.server.SetRejectShare(share)
}

// misdirected returns the requests that were meant for another incarnation of a backend.
func (b *backend) misdirected() []standin.Arrival {
	if b.engine != nil {
		return b.engine.Misdirected()
	}
	return b.server.Misdirected()
}

// checkUpstreamRetries returns the services that got more upstream retries than the rule allows, and the number of
// upstream retries in all. Older builds have faults in this, and are not checked.
func (h *harness) checkUpstreamRetries() (violations []string, retries int) {
	if h.older != "" {
		return nil, 0
	}
	for _, service := range []string{"app", "llm"} {
		var arrivals []standin.Arrival
		for _, b := range h.backendsOf(service) {
			arrivals = append(append(arrivals, b.arrivals()...), b.misdirected()...)
		}
		retries += len(standin.UpstreamRetries(arrivals))
		if worst, exceeded := retryRule.Worst(h.requests.times(service), arrivals); exceeded {
			violations = append(violations, fmt.Sprintf("%s got %v", service, worst))
			h.logArrivals(worst, arrivals)
		}
	}
	return violations, retries
}

// logArrivals logs the arrivals in a window with too many upstream retries, so that its requests can be traced.
func (h *harness) logArrivals(excess standin.RetryExcess, arrivals []standin.Arrival) {
	for _, arrival := range arrivals {
		if since := arrival.At.Sub(excess.From); since >= 0 && since < retryRule.Window {
			h.t.Logf("arrival %s %s %s, prefill %v, started %v", arrival.At.Format("15:04:05.000"), arrival.Request, arrival.Path, arrival.Prefill, arrival.PrefillStarted)
		}
	}
}

// TestChecksDetectUpstreamRetries has a backend get one upstream retry more than the rule allows.
func TestChecksDetectUpstreamRetries(t *testing.T) {
	g := NewWithT(t)
	h := &harness{t: t}
	h.backends = []*backend{{service: "app", server: standin.NewServer("b")}}
	h.requests.add(kindIdempotent, time.Now())
	arrive := func(id string) {
		request := httptest.NewRequest(http.MethodGet, "/x", http.NoBody)
		request.Header.Set("X-Request-Id", id)
		h.backends[0].server.ServeHTTP(httptest.NewRecorder(), request)
	}
	arrive("first")
	for i := range int(retryRule.Slack) {
		arrive(strconv.Itoa(i))
		arrive(strconv.Itoa(i))
	}
	violations, retries := h.checkUpstreamRetries()
	g.Expect(violations).To(BeEmpty())
	g.Expect(retries).To(Equal(int(retryRule.Slack)))
	arrive("first")
	violations, _ = h.checkUpstreamRetries()
	g.Expect(violations).To(HaveLen(1))
}
