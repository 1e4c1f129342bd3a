package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Buffer sizes of the event reader.
const (
	eventBufferBytes = 4 << 10
	maxEventBytes    = 128 << 10
)

// event is one server-sent event, byte for byte, including its closing empty line.
type event struct {
	bytes []byte
	// id is empty if the event has none.
	id string
}

// errTruncatedEvent means that a stream ended inside an event.
var errTruncatedEvent = errors.New("gateway: stream ends inside an event")

// eventReader splits a stream into whole events without changing a byte.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(body io.Reader) *eventReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, eventBufferBytes), maxEventBytes)
	scanner.Split(splitEvents)
	return &eventReader{scanner: scanner}
}

// next returns the next event, or nil at the end of the stream.
func (r *eventReader) next() (*event, error) {
	if !r.scanner.Scan() {
		return nil, r.scanner.Err()
	}
	found := r.scanner.Bytes()
	return &event{bytes: found, id: eventID(found)}, nil
}

// splitEvents is a bufio.SplitFunc that splits after each empty line.
func splitEvents(data []byte, atEOF bool) (advance int, token []byte, err error) {
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if end := bytes.Index(data, []byte(separator)); end >= 0 {
			length := end + len(separator)
			return length, data[:length], nil
		}
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errTruncatedEvent
	}
	return 0, nil, nil
}

// eventID returns the value of the event's id field.
func eventID(lines []byte) string {
	for line := range bytes.Lines(lines) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
