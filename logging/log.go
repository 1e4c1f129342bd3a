package logging

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Log writes lines in the background.
type Log struct {
	logger  *slog.Logger
	lines   chan []byte
	limiter *limiter
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a log that writes JSON lines.
func New(output io.Writer, options Options) *Log {
	options.setDefaults()
	l := &Log{
		lines: make(chan []byte, options.QueuedLines), stop: make(chan struct{}), done: make(chan struct{}),
		limiter: &limiter{
			rate:     rate.NewLimiter(rate.Limit(options.LinesPerSecond), options.Burst),
			interval: options.ReportInterval, dropped: map[string]int{},
		},
	}
	l.logger = slog.New(&handler{slog.NewJSONHandler(queueWriter{l}, nil), l.limiter})
	go l.run(output)
	return l
}

// Logger returns the logger that writes to the log.
func (l *Log) Logger() *slog.Logger { return l.logger }

// queueWriter hands each line to the background.
type queueWriter struct{ log *Log }

// Write implements io.Writer. The handler writes one whole line at a time.
func (w queueWriter) Write(line []byte) (int, error) {
	select {
	case w.log.lines <- bytes.Clone(line):
	default:
		w.log.limiter.drop("reader too slow")
	}
	return len(line), nil
}

func (l *Log) run(output io.Writer) {
	defer close(l.done)
	for {
		select {
		case line := <-l.lines:
			_, _ = output.Write(line) // Nobody could be told.
		case <-l.stop:
			l.flush(output)
			return
		}
	}
}

// flush writes what is queued.
func (l *Log) flush(output io.Writer) {
	for {
		select {
		case line := <-l.lines:
			_, _ = output.Write(line)
		default:
			return
		}
	}
}

// Close writes what is queued, unless the reader has stopped reading: then it
// gives up after the given time.
func (l *Log) Close(longest time.Duration) {
	l.once.Do(func() { close(l.stop) })
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	}
}
