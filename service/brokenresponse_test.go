package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/claim"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/filter"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/timeline"
)

// TestBrokenResponseIsNotContinuedByAnotherReplica has each replica break its response off after the first part of the body. The
// caller must see that the response is incomplete, and nothing of another replica's response.
func TestBrokenResponseIsNotContinuedByAnotherReplica(t *testing.T) {
	const part = "first part"
	g := NewWithT(t)
	var backends []api.Backend
	for _, name := range []string{"first", "second"} {
		replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}))
		defer replica.Close()
		backends = append(backends, api.Backend{Name: name, Address: replica.Listener.Addr().String()})
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	handler := NewHandler(Options{
		Claims: &memoryClaims{granted: map[claim.Key]string{}}, Transport: transport, Metrics: metrics.NewSet(),
		Events: timeline.NewRing("node", timeline.NewClock(time.Now), 16), Leaving: func(string) bool { return false },
	})
	snapshot := configuration.NewSnapshot(configuration.Head{Version: 1}, &api.Configuration{
		Tenants:  []api.Tenant{{Name: "tenant", Services: []string{"portal"}}},
		Services: []api.Service{{Name: "portal", Timeout: api.Duration(callTimeout), Backends: backends}},
	})
	tenant, _ := snapshot.Tenant("tenant")
	mux := http.NewServeMux()
	mux.Handle("/services/{name}/{path...}", filter.Chain(handler))
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(w, filter.WithExchange(r, &filter.Exchange{RequestID: "request", Snapshot: snapshot, Tenant: tenant}))
	}))
	defer node.Close()
	response, err := http.Get(node.URL + "/services/portal/x") //nolint:noctx // The node ends the call in time.
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(string(body)).To(Equal(part))
}
