package peer

import (
	"bufio"
	"context"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/reelrun/reelrun/peer/peerpb"
)

const (
	// maxIdleStreams bounds the streams kept for reuse on one session.
	maxIdleStreams = 16
	// streamReadBuffer is small, because most messages are.
	streamReadBuffer = 512
	// writeTimeout ends a session whose peer does not read.
	writeTimeout = 5 * time.Second
	// doubtfulAfter is how long a session may be unheard before it is doubtful: established connections may fall
	// silent for good, without a reset, while new ones work.
	doubtfulAfter = 2 * time.Second
	// pingTimeout is how long a node may take to answer a ping, which is as short as a comparison of copies.
	pingTimeout = 300 * time.Millisecond
)

// sessionConfig turns yamux's own keep-alive off: heartbeats take its place.
func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.LogOutput = nil
	config.Logger = log.New(io.Discard, "", 0)
	return config
}

// stream is one yamux stream with its read buffer.
type stream struct {
	net.Conn
	reader *bufio.Reader
}

func newStream(conn net.Conn) *stream {
	return &stream{Conn: conn, reader: bufio.NewReaderSize(conn, streamReadBuffer)}
}

// clientSession is a connection to another node.
type clientSession struct {
	mux      *yamux.Session
	openedAt time.Time

	mu   sync.Mutex
	idle []*stream
	// calls counts those under way, usedAt is when the last one began or ended.
	calls  int
	usedAt time.Time
	// heardAt is when the other node was last heard on this session.
	heardAt time.Time
}

func newClientSession(conn net.Conn) (*clientSession, error) {
	mux, err := yamux.Client(newFrameConn(conn), sessionConfig())
	if err != nil {
		return nil, errors.Wrap(err, "open session")
	}
	now := time.Now()
	return &clientSession{mux: mux, openedAt: now, usedAt: now, heardAt: now}, nil
}

func (s *clientSession) take() (*stream, error) {
	s.mu.Lock()
	if last := len(s.idle) - 1; last >= 0 {
		taken := s.idle[last]
		s.idle = s.idle[:last]
		s.mu.Unlock()
		return taken, nil
	}
	s.mu.Unlock()
	opened, err := s.mux.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	return newStream(opened), nil
}

func (s *clientSession) put(returned *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) >= maxIdleStreams {
		_ = returned.Close()
		return
	}
	s.idle = append(s.idle, returned)
}

// begin counts a call; the function that it returns ends it.
func (s *clientSession) begin() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.usedAt = time.Now()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls--
		s.usedAt = time.Now()
	}
}

// touch counts as a use.
func (s *clientSession) touch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedAt = time.Now()
}

// inUse reports whether a call is under way.
func (s *clientSession) inUse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls > 0
}

// unusedFor returns how long no call has used the session.
func (s *clientSession) unusedFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls > 0 {
		return 0
	}
	return time.Since(s.usedAt)
}

// heard notes that the other node has answered.
func (s *clientSession) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = time.Now()
}

// isDoubtful reports whether it has to be shown that the session still carries anything before long contents are
// sent on it. While calls are under way their own timeouts decide.
func (s *clientSession) isDoubtful() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls == 0 && time.Since(s.heardAt) > doubtfulAfter
}

// answersPing reports whether the other node answers a ping in time.
func (s *clientSession) answersPing() bool {
	answered := make(chan error, 1)
	go func() {
		_, err := s.mux.Ping()
		answered <- err
	}()
	timer := time.NewTimer(pingTimeout)
	defer timer.Stop()
	select {
	case err := <-answered:
		if err == nil {
			s.heard()
		}
		return err == nil
	case <-timer.C:
		return false
	}
}

// callResult is what a call ended with.
type callResult struct {
	response *peerpb.Response
	err      error
}

// call sends a request and waits for its response. When the context ends, the
// stream is closed, and the effect of the call is unknown. yamux waits for its
// connection by itself while it opens or writes a stream, up to writeTimeout; the
// call does not.
func (s *clientSession) call(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	defer s.begin()()
	results := make(chan callResult, 1)
	go func() {
		response, err := s.callOnStream(ctx, request)
		results <- callResult{response, err}
	}()
	select {
	case result := <-results:
		return result.response, result.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// callOnStream makes a call on a stream of its own.
func (s *clientSession) callOnStream(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	taken, err := s.take()
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		// Closing a yamux stream does not end a read; its deadline does.
		_ = taken.SetDeadline(time.Now())
		_ = taken.Close()
	})
	response, err := exchange(taken, request)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = taken.Close()
		return nil, err
	}
	s.heard()
	s.put(taken)
	return response, nil
}

func exchange(on *stream, request *peerpb.Request) (*peerpb.Response, error) {
	if err := writeMessage(on, request); err != nil {
		return nil, err
	}
	response := &peerpb.Response{}
	if err := readMessage(on.reader, response); err != nil {
		return nil, err
	}
	return response, nil
}
