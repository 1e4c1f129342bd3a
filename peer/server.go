package peer

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/timeline"
)

// Handler answers a call. An error is sent as a Failure.
type Handler func(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error)

// maxStreamsPerSession bounds the concurrent calls of one peer.
const maxStreamsPerSession = 1024

// Server answers the calls of other nodes.
type Server struct {
	handler Handler
	clock   *timeline.Clock
	// openTunnel connects to backends for other nodes; nil if tunnels are rejected.
	openTunnel TunnelFunc

	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	sessions map[*muxSession]struct{}
	done     sync.WaitGroup
}

// NewServer returns a server that answers calls with handler.
func NewServer(handler Handler, clock *timeline.Clock) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{handler: handler, clock: clock, ctx: ctx, cancel: cancel, sessions: map[*muxSession]struct{}{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		if !s.beginConn() {
			_ = conn.Close()
			return net.ErrClosed
		}
		go func() {
			defer s.done.Done()
			s.serveConn(conn)
		}()
	}
}

// beginConn counts a new connection unless the server is closed: none may be
// added while Close waits.
func (s *Server) beginConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.done.Add(1)
	return true
}

func (s *Server) serveConn(conn net.Conn) {
	mux, err := newMuxServer(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	if !s.track(mux) {
		_ = mux.Close()
		return
	}
	defer s.untrack(mux)
	slots := make(chan struct{}, maxStreamsPerSession)
	for {
		accepted, err := mux.AcceptStream()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = accepted.Close()
			continue
		}
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			defer func() { <-slots }()
			s.serveStream(newStream(accepted))
		}()
	}
}

func (s *Server) track(mux *muxSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.sessions[mux] = struct{}{}
	return true
}

func (s *Server) untrack(mux *muxSession) {
	s.mu.Lock()
	delete(s.sessions, mux)
	s.mu.Unlock()
	_ = mux.Close()
}

func (s *Server) serveStream(callStream *stream) {
	defer func() { _ = callStream.Close() }()
	for {
		request := &peerpb.Request{}
		if err := readMessage(callStream.reader, request); err != nil {
			return
		}
		if request.GetOpenTunnel() != nil && s.openTunnel != nil {
			s.serveTunnel(callStream, request)
			return
		}
		if err := writeMessage(callStream, s.answer(request)); err != nil {
			return
		}
	}
}

func (s *Server) answer(request *peerpb.Request) *peerpb.Response {
	s.clock.Observe(timeline.Stamp(request.GetStamp()))
	response, err := s.handler(s.ctx, request)
	if err != nil {
		response = &peerpb.Response{Failure: FailureOf(err, api.OutcomeUnknown)}
	}
	response.Stamp = uint64(s.clock.Now())
	return response
}

// Close closes all sessions and waits for the calls in progress.
func (s *Server) Close() {
	s.mu.Lock()
	s.cancel()
	for mux := range s.sessions {
		_ = mux.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// ErrUnknownCall is the response to a request with an unknown body.
var ErrUnknownCall = api.NewError(http.StatusBadRequest, api.CodeInvalidRequest, api.OutcomeNotRun, "unknown call")
