package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/admission"
	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/gateway"
)

// failingDialect answers every request with an error response from the backend.
type failingDialect struct{ parser }

func (failingDialect) Send(context.Context, backend.Backend, *gateway.Request, time.Duration) (*gateway.Response, error) {
	return &gateway.Response{Status: http.StatusInternalServerError, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("own words"))}, nil
}

func sendOnce(handler http.Handler) *httptest.ResponseRecorder {
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "http://h/x", nil))
	return response
}

// TestLastResponseIsReturnedWhenOthersAreInBackoff has one backend fail while the other one is in backoff. It
// guards against dropping the response in favor of a second attempt for which there is no backend.
func TestLastResponseIsReturnedWhenOthersAreInBackoff(t *testing.T) {
	g := NewWithT(t)
	backends := twoBackends()
	decisions := admission.NewNode("n", func() time.Duration { return 0 })
	handler := newPlainHandlerOf(backends, failingDialect{}, decisions)
	backends.RecordNotice(backend.Backend{ID: "b"}, backend.Notice{Backoff: time.Minute})
	got := sendOnce(handler)
	g.Expect(got.Code).To(Equal(http.StatusInternalServerError))
	g.Expect(got.Body.String()).To(Equal("own words"))
}

// TestBackendInBackoffGetsNoRequests checks that all requests are sent to the other backend, and are
// rejected while both are in backoff.
func TestBackendInBackoffGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	backends := twoBackends()
	dialect := countingDialect{sent: map[string]int{}}
	handler := newPlainHandlerOf(backends, dialect, admission.NewNode("n", func() time.Duration { return 0 }))
	backends.RecordNotice(backend.Backend{ID: "b"}, backend.Notice{Backoff: time.Minute})
	for range 50 {
		g.Expect(sendOnce(handler).Code).To(Equal(http.StatusOK))
	}
	g.Expect(dialect.sent).To(Equal(map[string]int{"a": 50}))
	backends.RecordNotice(backend.Backend{ID: "a"}, backend.Notice{Backoff: time.Second})
	rejected := sendOnce(handler)
	g.Expect(rejected.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(rejected.Body.String()).To(HavePrefix(string(gateway.ReasonBackoff)))
	g.Expect(rejected.Header().Get("Retry-After")).To(Or(HavePrefix("0.9"), HavePrefix("1.")), "when the first backoff ends")
	g.Expect(dialect.sent).To(Equal(map[string]int{"a": 50}))
}

// limitingDialect has the first backend fail and the others accept no request, by the limits that they have named.
type limitingDialect struct {
	parser
	backends *backend.Registry
	sent     *int
}

func (d limitingDialect) Send(_ context.Context, target backend.Backend, _ *gateway.Request, _ time.Duration) (*gateway.Response, error) {
	*d.sent++
	if *d.sent == 1 {
		return &gateway.Response{Status: http.StatusInternalServerError, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("own words"))}, nil
	}
	d.backends.LimitReached(target.ID, time.Second)
	return nil, gateway.ErrLimited
}

// TestLastResponseIsReturnedWhenOthersAreBeyondTheirLimits has one backend fail while the limit of the other one is used
// up. It guards against replacing the response by a failure of this node.
func TestLastResponseIsReturnedWhenOthersAreBeyondTheirLimits(t *testing.T) {
	g := NewWithT(t)
	backends, sent := twoBackends(), 0
	handler := newPlainHandlerOf(backends, limitingDialect{backends: backends, sent: &sent}, admission.NewNode("n", func() time.Duration { return 0 }))
	got := sendOnce(handler)
	g.Expect(got.Code).To(Equal(http.StatusInternalServerError))
	g.Expect(got.Body.String()).To(Equal("own words"))
	g.Expect(sent).To(Equal(2))
}
