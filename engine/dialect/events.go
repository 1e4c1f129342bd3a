package dialect

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/reelrun/reelrun/engine"
)

// eventBody converts an engine's stream into the events that a caller receives.
type eventBody struct {
	stream *engine.Stream
	// next is the offset of the first token that the caller lacks.
	next int
	// release frees what the engines keep of the request: the prefill result, and the stream
	// unless it is complete.
	release func(complete bool)
	// pending is the unread part of the last event.
	pending  bytes.Buffer
	complete bool
}

// Read implements io.Reader. It fails if the stream ends before its last token.
func (b *eventBody) Read(buffer []byte) (int, error) {
	for b.pending.Len() == 0 {
		if b.complete {
			return 0, io.EOF
		}
		if err := b.advance(); err != nil {
			return 0, err
		}
	}
	return b.pending.Read(buffer)
}

// advance reads the next event of the stream: a token that the caller lacks becomes pending, one
// that the caller has is skipped.
func (b *eventBody) advance() error {
	token, _, err := b.stream.Next()
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
		return nil
	case err != nil:
		return err
	case token.Offset < b.next:
		return nil
	}
	event := &sse.Message{ID: sse.ID(strconv.Itoa(token.Offset))}
	event.AppendData(token.Text)
	_, err = event.WriteTo(&b.pending)
	return errors.Wrap(err, "encode event")
}

// Close implements io.Closer. Engines keep prefill results and streams until they are
// cancelled.
func (b *eventBody) Close() error {
	b.stream.Close()
	b.release(b.complete)
	return nil
}
