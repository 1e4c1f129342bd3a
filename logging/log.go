package logging

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Log writes lines to its output in a background goroutine.
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
			rate:           rate.NewLimiter(rate.Limit(options.LinesPerSecond), options.Burst),
			reportInterval: options.ReportInterval, dropped: map[string]int{},
		},
	}
	l.logger = slog.New(&handler{slog.NewJSONHandler(queueWriter{l}, nil), l.limiter})
	go l.run(output)
	return l
}

// Logger returns the logger that writes to the log.
func (l *Log) Logger() *slog.Logger { return l.logger }

// queueWriter queues each line for the background goroutine.
type queueWriter struct{ log *Log }

// Write implements io.Writer. The handler passes one complete line per call.
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
			_, _ = output.Write(line) // There is no other output to report an error to.
		case <-l.stop:
			l.flush(output)
			return
		}
	}
}

// flush writes the queued lines.
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

// Close writes the queued lines. If the output blocks, it gives up after the
// timeout.
func (l *Log) Close(timeout time.Duration) {
	l.once.Do(func() { close(l.stop) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	}
}
