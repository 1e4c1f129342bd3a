package acceptretry_test

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/acceptretry"
)

// failingListener fails until a time, and then accepts one connection before it is closed.
type failingListener struct {
	net.Listener
	failsUntil time.Time
	err        error
	accepted   bool
	calls      int
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *failingListener) Accept() (net.Conn, error) {
	l.calls++
	switch {
	case time.Now().Before(l.failsUntil):
		return nil, &net.OpError{Op: "accept", Err: l.err}
	case l.accepted:
		return nil, net.ErrClosed
	}
	l.accepted = true
	client, server := net.Pipe()
	return server, client.Close()
}

// TestAcceptGoesOnAfterErrors guards against a server that accepts no connection any more after an error that has passed.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	for _, failure := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			const failing = 2 * time.Second
			inner := &failingListener{failsUntil: time.Now().Add(failing), err: failure}
			var log bytes.Buffer
			listener := acceptretry.Wrap(inner, slog.New(slog.NewTextHandler(&log, nil)))
			began := time.Now()
			conn, err := listener.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(conn.Close()).To(Succeed())
			g.Expect(time.Since(began)).To(BeNumerically("<", failing+200*time.Millisecond))
			g.Expect(inner.calls).To(BeNumerically("<", 30))
			g.Expect(strings.Count(log.String(), "\n")).To(Equal(2), log.String())
			_, err = listener.Accept()
			g.Expect(err).To(MatchError(net.ErrClosed))
		})
	}
}
