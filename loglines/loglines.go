// Package loglines reads the structured log lines of nodes.
package loglines

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// Each calls handle with the JSON of each line of a log, which may be truncated. It skips lines without
// JSON and any text before the JSON of a line. The bytes are only valid during the call. A line longer
// than 1 MiB is an error.
func Each(log io.Reader, handle func(text []byte)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if start := bytes.IndexByte(text, '{'); start >= 0 {
			handle(text[start:])
		}
	}
	return errors.Wrap(scanner.Err(), "read log")
}
