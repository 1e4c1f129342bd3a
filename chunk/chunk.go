package chunk

import (
	"bytes"
	"crypto/sha256"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/restic/chunker"
)

const (
	// MaxBytes bounds one chunk. A chunk of this size takes 26 ms on a link of 10 Mbit/s, the slowest
	// that is supported, while nodes wait 300 ms for each other's responses.
	MaxBytes = 32 << 10
	// minBytes keeps the size of chunk IDs small in proportion to the chunks.
	minBytes = 4 << 10
	// averageBits sets the mean length of a chunk beyond minBytes: 8 KiB. A changed route of 200
	// bytes changes one or two chunks.
	averageBits = 13
)

// polynomial determines the chunk boundaries. All nodes must use the same one; it is
// irreducible and was drawn at random.
const polynomial = chunker.Pol(0x3DA3358B4DC173)

// ID identifies a chunk by the first half of the SHA-256 digest of its content.
type ID [sha256.Size / 2]byte

// IDOf returns the ID of a content.
func IDOf(content []byte) ID {
	digest := sha256.Sum256(content)
	return ID(digest[:len(ID{})])
}

// Reference identifies a chunk of a content and gives its length in bytes.
type Reference struct {
	ID     ID
	Length int
}

// Manifest lists the chunks of a content in order.
type Manifest []Reference

// Bytes returns the length of the whole content.
func (m Manifest) Bytes() int {
	total := 0
	for _, reference := range m {
		total += reference.Length
	}
	return total
}

// Split returns the manifest of a content.
func Split(content []byte) Manifest {
	splitter := chunker.NewWithBoundaries(bytes.NewReader(content), polynomial, minBytes, MaxBytes)
	splitter.SetAverageBits(averageBits)
	var manifest Manifest
	buffer := make([]byte, 0, MaxBytes)
	start := 0
	for {
		next, err := splitter.Next(buffer)
		if errors.Is(err, io.EOF) {
			return manifest
		}
		if err != nil {
			// Reading from memory cannot fail otherwise.
			panic(err)
		}
		end := start + int(next.Length)
		manifest = append(manifest, Reference{ID: IDOf(content[start:end]), Length: end - start})
		start = end
	}
}

// Contents returns the content of each chunk, given the whole content.
func (m Manifest) Contents(content []byte) map[ID][]byte {
	contents := make(map[ID][]byte, len(m))
	start := 0
	for _, reference := range m {
		contents[reference.ID] = content[start : start+reference.Length]
		start += reference.Length
	}
	return contents
}

// ErrIncomplete is returned if a chunk of a content is missing.
var ErrIncomplete = errors.New("chunk: content is incomplete")

// Join reassembles the content of a manifest from its chunks.
func (m Manifest) Join(contents map[ID][]byte) ([]byte, error) {
	joined := make([]byte, 0, m.Bytes())
	for _, reference := range m {
		content, found := contents[reference.ID]
		if !found {
			return nil, ErrIncomplete
		}
		joined = append(joined, content...)
	}
	return joined, nil
}
