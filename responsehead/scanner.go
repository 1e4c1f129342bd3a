package responsehead

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// statusClassIndex is where the first digit of the status stands in a status line: "HTTP/1.1 200 OK".
const statusClassIndex = len("HTTP/1.1 ")

// Scanner checks the names of the fields in the heads of responses while their bytes are read. The parsed head does not show all of
// them: a line that begins with a blank becomes part of the value before it, and one without a name is dropped. It is safe for
// concurrent use.
type Scanner struct {
	mu sync.Mutex
	// isExpecting is set from Expect to the end of the head.
	isExpecting bool
	// line is the number of the current line, the status line being zero, and column the number of its bytes so far.
	line, column int
	// isInformational is set if the status line is that of an informational response, which another one follows.
	isInformational bool
	// isInValue is set behind the name of a field.
	isInValue bool
	// isEmptyLine is set if the line consists of a carriage return so far.
	isEmptyLine bool
	malformed   bool
}

// Expect begins a new head with the next byte.
func (s *Scanner) Expect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isExpecting, s.malformed, s.line, s.isInformational = true, false, 0, false
	s.beginLine()
}

// Scan checks bytes that have been read.
func (s *Scanner) Scan(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range data {
		if !s.isExpecting {
			return
		}
		s.scanByte(b)
	}
}

// Err returns an error marked by ErrMalformed if the head has a field whose name is no token.
func (s *Scanner) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.malformed {
		return errors.Wrap(ErrMalformed, "name of a field")
	}
	return nil
}

// beginLine begins a line.
func (s *Scanner) beginLine() { s.column, s.isInValue, s.isEmptyLine = 0, false, false }

// scanByte checks the next byte of the head.
func (s *Scanner) scanByte(b byte) {
	switch {
	case b == '\n':
		s.endLine()
		return
	case s.line == 0:
		s.isInformational = s.isInformational || s.column == statusClassIndex && b == '1'
	case !s.isInValue:
		s.scanNameByte(b)
	}
	s.column++
}

// scanNameByte checks a byte of the name of a field, or the colon behind it.
func (s *Scanner) scanNameByte(b byte) {
	switch {
	case b == '\r' && s.column == 0:
		s.isEmptyLine = true
	case b == ':' && s.column > 0 && !s.isEmptyLine:
		s.isInValue = true
	case s.isEmptyLine || !isTokenByte(b):
		s.malformed = true
	}
}

// endLine ends a line. An empty one ends the head.
func (s *Scanner) endLine() {
	isEnd := s.line > 0 && (s.column == 0 || s.isEmptyLine)
	switch {
	case isEnd && s.isInformational:
		s.line, s.isInformational = 0, false
	case isEnd:
		s.isExpecting = false
	default:
		s.malformed = s.malformed || s.line > 0 && !s.isInValue
		s.line++
	}
	s.beginLine()
}
