package router

import (
	"io"
	"log"
)

// discardLog drops the HTTP server's messages about callers' broken
// connections: the gateway logs each decision itself.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
