package gateway

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// readAll returns the events of a stream, their identifiers, and how it ended.
func readAll(body io.Reader) (events []string, ids []string, err error) {
	reader := newEventReader(body)
	for {
		next, err := reader.next()
		if err != nil || next == nil {
			return events, ids, err
		}
		events = append(events, string(next.bytes))
		ids = append(ids, next.id)
	}
}

func TestEventsAreUnchanged(t *testing.T) {
	g := NewWithT(t)
	stream := "x-weight-versions: 3\nid: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\n"
	events, ids, err := readAll(iotest.OneByteReader(bytes.NewBufferString(stream)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ids).To(Equal([]string{"1", "2", ""}))
	g.Expect(strings.Join(events, "")).To(Equal(stream))
}

func TestTruncatedEventIsDropped(t *testing.T) {
	g := NewWithT(t)
	events, _, err := readAll(bytes.NewBufferString("id: 1\ndata: a\n\nid: 2\ndat"))
	g.Expect(err).To(MatchError(errTruncatedEvent))
	g.Expect(events).To(HaveLen(1))
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\n\r\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		events, _, err := readAll(bytes.NewReader(stream))
		joined := strings.Join(events, "")
		if !bytes.HasPrefix(stream, []byte(joined)) {
			t.Fatal("bytes were changed")
		}
		if err == nil && joined != string(stream) {
			t.Fatal("bytes were lost without an error")
		}
		if err != nil && !errors.Is(err, errTruncatedEvent) && len(stream) < maxEventBytes {
			t.Fatal(err)
		}
	})
}

// endlessReader never ends, and counts what is read.
type endlessReader struct{ read int }

func (r *endlessReader) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = 'x'
	}
	r.read += len(data)
	return len(data), nil
}

// TestEventWithoutEndTakesLittleMemory guards against engines that send an event without end: a small node must be able to hold one for each of
// some hundred streams.
func TestEventWithoutEndTakesLittleMemory(t *testing.T) {
	const streams, memory = 200, 32 << 20
	g := NewWithT(t)
	stream := &endlessReader{}
	_, _, err := readAll(stream)
	g.Expect(err).To(HaveOccurred())
	g.Expect(stream.read).To(BeNumerically("<=", memory/streams))
}
