package chunk_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/chunk"
)

// TestJoinRestoresSplitContent draws contents with alphabets of different sizes, so that some
// repeat themselves.
func TestJoinRestoresSplitContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		alphabet := rapid.IntRange(1, 256).Draw(t, "alphabet")
		content := randomContent(seed, rapid.IntRange(0, 200_000).Draw(t, "length"), alphabet)
		manifest := chunk.Split(content)
		if manifest.Bytes() != len(content) {
			t.Fatalf("chunks of %d bytes, content of %d", manifest.Bytes(), len(content))
		}
		for _, reference := range manifest {
			if reference.Length == 0 || reference.Length > chunk.MaxBytes {
				t.Fatalf("chunk of %d bytes", reference.Length)
			}
		}
		joined, err := manifest.Join(manifest.Contents(content))
		if err != nil || !bytes.Equal(joined, content) {
			t.Fatalf("joined content differs: %v", err)
		}
	})
}

func randomContent(seed uint64, length, alphabet int) []byte {
	random := rand.New(rand.NewPCG(seed, seed))
	content := make([]byte, length)
	for i := range content {
		content[i] = byte(random.IntN(alphabet))
	}
	return content
}

// TestSmallChangeChangesFewChunks inserts or removes 200 bytes, the length of a route,
// anywhere in a configuration of 2 MB.
func TestSmallChangeChangesFewChunks(t *testing.T) {
	const (
		length = 2 << 20
		change = 200
		// maxChanged counts the chunk that contains the change and its neighbours.
		maxChanged = 4
	)
	g := NewWithT(t)
	content := randomContent(1, length, 64)
	before := chunk.Split(content).Contents(content)
	random := rand.New(rand.NewPCG(2, 2))
	for i := range 30 {
		at := random.IntN(length - change)
		inserted := append(append(bytes.Clone(content[:at]), randomContent(uint64(i), change, 64)...), content[at:]...)
		removed := append(bytes.Clone(content[:at]), content[at+change:]...)
		for name, changed := range map[string][]byte{"inserted": inserted, "removed": removed} {
			differing := 0
			for _, reference := range chunk.Split(changed) {
				if _, known := before[reference.ID]; !known {
					differing++
				}
			}
			g.Expect(differing).To(BeNumerically("<=", maxChanged), "%s at %d", name, at)
		}
	}
}

func TestMissingChunkIsAnError(t *testing.T) {
	g := NewWithT(t)
	content := randomContent(3, 100_000, 256)
	manifest := chunk.Split(content)
	contents := manifest.Contents(content)
	delete(contents, manifest[1].ID)
	_, err := manifest.Join(contents)
	g.Expect(err).To(MatchError(chunk.ErrIncomplete))
}

// BenchmarkSplit measures the cost on the node that receives a configuration first.
func BenchmarkSplit(b *testing.B) {
	const bytesPerRoute = 190
	for _, routes := range []int{1_400, 5_000, 14_000, 20_000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			content := randomContent(1, routes*bytesPerRoute, 64)
			b.SetBytes(int64(len(content)))
			for b.Loop() {
				chunk.Split(content)
			}
		})
	}
}
