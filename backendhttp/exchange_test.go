package backendhttp_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/backendhttp"
	"github.com/reelrun/reelrun/gateway"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// exchange sends one request to an address and returns the error.
func exchange(t *testing.T, address string) error {
	t.Helper()
	transport := backendhttp.NewTransport(new(net.Dialer).DialContext)
	t.Cleanup(transport.CloseIdle)
	request, err := backendhttp.NewRequest(t.Context(), http.MethodPut, address, "/x?y=1", []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	response, _, err := transport.Exchange(request)
	if err == nil {
		_ = response.Body.Close()
	}
	return err
}

// TestNotSent tells a back end that was never reached from one that may have run the
// request before it closed the connection.
func TestNotSent(t *testing.T) {
	g := NewWithT(t)
	gone := listen(t)
	g.Expect(gone.Close()).To(Succeed())
	g.Expect(errors.Is(exchange(t, gone.Addr().String()), gateway.ErrNotSent)).To(BeTrue())

	closing := listen(t)
	received := make(chan []byte, 1)
	go func() {
		conn, err := closing.Accept()
		if err != nil {
			return
		}
		head := make([]byte, len("PUT /x?y=1"))
		_, _ = io.ReadFull(conn, head)
		received <- head
		_ = conn.Close()
	}()
	err := exchange(t, closing.Addr().String())
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.Is(err, gateway.ErrNotSent)).To(BeFalse())
	g.Expect(string(<-received)).To(Equal("PUT /x?y=1"))
}

// TestEndToEnd wants exactly the headers of one connection left out, and the given ones
// unchanged.
func TestEndToEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"X-One", "X-Two", "X-Three", "Te", "Upgrade"}), rapid.ID[string]).Draw(t, "names")
		named := rapid.SampledFrom([]string{"X-One", "x-two", "X-Absent"}).Draw(t, "named")
		header := http.Header{"Connection": {"close, " + named}}
		for _, name := range names {
			header.Set(name, "value")
		}
		before := header.Clone()
		passed := backendhttp.EndToEnd(header)
		for name := range before {
			ofConnection := name == "Connection" || name == "Te" || name == "Upgrade" || name == http.CanonicalHeaderKey(named)
			if _, kept := passed[name]; kept == ofConnection {
				t.Fatalf("%s kept: %t", name, kept)
			}
			if len(header[name]) != len(before[name]) {
				t.Fatalf("%s was changed in the original", name)
			}
		}
	})
}
