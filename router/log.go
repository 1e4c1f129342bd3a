package router

import (
	"bytes"
	"log"
	"log/slog"
)

// serverLog returns the error log of an HTTP server: what the server does without its handler, such as closing a connection after
// a panic or failing to accept one, is known to nobody else.
func serverLog(logger *slog.Logger, server string) *log.Logger {
	return log.New(serverErrors{logger, server}, "", 0)
}

// serverErrors logs the messages of one HTTP server.
type serverErrors struct {
	logger *slog.Logger
	server string
}

// Write implements io.Writer. The log package passes one message per call.
func (s serverErrors) Write(message []byte) (int, error) {
	s.logger.Warn("HTTP server", "server", s.server, "error", string(bytes.TrimSpace(message)))
	return len(message), nil
}
