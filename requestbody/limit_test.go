package requestbody_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/requestbody"
	"github.com/reelrun/reelrun/sim/memnet"
)

const (
	limit  = time.Second
	server = "10.0.0.1:80"
)

// serving serves a handler in memory, in virtual time, and calls run with a connection to it.
func serving(t *testing.T, handler http.HandlerFunc, run func(g Gomega, conn net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.NewNetwork(memnet.NewLinkFilter())
		listener := network.Listen(server)
		httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = httpServer.Serve(listener) // Returns when it is closed.
		}()
		conn, err := network.Dial(t.Context(), "10.0.0.2", server)
		g.Expect(err).NotTo(HaveOccurred())
		run(g, conn)
		g.Expect(conn.Close()).To(Succeed())
		g.Expect(httpServer.Close()).To(Succeed())
		<-ended
	})
}

// status sends a text and returns the status of the response.
func status(g Gomega, conn net.Conn, text string) int {
	_, err := fmt.Fprint(conn, text)
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

func TestStalledBodyFailsAtTheLimit(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		requestbody.LimitTime(w, r, limit)
		if _, err := io.ReadAll(r.Body); os.IsTimeout(err) {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	}
	serving(t, handler, func(g Gomega, conn net.Conn) {
		began := time.Now()
		g.Expect(status(g, conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")).To(Equal(http.StatusRequestTimeout))
		g.Expect(time.Since(began)).To(Equal(limit))
	})
}

func TestUnreadBodyDelaysResponseByTheLimitAtMost(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		requestbody.LimitTime(w, r, 2*limit)
		requestbody.LimitTime(w, r, limit)
		w.WriteHeader(http.StatusForbidden)
	}
	serving(t, handler, func(g Gomega, conn net.Conn) {
		began := time.Now()
		g.Expect(status(g, conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")).To(Equal(http.StatusForbidden))
		g.Expect(time.Since(began)).To(Equal(limit))
	})
}

// TestLimitEndsWithTheBody has a handler work for longer than its body may take.
func TestLimitEndsWithTheBody(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		requestbody.LimitTime(w, r, limit)
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(2 * limit)
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	serving(t, handler, func(g Gomega, conn net.Conn) {
		for range 2 {
			g.Expect(status(g, conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")).To(Equal(http.StatusOK))
		}
	})
}
