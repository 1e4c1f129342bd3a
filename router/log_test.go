package router

import (
	"bytes"
	"log/slog"
	"testing"

	. "github.com/onsi/gomega"
)

// TestErrorsOfServersAreLogged writes a message as an HTTP server does.
func TestErrorsOfServersAreLogged(t *testing.T) {
	g := NewWithT(t)
	var written bytes.Buffer
	serverLog(slog.New(slog.NewJSONHandler(&written, nil)), "callers").Printf("http: panic serving %s: %s", "10.0.0.1:1", "cause")
	g.Expect(written.String()).To(And(ContainSubstring(`"level":"WARN"`), ContainSubstring(`"server":"callers"`), ContainSubstring("http: panic serving 10.0.0.1:1: cause")))
}
