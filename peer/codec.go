package peer

import (
	"bytes"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes bounds one message. It leaves space for the envelope around
// one part of the configuration, the platform's largest value.
const MaxMessageBytes = (1 << 20) + (64 << 10)

// ErrMessageTooLarge is returned for a message larger than MaxMessageBytes.
var ErrMessageTooLarge = errors.New("peer: message too large")

func writeMessage(w io.Writer, message proto.Message) error {
	if proto.Size(message) > MaxMessageBytes {
		return ErrMessageTooLarge
	}
	// A single write makes a single frame; protodelim would write the length
	// separately.
	var encoded bytes.Buffer
	if _, err := protodelim.MarshalTo(&encoded, message); err != nil {
		return errors.Wrap(err, "encode message")
	}
	_, err := w.Write(encoded.Bytes())
	return errors.Wrap(err, "write message")
}

func readMessage(r protodelim.Reader, message proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(r, message)
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) {
		return ErrMessageTooLarge
	}
	return err
}

// Millis converts a duration in a message from milliseconds.
func Millis(value int64) time.Duration { return time.Duration(value) * time.Millisecond }
