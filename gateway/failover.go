package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// failoverRetryInterval is the pause after a preparation that has failed.
	failoverRetryInterval = 500 * time.Millisecond
	// maxTimerLateness is how late a timer may fire. If it fires later, the process had no processor, and what the backend
	// has sent meanwhile may not have been read yet.
	maxTimerLateness = 100 * time.Millisecond
)

// ErrUnresponsive is the cause of a call that was ended because its backend was unresponsive and an alternative was ready.
var ErrUnresponsive = errors.New("gateway: backend is unresponsive")

// errNoAlternative means that nothing else can serve a request whose backend is unresponsive.
var errNoAlternative = errors.New("gateway: no alternative to an unresponsive backend")

// failover replaces a call to a backend that is unresponsive for too long. It first prepares the alternative, and ends the call only
// once the alternative is ready: the backend may answer yet, and a call that was ended for an alternative that turns out not to
// exist is lost. What arrives in the meantime interrupts the preparation.
//
// The preparation runs concurrently with the call, and never with the code between pause and resume. A nil failover does nothing.
type failover[Alternative any] struct {
	options failoverOptions[Alternative]
	endCall context.CancelCauseFunc
	timer   *time.Timer

	mu sync.Mutex
	// paused is set while the call is not being waited for, limit is how long its backend may be unresponsive, and due is when it will
	// have been unresponsive for too long.
	paused bool
	limit  time.Duration
	due    time.Time
	// interrupt ends the preparation in progress, and prepared is closed once it has ended; nil if there is none.
	interrupt context.CancelFunc
	prepared  chan struct{}
	// ready is the alternative for which the call was ended; nil before.
	ready *Alternative
}

// failoverOptions configure a failover.
type failoverOptions[Alternative any] struct {
	// prepare returns an alternative, once there is one that can take over at once. It runs in a goroutine of its own.
	prepare func(ctx context.Context) (*Alternative, error)
	// panicked returns the error of a preparation that panicked.
	panicked func(cause any) error
	// discard frees an alternative that is not used. Nil if there is nothing to free.
	discard func(*Alternative)
}

// startFailover returns a context for the call, which ends with ErrUnresponsive once an alternative is ready. The limit is how
// long the backend may be unresponsive. Stop must be called.
func startFailover[Alternative any](ctx context.Context, limit time.Duration, options failoverOptions[Alternative]) (context.Context, *failover[Alternative]) {
	if options.discard == nil {
		options.discard = func(*Alternative) {}
	}
	call, endCall := context.WithCancelCause(ctx)
	f := &failover[Alternative]{options: options, endCall: endCall, limit: limit, due: time.Now().Add(limit)}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = time.AfterFunc(limit, func() { f.replace(ctx) })
	return call, f
}

// replace prepares an alternative and ends the call for it.
func (f *failover[Alternative]) replace(ctx context.Context) {
	preparing, isDue := f.begin(ctx)
	if !isDue {
		return
	}
	alternative, err := f.prepare(preparing)
	f.mu.Lock()
	defer f.mu.Unlock()
	defer close(f.prepared)
	interrupted := preparing.Err() != nil
	f.interrupt()
	f.interrupt = nil
	switch {
	case err != nil && !interrupted:
		f.wait(failoverRetryInterval)
	case err == nil && interrupted:
		f.options.discard(alternative)
	case err == nil:
		f.ready = alternative
		f.endCall(ErrUnresponsive)
	}
}

// prepare prepares an alternative. A panic is the failure of one preparation, and does not end the process.
func (f *failover[Alternative]) prepare(ctx context.Context) (alternative *Alternative, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			alternative, err = nil, f.options.panicked(cause)
		}
	}()
	return f.options.prepare(ctx)
}

// begin returns the context of a preparation, unless something has arrived since the timer was set, or may have without being read.
func (f *failover[Alternative]) begin(ctx context.Context) (context.Context, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lateness := time.Since(f.due)
	if f.paused || f.ready != nil || lateness < 0 {
		return nil, false
	}
	if lateness > maxTimerLateness {
		f.wait(f.limit)
		return nil, false
	}
	preparing, interrupt := context.WithCancel(ctx) //nolint:gosec // replace calls it
	f.interrupt, f.prepared = interrupt, make(chan struct{})
	return preparing, true
}

// pause interrupts the preparation and waits for its end. It is called when something has arrived, or the call has failed.
func (f *failover[Alternative]) pause() {
	if f == nil {
		return
	}
	f.mu.Lock()
	f.paused = true
	f.timer.Stop()
	if f.interrupt != nil {
		f.interrupt()
	}
	prepared := f.prepared
	f.mu.Unlock()
	if prepared != nil {
		<-prepared
	}
}

// resume waits for the backend again, which may be unresponsive for the limit.
func (f *failover[Alternative]) resume(limit time.Duration) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused, f.limit = false, limit
	f.wait(limit)
}

// wait starts a preparation after a time; the lock is held.
func (f *failover[Alternative]) wait(limit time.Duration) {
	f.due = time.Now().Add(limit)
	f.timer.Reset(limit)
}

// take returns the alternative for which the call was ended, or nil. The caller is responsible for it then. No other alternative is
// prepared before resume is called.
func (f *failover[Alternative]) take() *Alternative {
	if f == nil {
		return nil
	}
	f.pause()
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.ready
	f.ready = nil
	return taken
}

// stop ends the call, and frees an alternative that was not taken.
func (f *failover[Alternative]) stop() {
	if f == nil {
		return
	}
	if unused := f.take(); unused != nil {
		f.options.discard(unused)
	}
	f.endCall(nil)
}
