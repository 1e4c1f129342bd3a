package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
)

// TestResponsesToOtherCallsAreDiscarded guards against a late response to another call: a rejection would have an attempt that runs
// started once more, and a prefill result would have it continue from the KV cache of another caller's prompt.
func TestResponsesToOtherCallsAreDiscarded(t *testing.T) {
	rejection := api.NewError(http.StatusServiceUnavailable, api.CodeUnavailable, api.OutcomeNotRun, "full")
	attempt := engine.Attempt{RequestID: "r", Number: 1}
	for name, callID := range map[string]string{"another call": "other/1", "no call": ""} {
		for kind, respond := range map[string]func(http.ResponseWriter){
			"rejection": rejection.WriteHTTP,
			"result":    func(w http.ResponseWriter) { _, _ = w.Write([]byte(`{"result_id":"other"}`)) },
		} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if callID != "" {
					w.Header().Set(engine.HeaderCallID, callID)
				}
				respond(w)
			}))
			transport := &http.Transport{}
			client := engine.NewClient(transport)
			address := server.Listener.Addr().String()
			for method, call := range map[string]func(context.Context) error{
				"prefill": func(ctx context.Context) error {
					_, err := client.Prefill(ctx, address, engine.PrefillRequest{Attempt: attempt})
					return err
				},
				"decode": func(ctx context.Context) error {
					_, err := client.Decode(ctx, address, engine.DecodeRequest{Attempt: attempt})
					return err
				},
				"resume": func(ctx context.Context) error {
					_, err := client.Resume(ctx, address, attempt, engine.Holder{}, 0)
					return err
				},
				"order": func(ctx context.Context) error {
					return client.Order(ctx, address, engine.Order{}, func() error { return nil })
				},
				"load": func(ctx context.Context) error {
					_, err := client.Load(ctx, address)
					return err
				},
			} {
				t.Run(method+" gets "+kind+" of "+name, func(t *testing.T) {
					g := NewWithT(t)
					var apiErr *api.Error
					err := call(t.Context())
					g.Expect(errors.As(err, &apiErr)).To(BeTrue())
					g.Expect(apiErr.Outcome).To(Equal(api.OutcomeUnknown))
				})
			}
			transport.CloseIdleConnections()
			server.Close()
		}
	}
}
