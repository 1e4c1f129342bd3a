// Package acceptretry keeps a server accepting connections after errors that pass, such as a lack of descriptors or of memory for a
// socket. net/http goes on after some of them and ends its server after the others.
package acceptretry

import (
	"log/slog"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// shortestPause and longestPause bound the time between two attempts to accept a connection. It doubles with each failure.
	shortestPause = 5 * time.Millisecond
	longestPause  = 160 * time.Millisecond
)

// Listener wraps a listener. Its Accept fails only once the listener is closed.
type Listener struct {
	net.Listener
	logger *slog.Logger
}

// Wrap returns a listener that writes to a logger when connections cannot be accepted, and when they can be again.
func Wrap(listener net.Listener, logger *slog.Logger) *Listener { return &Listener{listener, logger} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	pause := shortestPause
	var failedSince time.Time
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil && !failedSince.IsZero():
			l.logger.Info("connections accepted again", "address", l.Addr().String(), "after_ms", time.Since(failedSince).Milliseconds())
			return conn, nil
		case err == nil || errors.Is(err, net.ErrClosed):
			return conn, err
		case failedSince.IsZero():
			failedSince = time.Now()
			l.logger.Error("connections cannot be accepted", "address", l.Addr().String(), "error", err.Error())
		}
		time.Sleep(pause)
		pause = min(2*pause, longestPause)
	}
}
