package platformsim

import (
	"net/http"

	"golang.org/x/time/rate"
)

// PathWeights is the prefix of the weight paths, which end in {model}/{version}.
const PathWeights = "/weights/"

const weightChunkBytes = 4 << 10

// Weights serves model weights at a limited rate that all readers share.
type Weights struct {
	limiter *rate.Limiter
	bytes   int
}

// NewWeights returns a weight store in which every model has the given size.
func NewWeights(bytesPerSecond float64, modelBytes int) *Weights {
	return &Weights{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunkBytes), bytes: modelBytes}
}

// ServeHTTP implements http.Handler.
func (s *Weights) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	chunk := make([]byte, weightChunkBytes)
	for remaining := s.bytes; remaining > 0; remaining -= weightChunkBytes {
		if err := s.limiter.WaitN(r.Context(), min(remaining, weightChunkBytes)); err != nil {
			return
		}
		if _, err := w.Write(chunk[:min(remaining, weightChunkBytes)]); err != nil {
			return
		}
	}
}
