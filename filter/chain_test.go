package filter

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/timeline"
)

var _ = Describe("the request chain", func() {
	var (
		holder  *configuration.Holder
		set     *metrics.Set
		accepts bool
		serve   func(w http.ResponseWriter, r *http.Request) error
	)

	BeforeEach(func() {
		holder = configuration.NewHolder()
		parts, err := configuration.Split(api.Configuration{Tenants: []api.Tenant{
			{Name: "a", TokenHashes: []string{configuration.HashToken("token-a")}, MaxConcurrent: 1},
		}})
		Expect(err).NotTo(HaveOccurred())
		head := configuration.Head{Version: 1}
		data := map[string][]byte{}
		for _, part := range parts {
			head.Parts = append(head.Parts, part.Digest)
			data[part.Digest] = part.Data
		}
		fetch := func(_ context.Context, digest string) ([]byte, error) { return data[digest], nil }
		Expect(holder.Advance(context.Background(), head, fetch)).To(Succeed())
		set = metrics.NewSet()
		accepts = true
		serve = func(w http.ResponseWriter, _ *http.Request) error {
			_, err := io.WriteString(w, "served")
			return err
		}
	})

	chain := func() http.Handler {
		return Chain(HandlerFunc(func(w http.ResponseWriter, r *http.Request) error { return serve(w, r) }),
			&Identify{Configuration: holder, Metrics: set, Events: timeline.NewRing("node", timeline.NewClock(time.Now), 16), Now: time.Now},
			&Ready{Accepts: func() bool { return accepts }},
			&Authenticate{},
			&Limit{MaxBodyBytes: 16},
		)
	}
	send := func(handler http.Handler, token, body string) (*httptest.ResponseRecorder, *api.Error) {
		request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
		if token != "" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		failure := &api.Error{}
		if recorder.Code != http.StatusOK {
			Expect(json.Unmarshal(recorder.Body.Bytes(), failure)).To(Succeed())
		}
		return recorder, failure
	}

	It("serves a known tenant and returns the request's identifier", func() {
		recorder, _ := send(chain(), "token-a", "x")
		Expect(recorder.Code).To(Equal(http.StatusOK))
		Expect(recorder.Header().Get(HeaderRequestID)).NotTo(BeEmpty())
		Expect(set.Count("requests_answered")).To(BeEquivalentTo(1))
		Expect(set.Count("requests_in_flight")).To(BeZero())
	})

	It("rejects a wrong or missing token as not run", func() {
		for _, token := range []string{"", "token-b"} {
			recorder, failure := send(chain(), token, "x")
			Expect(recorder.Code).To(Equal(http.StatusUnauthorized))
			Expect(failure.Outcome).To(Equal(api.OutcomeNotRun))
		}
	})

	It("rejects new work with a Retry-After while the node is disconnected", func() {
		accepts = false
		recorder, failure := send(chain(), "token-a", "x")
		Expect(failure.Code).To(Equal(api.CodeNotReady))
		Expect(recorder.Header().Get("Retry-After")).To(Equal("1"))
	})

	It("bounds the body", func() {
		_, failure := send(chain(), "token-a", strings.Repeat("x", 17))
		Expect(failure.Code).To(Equal(api.CodeTooLarge))
	})

	It("bounds a tenant's requests in flight", func() {
		handler := chain()
		serve = func(w http.ResponseWriter, _ *http.Request) error {
			serve = func(http.ResponseWriter, *http.Request) error { return nil }
			_, failure := send(handler, "token-a", "x")
			Expect(failure.Code).To(Equal(api.CodeTooMany))
			_, err := io.WriteString(w, "served")
			return err
		}
		recorder, _ := send(handler, "token-a", "x")
		Expect(recorder.Code).To(Equal(http.StatusOK))
	})

	It("hides the text of an unexpected error", func() {
		serve = func(http.ResponseWriter, *http.Request) error { return io.ErrUnexpectedEOF }
		_, failure := send(chain(), "token-a", "x")
		Expect(failure.Code).To(Equal(api.CodeInternal))
		Expect(failure.Message).NotTo(ContainSubstring("EOF"))
	})

	It("closes the connection if a response fails after its start", func() {
		serve = func(w http.ResponseWriter, _ *http.Request) error {
			_, _ = io.WriteString(w, "half")
			return io.ErrUnexpectedEOF
		}
		Expect(func() { _, _ = send(chain(), "token-a", "x") }).To(PanicWith(http.ErrAbortHandler))
	})
})
