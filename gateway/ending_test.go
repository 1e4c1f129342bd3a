package gateway_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/gateway"
)

// panickingDialect panics when a reservation is requested.
type panickingDialect struct{ parser }

func (panickingDialect) Reserve(context.Context, backend.Backend, int, time.Duration) (*gateway.Reservation, error) {
	panic("reservation without an engine")
}

// TestPanicLeavesNoTrace has the handling of a request panic: it is answered, counted and logged with its cause and its place.
func TestPanicLeavesNoTrace(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	handler := newLoggingHandler(panickingDialect{}, &unavailableCoordinator{}, slog.New(slog.NewJSONHandler(&log, nil)))
	request := httptest.NewRequest(http.MethodPost, "http://h/x", nil)
	request.Header.Set("Id", "panicked")
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	handler.LogCounts()
	g.Expect(response.Code).To(Equal(http.StatusBadGateway))
	g.Expect(log.String()).To(And(
		ContainSubstring(`"msg":"handler panicked"`), ContainSubstring("ending_test.go"), ContainSubstring(`"request":"panicked"`),
		ContainSubstring(`"reason":"panic"`), ContainSubstring(`"failed":1`), ContainSubstring("reservation without an engine"),
	))
	g.Expect(handler.InProgress()).To(BeZero())
}
