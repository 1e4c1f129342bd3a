package service

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/claim"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/filter"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/timeline"
)

// memoryClaims grants each key once.
type memoryClaims struct {
	mu        sync.Mutex
	granted   map[claim.Key]string
	withdrawn int
}

func (c *memoryClaims) Claim(_ context.Context, key claim.Key, requestID string, _ []byte) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, taken := c.granted[key]; taken {
		return "", api.NewError(http.StatusConflict, api.CodeAlreadyClaimed, api.OutcomeUnknown, "claimed")
	}
	c.granted[key] = requestID
	return requestID, nil
}

func (c *memoryClaims) Withdraw(_ context.Context, key claim.Key, _ string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.granted, key)
	c.withdrawn++
	return nil
}

// replica is a backend that counts the calls that it ran.
type replica struct {
	*httptest.Server
	ran atomic.Int64
	// breaks makes it close the connection after the call has run.
	breaks atomic.Bool
	// requestsBackoff makes it reject calls and request a minute of backoff.
	requestsBackoff atomic.Bool
	header          atomic.Value
}

func newReplica() *replica {
	created := &replica{}
	created.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		created.ran.Add(1)
		created.header.Store(r.Header.Clone())
		_, _ = io.Copy(io.Discard, r.Body)
		if created.breaks.Load() {
			panic(http.ErrAbortHandler)
		}
		if created.requestsBackoff.Load() {
			w.Header().Set("Retry-After", "60")
			api.NewError(http.StatusServiceUnavailable, api.CodeUnavailable, api.OutcomeNotRun, "asks for backoff").WriteHTTP(w)
			return
		}
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		_, _ = io.WriteString(w, "done")
	}))
	return created
}

func (r *replica) address() string { return r.Listener.Addr().String() }

// closedAddress returns an address without a listener.
func closedAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

var _ = Describe("a call to a plain service", func() {
	var (
		first, second *replica
		claims        *memoryClaims
		leaving       map[string]bool
		backends      []api.Backend
	)

	BeforeEach(func() {
		first, second = newReplica(), newReplica()
		claims = &memoryClaims{granted: map[claim.Key]string{}}
		leaving = map[string]bool{}
		backends = []api.Backend{{Name: "first", Address: first.address()}, {Name: "second", Address: second.address()}}
		DeferCleanup(first.Close)
		DeferCleanup(second.Close)
	})

	send := func(handler *Handler, method, key, body string) (int, *api.Error, http.Header) {
		snapshot := configuration.NewSnapshot(configuration.Head{Version: 1}, &api.Configuration{
			Tenants:  []api.Tenant{{Name: "tenant", Services: []string{"portal"}}},
			Services: []api.Service{{Name: "portal", Backends: backends}},
		})
		tenant, _ := snapshot.Tenant("tenant")
		mux := http.NewServeMux()
		mux.Handle("/services/{name}/{path...}", filter.Chain(handler))
		request := httptest.NewRequest(method, "/services/portal/readings?x=1", strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer secret")
		request.Header.Set("Connection", "X-Drop")
		request.Header.Set("X-Drop", "1")
		if key != "" {
			request.Header.Set(headerKey, key)
		}
		id, err := uuid.NewV7()
		Expect(err).NotTo(HaveOccurred())
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, filter.WithExchange(request, &filter.Exchange{RequestID: id.String(), Snapshot: snapshot, Tenant: tenant}))
		failure := &api.Error{}
		if recorder.Code != http.StatusOK {
			Expect(json.Unmarshal(recorder.Body.Bytes(), failure)).To(Succeed())
		}
		return recorder.Code, failure, recorder.Header()
	}

	newHandler := func() *Handler {
		return NewHandler(Options{
			Claims: claims, Transport: &http.Transport{}, Metrics: metrics.NewSet(),
			Events:  timeline.NewRing("node", timeline.NewClock(time.Now), 16),
			Leaving: func(machine string) bool { return leaving[machine] },
		})
	}
	newKey := func() string {
		id, err := uuid.NewV7()
		Expect(err).NotTo(HaveOccurred())
		return id.String()
	}
	runs := func() int64 { return first.ran.Load() + second.ran.Load() }

	It("reaches a replica without the caller's token and hop-by-hop headers", func() {
		status, _, header := send(newHandler(), http.MethodGet, "", "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(header).NotTo(HaveKey("X-Hop"))
		for _, called := range []*replica{first, second} {
			if called.ran.Load() == 0 {
				continue
			}
			received := called.header.Load().(http.Header)
			Expect(received).NotTo(HaveKey("Authorization"))
			Expect(received).NotTo(HaveKey("X-Drop"))
			Expect(received.Get("Reelrun-Tenant")).To(Equal("tenant"))
		}
	})

	It("is retried at another replica if it is idempotent", func() {
		first.breaks.Store(true)
		handler := newHandler()
		for range 4 {
			status, _, _ := send(handler, http.MethodGet, "", "")
			Expect(status).To(Equal(http.StatusOK))
		}
	})

	It("is not retried if it is not idempotent, and its outcome is unknown", func() {
		first.breaks.Store(true)
		second.breaks.Store(true)
		status, failure, _ := send(newHandler(), http.MethodPost, newKey(), "reading")
		Expect(status).To(Equal(http.StatusBadGateway))
		Expect(failure.Outcome).To(Equal(api.OutcomeUnknown))
		Expect(runs()).To(BeEquivalentTo(1))
		Expect(claims.withdrawn).To(BeZero())
	})

	It("is not sent a second time by net/http when a reused connection breaks", func() {
		backends = backends[:1]
		handler := newHandler()
		status, _, _ := send(handler, http.MethodPost, newKey(), "")
		Expect(status).To(Equal(http.StatusOK))
		first.breaks.Store(true)
		_, failure, _ := send(handler, http.MethodPost, newKey(), "")
		Expect(failure.Outcome).To(Equal(api.OutcomeUnknown))
		Expect(runs()).To(BeEquivalentTo(2))
	})

	It("is not run when no replica can be reached, and its key stays usable", func() {
		backends = []api.Backend{{Name: "gone", Address: closedAddress()}}
		key := newKey()
		_, failure, header := send(newHandler(), http.MethodPost, key, "reading")
		Expect(failure.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(claims.withdrawn).To(Equal(1))
		backends = []api.Backend{{Name: "first", Address: first.address()}}
		status, _, _ := send(newHandler(), http.MethodPost, key, "reading")
		Expect(status).To(Equal(http.StatusOK))
	})

	It("requires a key that contains its time", func() {
		for _, key := range []string{"", "text", uuid.NewString()} {
			_, failure, _ := send(newHandler(), http.MethodPost, key, "reading")
			Expect(failure.Code).To(Equal(api.CodeKeyRequired))
		}
		Expect(runs()).To(BeZero())
	})

	It("is not sent to a leaving replica", func() {
		leaving["first"] = true
		for range 6 {
			status, _, _ := send(newHandler(), http.MethodGet, "", "")
			Expect(status).To(Equal(http.StatusOK))
		}
		Expect(first.ran.Load()).To(BeZero())
	})

	It("is not sent to a replica in backoff", func() {
		first.requestsBackoff.Store(true)
		now := time.Now()
		handler := newHandler()
		handler.balancer.now = func() time.Time { return now }
		for range 20 {
			_, _, _ = send(handler, http.MethodGet, "", "")
		}
		Expect(first.ran.Load()).To(BeEquivalentTo(1), "no call after the one that it rejected with a backoff")
		Expect(second.ran.Load()).To(BeEquivalentTo(19))
		first.requestsBackoff.Store(false)
		now = now.Add(time.Minute)
		for range 4 {
			_, _, _ = send(handler, http.MethodGet, "", "")
		}
		Expect(first.ran.Load()).To(BeNumerically(">", 1))
	})

	It("is rejected immediately when every replica is in backoff", func() {
		first.requestsBackoff.Store(true)
		second.requestsBackoff.Store(true)
		handler := newHandler()
		for range 10 {
			_, _, _ = send(handler, http.MethodGet, "", "")
		}
		Expect(runs()).To(BeEquivalentTo(2))
		_, failure, _ := send(handler, http.MethodGet, "", "")
		Expect(failure.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(failure.RetryAfter).To(BeNumerically("~", time.Minute, 5*time.Second))
	})

	It("is rejected when every replica is leaving", func() {
		leaving["first"], leaving["second"] = true, true
		_, failure, _ := send(newHandler(), http.MethodGet, "", "")
		Expect(failure.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(failure.RetryAfter).To(BeNumerically(">", 0))
	})
})
