package memnet

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrAborted is the error of an exchange that is aborted.
var ErrAborted = errors.New("memnet: exchange aborted")

// HTTPNetwork carries HTTP exchanges between hosts. It is safe for concurrent use.
type HTTPNetwork struct {
	filter *LinkFilter

	mu        sync.Mutex
	handlers  map[string]http.Handler
	exchanges map[*exchange]struct{}
}

// NewHTTPNetwork returns a network whose links the filter can block.
func NewHTTPNetwork(filter *LinkFilter) *HTTPNetwork {
	return &HTTPNetwork{filter: filter, handlers: map[string]http.Handler{}, exchanges: map[*exchange]struct{}{}}
}

// Handle sets the handler of an address.
func (n *HTTPNetwork) Handle(address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// Abort aborts every exchange that the function selects, and returns their number.
func (n *HTTPNetwork) Abort(selected func(Link) bool) int {
	n.mu.Lock()
	var ended []*exchange
	for open := range n.exchanges {
		if selected(open.link) {
			ended = append(ended, open)
		}
	}
	n.mu.Unlock()
	for _, open := range ended {
		open.abort()
	}
	return len(ended)
}

// Kill stops serving a host's addresses and aborts every exchange from or to it.
func (n *HTTPNetwork) Kill(host string) {
	n.mu.Lock()
	for served := range n.handlers {
		if hostOf(served) == host {
			delete(n.handlers, served)
		}
	}
	n.mu.Unlock()
	n.Abort(func(link Link) bool { return link.From == host || link.To == host })
}

// Transport returns the HTTP transport of a host.
func (n *HTTPNetwork) Transport(from string) http.RoundTripper {
	return &transport{network: n, from: from}
}

type transport struct {
	network *HTTPNetwork
	from    string
}

// exchange is one request with its response.
type exchange struct {
	link   Link
	cancel context.CancelFunc
	body   *io.PipeWriter
	ended  chan struct{}
	once   sync.Once
}

func (e *exchange) abort() {
	e.once.Do(func() {
		close(e.ended)
		e.cancel()
		_ = e.body.CloseWithError(ErrAborted)
	})
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	link := linkOf(t.from, request.URL.Host)
	if err := t.network.filter.wait(link, request.Context().Done()); err != nil {
		return nil, request.Context().Err()
	}
	t.network.mu.Lock()
	handler, ok := t.network.handlers[request.URL.Host]
	t.network.mu.Unlock()
	if !ok {
		return nil, ErrRefused
	}
	if trace := httptrace.ContextClientTrace(request.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	return t.exchange(handler, request, link)
}

func (t *transport) exchange(handler http.Handler, request *http.Request, link Link) (*http.Response, error) {
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	open := &exchange{link: link, cancel: cancel, body: writer, ended: make(chan struct{})}
	t.network.mu.Lock()
	t.network.exchanges[open] = struct{}{}
	t.network.mu.Unlock()
	stop := context.AfterFunc(request.Context(), open.abort)
	response := &responseWriter{header: http.Header{}, exchange: open, filter: t.network.filter, started: make(chan struct{})}
	go func() {
		defer t.network.remove(open)
		defer stop()
		serve(handler, response, serverSide(ctx, request))
	}()
	select {
	case <-response.started:
	case <-open.ended:
		if request.Context().Err() != nil {
			return nil, request.Context().Err()
		}
		return nil, ErrAborted
	}
	if err := t.network.filter.wait(Link{link.To, link.From}, open.ended); err != nil {
		return nil, ErrAborted
	}
	return &http.Response{
		StatusCode: response.status, Header: response.sent, Request: request, ContentLength: -1,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: &body{PipeReader: reader, exchange: open},
	}, nil
}

func (n *HTTPNetwork) remove(open *exchange) {
	n.mu.Lock()
	delete(n.exchanges, open)
	n.mu.Unlock()
	open.cancel()
}

// serverSide returns the request as its server receives it.
func serverSide(ctx context.Context, request *http.Request) *http.Request {
	received := request.Clone(ctx)
	received.RequestURI = request.URL.RequestURI()
	if received.Body == nil {
		received.Body = http.NoBody
	}
	return received
}

// serve runs the handler and ends the response, or aborts it if the handler
// panics with http.ErrAbortHandler.
func serve(handler http.Handler, response *responseWriter, request *http.Request) {
	defer func() {
		failure := recover()
		if err, ok := failure.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			response.exchange.abort()
			return
		}
		if failure != nil {
			panic(failure)
		}
		response.WriteHeader(http.StatusOK)
		_ = response.exchange.body.Close()
	}()
	handler.ServeHTTP(response, request)
}

type responseWriter struct {
	header   http.Header
	sent     http.Header
	status   int
	exchange *exchange
	filter   *LinkFilter
	started  chan struct{}
	once     sync.Once
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status, w.sent = status, w.header.Clone()
		close(w.started)
	})
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	link := w.exchange.link
	if err := w.filter.wait(Link{link.To, link.From}, w.exchange.ended); err != nil {
		return 0, err
	}
	return w.exchange.body.Write(data)
}

// FlushError implements the flush of http.ResponseController. A write returns once
// the reader has its bytes, so a flush cannot fail, even if the reader has closed
// the body since then.
func (w *responseWriter) FlushError() error {
	w.WriteHeader(http.StatusOK)
	return nil
}

// body aborts the exchange when its reader closes it.
type body struct {
	*io.PipeReader
	exchange *exchange
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.exchange.abort()
	return b.PipeReader.Close()
}
