package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Options configures the limits of a Log.
type Options struct {
	// LinesPerSecond is the rate beyond which lines are dropped. Default 100.
	LinesPerSecond float64
	// Burst is how many lines may be written at once, beyond the rate. Default 400.
	Burst int
	// QueuedLines bounds the lines that are queued for a slow output. Default 1024.
	QueuedLines int
	// ReportInterval is the minimum time between two reports of dropped lines.
	// Default 1s.
	ReportInterval time.Duration
}

const (
	defaultLinesPerSecond = 100
	defaultBurst          = 400
	defaultQueuedLines    = 1024
	defaultReportInterval = time.Second
	// messageDropped is the message of a report of dropped lines.
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

// limiter limits the rate of lines and counts the dropped ones. It is shared by all
// handlers of one log.
type limiter struct {
	rate           *rate.Limiter
	reportInterval time.Duration

	mu         sync.Mutex
	dropped    map[string]int // By message.
	reportedAt time.Time
}

// allow reports whether a line may be written, and counts it if not.
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

// takeReport returns and resets the counts of dropped lines, by message, if a report
// is due; otherwise it returns nil.
func (l *limiter) takeReport(now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.dropped) == 0 || now.Sub(l.reportedAt) < l.reportInterval {
		return nil
	}
	dropped := l.dropped
	l.dropped, l.reportedAt = map[string]int{}, now
	return dropped
}

// handler is a slog.Handler that drops lines beyond the rate and reports how many.
type handler struct {
	slog.Handler
	limiter *limiter
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if dropped := h.limiter.takeReport(record.Time); dropped != nil {
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
