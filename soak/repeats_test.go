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

// rejectStream numbers the random stream of back ends that reject requests.
const rejectStream = 6

// retryRule bounds the repeats of the nodes' requests. Its window is short, so that a run has many.
var retryRule = standin.RetryRule{Ratio: 0.2, Slack: 20, Window: 2 * time.Second}

// requestLog holds when callers sent requests, by the service of the request's route. It is safe for
// concurrent use.
type requestLog struct {
	mu   sync.Mutex
	sent map[string][]time.Time
}

// add takes note of a request.
func (l *requestLog) add(k kind, at time.Time) {
	service := "app"
	if k == kindStream || k == kindResume {
		service = "llm"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent == nil {
		l.sent = map[string][]time.Time{}
	}
	l.sent[service] = append(l.sent[service], at)
}

func (l *requestLog) of(service string) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.sent[service]...)
}

// rejections has back ends reject requests for a time: one, or all of a service, some or all requests.
func (w *world) rejections(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		service := []string{"app", "llm"}[random.IntN(2)]
		rejecting := w.backEndsOf(service)
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

// setRejecting has a back end reject a share of the callers' requests.
func (b *backEnd) setRejecting(share float64) {
	if b.engine != nil {
		b.engine.SetRejectShare(share)
		return
	}
	b.server.SetRejectShare(share)
}

// misdirected returns the requests that were meant for another life of a back end.
func (b *backEnd) misdirected() []standin.Arrival {
	if b.engine != nil {
		return b.engine.Misdirected()
	}
	return b.server.Misdirected()
}

// judgeRepeats returns the services that got more arrivals beyond the first of their requests than the rule
// allows, and how many of these there were in all. Older builds have faults in this, and are not judged.
func (w *world) judgeRepeats() (violations []string, repeats int) {
	if w.older != "" {
		return nil, 0
	}
	for _, service := range []string{"app", "llm"} {
		var arrivals []standin.Arrival
		for _, b := range w.backEndsOf(service) {
			arrivals = append(append(arrivals, b.arrivals()...), b.misdirected()...)
		}
		repeats += len(standin.UpstreamRetries(arrivals))
		if worst, broken := retryRule.Worst(w.requests.of(service), arrivals); broken {
			violations = append(violations, fmt.Sprintf("%s got %v", service, worst))
		}
	}
	return violations, repeats
}

// TestJudgeNoticesRepeats has a request more than is allowed reach a back end a second time.
func TestJudgeNoticesRepeats(t *testing.T) {
	g := NewWithT(t)
	w := &world{t: t}
	w.backEnds = []*backEnd{{service: "app", server: standin.NewServer("b")}}
	w.requests.add(kindAgain, time.Now())
	arrive := func(id string) {
		request := httptest.NewRequest(http.MethodGet, "/x", http.NoBody)
		request.Header.Set("X-Request-Id", id)
		w.backEnds[0].server.ServeHTTP(httptest.NewRecorder(), request)
	}
	arrive("first")
	for i := range int(retryRule.Slack) {
		arrive(strconv.Itoa(i))
		arrive(strconv.Itoa(i))
	}
	violations, repeats := w.judgeRepeats()
	g.Expect(violations).To(BeEmpty())
	g.Expect(repeats).To(Equal(int(retryRule.Slack)))
	arrive("first")
	violations, _ = w.judgeRepeats()
	g.Expect(violations).To(HaveLen(1))
}
