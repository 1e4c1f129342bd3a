package router

import (
	"io"
	"log"
)

// discardLog drops what the HTTP server says of broken connections of callers:
// the gateway logs each decision itself.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
