package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Options bound a log.
type Options struct {
	// LinesPerSecond is the rate beyond which lines are dropped. Default 100.
	LinesPerSecond float64
	// Burst is how many lines may come at once. Default 400.
	Burst int
	// QueuedLines is how many lines wait for a reader that is slow. Default 1024.
	QueuedLines int
	// ReportInterval is the least time between two lines that tell of dropped ones.
	// Default 1s.
	ReportInterval time.Duration
}

const (
	defaultLinesPerSecond = 100
	defaultBurst          = 400
	defaultQueuedLines    = 1024
	defaultReportInterval = time.Second
	// messageDropped is the message of the lines that tell of dropped ones.
	messageDropped = "lines dropped"
)

func (o *Options) setDefaults() {
	if o.LinesPerSecond == 0 {
		o.LinesPerSecond = defaultLinesPerSecond
	}
	if o.Burst == 0 {
		o.Burst = defaultBurst
	}
	if o.QueuedLines == 0 {
		o.QueuedLines = defaultQueuedLines
	}
	if o.ReportInterval == 0 {
		o.ReportInterval = defaultReportInterval
	}
}

// limiter counts what it drops. It is shared by all handlers of one log.
type limiter struct {
	rate     *rate.Limiter
	interval time.Duration

	mu       sync.Mutex
	dropped  map[string]int
	reported time.Time
}

// allow reports whether a line may be written.
func (l *limiter) allow(message string) bool {
	if l.rate.Allow() {
		return true
	}
	l.drop(message)
	return false
}

func (l *limiter) drop(message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[message]++
}

// due returns what was dropped since the last report, if one is due.
func (l *limiter) due(now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.dropped) == 0 || now.Sub(l.reported) < l.interval {
		return nil
	}
	dropped := l.dropped
	l.dropped, l.reported = map[string]int{}, now
	return dropped
}

// handler is a slog.Handler that drops lines beyond the rate.
type handler struct {
	slog.Handler
	limiter *limiter
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if dropped := h.limiter.due(record.Time); dropped != nil {
		report := slog.NewRecord(record.Time, slog.LevelWarn, messageDropped, 0)
		for message, count := range dropped {
			report.AddAttrs(slog.Int(message, count))
		}
		if err := h.Handler.Handle(ctx, report); err != nil {
			return err
		}
	}
	if !h.limiter.allow(record.Message) {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &handler{h.Handler.WithAttrs(attributes), h.limiter}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.limiter}
}
