package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a latency histogram in microseconds: 1 µs to 10 minutes, at two
// significant figures.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = 600_000_000
	significantFigures  = 2
)

// Set holds the metrics of one node. It is safe for concurrent use. A Set is an
// expvar.Var, so a process that runs several nodes can publish the metrics of
// each node separately.
type Set struct {
	counters *expvar.Map

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{counters: new(expvar.Map).Init(), histograms: map[string]*hdrhistogram.Histogram{}}
}

// Add adds delta to the named counter.
func (s *Set) Add(name string, delta int64) { s.counters.Add(name, delta) }

// Gauge registers a function that returns the value of a gauge. It is called each time the set is read.
func (s *Set) Gauge(name string, read func() float64) {
	s.counters.Set(name, expvar.Func(func() any { return read() }))
}

// Count returns the value of the named counter.
func (s *Set) Count(name string) int64 {
	value, ok := s.counters.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}

// Observe records a duration in the named histogram.
func (s *Set) Observe(name string, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	histogram, ok := s.histograms[name]
	if !ok {
		histogram = hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantFigures)
		s.histograms[name] = histogram
	}
	value := min(max(duration.Microseconds(), lowestMicroseconds), highestMicroseconds)
	_ = histogram.RecordValue(value) // Fails only for values outside of the bounds.
}

// Quantiles is the published form of a histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

const microsecondsPerMillisecond = 1000.0

// Quantiles returns the quantiles of every histogram.
func (s *Set) Quantiles() map[string]Quantiles {
	s.mu.Lock()
	defer s.mu.Unlock()
	quantiles := make(map[string]Quantiles, len(s.histograms))
	for name, histogram := range s.histograms {
		percentile := func(percent float64) float64 {
			return float64(histogram.ValueAtQuantile(percent)) / microsecondsPerMillisecond
		}
		quantiles[name] = Quantiles{histogram.TotalCount(), percentile(50), percentile(95), percentile(99), percentile(100)}
	}
	return quantiles
}

// String implements expvar.Var.
func (s *Set) String() string {
	latencies, err := json.Marshal(s.Quantiles())
	if err != nil {
		return "{}"
	}
	return `{"counters":` + s.counters.String() + `,"latency":` + string(latencies) + `}`
}
