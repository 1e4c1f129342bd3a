package engine

import (
	"encoding/json"
	"io"
	"iter"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/reelrun/reelrun/api"
)

// ErrAttemptMismatch is returned when a stream carries another request's token.
var ErrAttemptMismatch = errors.New("engine: token of another request")

// ErrGap is returned when tokens are missing from a stream. Resume fills the gap.
var ErrGap = errors.New("engine: gap in stream")

// ErrBroken is returned when a stream ends without a Done event. The engine may
// still hold the stream.
var ErrBroken = errors.New("engine: stream broken")

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 64 << 10

// Stream reads the tokens of one attempt in order, each exactly once.
type Stream struct {
	attempt Attempt
	// next is the offset of the expected token.
	next int
	body io.Closer
	pull func() (sse.Event, error, bool)
	stop func()
}

func newStream(body io.ReadCloser, attempt Attempt, offset int) *Stream {
	events := sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	pull, stop := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &Stream{attempt: attempt, next: offset, body: body, pull: pull, stop: stop}
}

// Offset returns the number of tokens read or skipped so far.
func (s *Stream) Offset() int { return s.next }

// Next returns the next token, or the Done event with io.EOF as the error. Tokens
// before the expected offset are dropped.
func (s *Stream) Next() (Token, Done, error) {
	for {
		event, err, ok := s.pull()
		if !ok || err != nil {
			return Token{}, Done{}, errors.CombineErrors(ErrBroken, err)
		}
		switch event.Type {
		case EventToken:
			token, fresh, err := s.accept(event.Data)
			if err != nil || fresh {
				return token, Done{}, err
			}
		case EventDone:
			return s.finish(event.Data)
		case EventError:
			return Token{}, Done{}, streamError(event.Data)
		}
	}
}

func (s *Stream) accept(data string) (Token, bool, error) {
	var token Token
	if err := json.Unmarshal([]byte(data), &token); err != nil {
		return Token{}, false, errors.CombineErrors(ErrBroken, err)
	}
	switch {
	case token.Attempt != s.attempt:
		return Token{}, false, ErrAttemptMismatch
	case token.Offset < s.next:
		return Token{}, false, nil
	case token.Offset > s.next:
		return Token{}, false, ErrGap
	}
	s.next++
	return token, true, nil
}

func (s *Stream) finish(data string) (Token, Done, error) {
	var done Done
	if err := json.Unmarshal([]byte(data), &done); err != nil {
		return Token{}, Done{}, errors.CombineErrors(ErrBroken, err)
	}
	if done.Attempt != s.attempt {
		return Token{}, Done{}, ErrAttemptMismatch
	}
	if done.Tokens != s.next {
		return Token{}, Done{}, ErrGap
	}
	return Token{}, done, io.EOF
}

func streamError(data string) error {
	apiErr := &api.Error{Status: http.StatusBadGateway}
	if err := json.Unmarshal([]byte(data), apiErr); err != nil {
		return errors.CombineErrors(ErrBroken, err)
	}
	return apiErr
}

// Close ends the connection. The engine keeps the stream until it is cancelled.
func (s *Stream) Close() {
	_ = s.body.Close()
	s.stop()
}
