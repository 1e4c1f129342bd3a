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
	// streamReadBuffer is the size of a stream's read buffer in bytes. It is small because most messages are.
	streamReadBuffer = 512
	// writeTimeout closes a session whose peer does not read.
	writeTimeout = 5 * time.Second
	// suspectAfter is how long after the last response a session is suspect: an established connection may stop
	// delivering permanently, without a reset, while new ones work.
	suspectAfter = 2 * time.Second
	// pingTimeout bounds the wait for the response to a ping. It equals the timeout of an anti-entropy comparison.
	pingTimeout = 300 * time.Millisecond
)

// sessionConfig disables yamux's keep-alive: heartbeats and anti-entropy comparisons replace it.
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
	mux      *muxSession
	openedAt time.Time

	mu   sync.Mutex
	idle []*stream
	// calls counts the calls in progress; usedAt is when the last one began or ended.
	calls  int
	usedAt time.Time
	// lastResponse is when the other node last answered on this session.
	lastResponse time.Time
	// shortest is the shortest time that a call or a ping has taken; zero before the first one.
	shortest time.Duration
}

func newClientSession(conn net.Conn) (*clientSession, error) {
	mux, err := newMuxClient(conn)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &clientSession{mux: mux, openedAt: now, usedAt: now, lastResponse: now}, nil
}

func (s *clientSession) takeStream() (*stream, error) {
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

func (s *clientSession) putStream(returned *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) >= maxIdleStreams {
		_ = returned.Close()
		return
	}
	s.idle = append(s.idle, returned)
}

// beginCall counts a call and returns the function that ends it.
func (s *clientSession) beginCall() func() {
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

// touch updates the time of the last use.
func (s *clientSession) touch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedAt = time.Now()
}

// inUse reports whether a call is in progress.
func (s *clientSession) inUse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls > 0
}

// unusedFor returns for how long the session has had no call.
func (s *clientSession) unusedFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls > 0 {
		return 0
	}
	return time.Since(s.usedAt)
}

// noteResponse records that the other node has answered.
func (s *clientSession) noteResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastResponse = time.Now()
}

// isSuspect reports whether the session must be checked before long contents are sent on it. While calls are in
// progress no check is needed: their timeouts detect a failed connection.
func (s *clientSession) isSuspect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls == 0 && time.Since(s.lastResponse) > suspectAfter
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
			s.noteResponse()
		}
		return err == nil
	case <-timer.C:
		return false
	}
}

// callResult is the result of a call.
type callResult struct {
	response *peerpb.Response
	err      error
}

// call sends a request and waits for its response. When the context ends, the stream is closed and the effect of
// the call is unknown. While yamux opens or writes a stream, it blocks on its connection for up to writeTimeout;
// the call does not wait for that.
func (s *clientSession) call(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	defer s.beginCall()()
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

// callOnStream makes a call on a stream that no other call uses.
func (s *clientSession) callOnStream(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	taken, err := s.takeStream()
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		// Closing a yamux stream does not unblock a read; its deadline does.
		_ = taken.SetDeadline(time.Now())
		_ = taken.Close()
	})
	began := time.Now()
	response, err := exchange(taken, request)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = taken.Close()
		return nil, err
	}
	s.noteResponse()
	s.noteRoundTrip(max(time.Since(began), 1)) // Zero stands for no exchange.
	s.putStream(taken)
	return response, nil
}

func exchange(callStream *stream, request *peerpb.Request) (*peerpb.Response, error) {
	if err := writeMessage(callStream, request); err != nil {
		return nil, err
	}
	response := &peerpb.Response{}
	if err := readMessage(callStream.reader, response); err != nil {
		return nil, err
	}
	return response, nil
}
