package chunk

import (
	"bytes"
	"crypto/sha256"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/restic/chunker"
)

const (
	// MaxBytes bounds one chunk. It takes 26 ms of a link of 10 Mbit/s, the narrowest on the
	// sites' sheets, while nodes wait 300 ms for each other's answer.
	MaxBytes = 32 << 10
	// minBytes keeps chunks from becoming so small that their names weigh.
	minBytes = 4 << 10
	// averageBits gives the mean length of a chunk beyond the shortest: 8 KiB. A changed route
	// of 200 bytes changes one or two chunks.
	averageBits = 13
)

// polynomial decides where chunks end. Every node uses the same one; it is irreducible and was
// drawn by chance.
const polynomial = chunker.Pol(0x3DA3358B4DC173)

// ID names a chunk by the first half of the SHA-256 of its content.
type ID [sha256.Size / 2]byte

// IDOf returns the name of a content.
func IDOf(content []byte) ID {
	digest := sha256.Sum256(content)
	return ID(digest[:len(ID{})])
}

// Reference names a chunk of a content, with its length in bytes.
type Reference struct {
	ID     ID
	Length int
}

// Manifest lists the chunks of a content in their order.
type Manifest []Reference

// Bytes returns the length of the content.
func (m Manifest) Bytes() int {
	total := 0
	for _, reference := range m {
		total += reference.Length
	}
	return total
}

// Split returns the chunks of a content.
func Split(content []byte) Manifest {
	divider := chunker.NewWithBoundaries(bytes.NewReader(content), polynomial, minBytes, MaxBytes)
	divider.SetAverageBits(averageBits)
	var manifest Manifest
	buffer := make([]byte, 0, MaxBytes)
	start := 0
	for {
		divided, err := divider.Next(buffer)
		if errors.Is(err, io.EOF) {
			return manifest
		}
		if err != nil {
			// A reader of bytes in memory has no other error.
			panic(err)
		}
		end := start + int(divided.Length)
		manifest = append(manifest, Reference{ID: IDOf(content[start:end]), Length: end - start})
		start = end
	}
}

// Contents returns the content of each chunk of a whole content.
func (m Manifest) Contents(content []byte) map[ID][]byte {
	contents := make(map[ID][]byte, len(m))
	start := 0
	for _, reference := range m {
		contents[reference.ID] = content[start : start+reference.Length]
		start += reference.Length
	}
	return contents
}

// ErrIncomplete means that a chunk of a content is missing.
var ErrIncomplete = errors.New("chunk: content is incomplete")

// Join returns the whole content of a manifest.
func (m Manifest) Join(contents map[ID][]byte) ([]byte, error) {
	whole := make([]byte, 0, m.Bytes())
	for _, reference := range m {
		part, found := contents[reference.ID]
		if !found {
			return nil, ErrIncomplete
		}
		whole = append(whole, part...)
	}
	return whole, nil
}
