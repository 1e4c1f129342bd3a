package backendhttp_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/backendhttp"
	"github.com/reelrun/reelrun/clock"
)

// TestNoConnectionCarriesAnIdentifierTwice guards against a late response to an earlier attempt of a request that cannot be told from
// the response to a later one, since both name the same identifier. Requests without an identifier share a connection.
func TestNoConnectionCarriesAnIdentifierTwice(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	address := server.Listener.Addr().String()
	paths := map[string]error{"direct": nil, "through another node": syscall.ECONNREFUSED}
	for name, ownLink := range paths {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			opened.Store(0)
			transport, _ := newTunnelledTransport(t, ownLink, clock.Runtime(), &otherNode{address: address})
			for _, step := range []struct {
				identifier  string
				connections int
			}{
				{"a", 1}, {"b", 1}, {"c", 1}, {backendhttp.NoIdentifier, 1}, {backendhttp.NoIdentifier, 1},
				{"a", 2}, {"c", 2}, {"b", 2}, {"b", 3},
			} {
				request, err := backendhttp.NewRequest(t.Context(), http.MethodPut, address, "/x", []byte("body"))
				g.Expect(err).NotTo(HaveOccurred())
				response, _, err := transport.Exchange(request, step.identifier)
				g.Expect(err).NotTo(HaveOccurred())
				body, err := io.ReadAll(response.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.Body.Close()).To(Succeed())
				g.Expect(string(body)).To(Equal("body"))
				g.Expect(opened.Load()).To(BeEquivalentTo(step.connections), "%+v", step)
			}
		})
	}
}
