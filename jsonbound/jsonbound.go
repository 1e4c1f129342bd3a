// Package jsonbound checks what a JSON document takes to decode before it is decoded. Decoders recurse for nested values, and
// allocate for each object of an array, so that a document of a megabyte can take a hundred times its size.
//
// The checks read the document once, without allocating. They do not validate it.
package jsonbound

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// ErrExceeded means that a document exceeds a limit.
var ErrExceeded = errors.New("jsonbound: limit exceeded")

// Limits bound a document.
type Limits struct {
	// Depth is the number of levels to which arrays and objects may be nested.
	Depth int
	// ObjectBytes is the average size that its objects must have, in bytes of the document, unless there are few.
	ObjectBytes int
}

// fewObjects is the number of objects that any document may have.
const fewObjects = 64

// Check returns ErrExceeded if the document exceeds the limits.
func Check(document []byte, limits Limits) error {
	objects, depth := 0, 0
	maxObjects := fewObjects + len(document)/limits.ObjectBytes
	for at := nextBracket(document, 0); at < len(document); at = nextBracket(document, at+1) {
		switch document[at] {
		case '{':
			objects++
			depth++
		case '[':
			depth++
		default:
			depth--
		}
		if depth > limits.Depth {
			return errors.Wrapf(ErrExceeded, "nested deeper than %d levels", limits.Depth)
		}
		if objects > maxObjects {
			return errors.Wrapf(ErrExceeded, "more than %d objects in %d bytes", maxObjects, len(document))
		}
	}
	return nil
}

// replacement stands in place of a value that is nested too deep. It is no longer than the shortest such value, and of no type that
// a field has which may hold one.
const replacement = '0'

// CutDeep replaces the arrays and objects that are nested deeper than a number of levels by the number zero. It changes the document in
// place, and returns the part that is left. Other values stay as they are.
func CutDeep(document []byte, levels int) []byte {
	depth := 0
	left := document[:0]
	copiedTo := 0
	for at := nextBracket(document, 0); at < len(document); at = nextBracket(document, at+1) {
		isOpening := document[at] == '{' || document[at] == '['
		if isOpening {
			depth++
		}
		if isOpening && depth == levels+1 {
			left = append(append(left, document[copiedTo:at]...), replacement)
			copiedTo = len(document) // What follows is left out, unless the value ends.
		}
		if !isOpening {
			if depth == levels+1 {
				copiedTo = at + 1
			}
			depth--
		}
	}
	return append(left, document[copiedTo:]...)
}

// isOfInterest has an entry for each character: whether it is a quote or a bracket.
var isOfInterest = [256]bool{'"': true, '{': true, '}': true, '[': true, ']': true}

// nextBracket returns the index of the first bracket from an index on that is not within a string, or the length of the document. The
// index is not within a string.
func nextBracket(document []byte, at int) int {
	for at < len(document) {
		switch char := document[at]; {
		case !isOfInterest[char]:
			at++
		case char == '"':
			at = endOfString(document, at+1)
		default:
			return at
		}
	}
	return len(document)
}

// endOfString returns the index after the string whose content begins at an index, or the length of the document.
func endOfString(document []byte, begin int) int {
	for at := begin; at < len(document); {
		quote := bytes.IndexByte(document[at:], '"')
		if quote < 0 {
			break
		}
		at += quote + 1
		content := document[begin : at-1]
		backslashes := len(content) - len(bytes.TrimRight(content, `\`))
		if backslashes%2 == 0 {
			return at
		}
	}
	return len(document)
}
