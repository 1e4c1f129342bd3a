package fault

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Path is where faults are set and read.
const Path = "/faults"

// Faults are the faults in force. Counts fall by one with each use.
type Faults struct {
	// PathPrefix limits the faults to requests below it.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Outage answers every request with 503.
	Outage bool `json:"outage,omitempty"`
	// Freeze holds every request until it is cleared.
	Freeze bool `json:"freeze,omitempty"`
	// DelayMillis holds each request for this long.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Drops is the number of requests to cut off before they run.
	Drops int `json:"drops,omitempty"`
	// LostReplies is the number of requests to run and then cut off.
	LostReplies int `json:"lost_replies,omitempty"`
	// Cuts is the number of replies to cut after CutAfterBytes.
	Cuts          int `json:"cuts,omitempty"`
	CutAfterBytes int `json:"cut_after_bytes,omitempty"`
}

// Injector applies faults to a handler. It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	counts  map[string]int
}

// NewInjector returns an injector without faults.
func NewInjector() *Injector {
	return &Injector{changed: make(chan struct{}), counts: map[string]int{}}
}

// Set replaces the faults in force.
func (i *Injector) Set(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
	close(i.changed)
	i.changed = make(chan struct{})
}

// Counts returns the number of faults injected, by kind.
func (i *Injector) Counts() map[string]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	counts := make(map[string]int, len(i.counts))
	for kind, count := range i.counts {
		counts[kind] = count
	}
	return counts
}

// action is what happens to one request.
type action struct {
	outage, drop, lose bool
	delay              time.Duration
	cutAfter           int
}

// next waits out a freeze and decides what happens to one request.
func (i *Injector) next(ctx context.Context, path string) (action, error) {
	for {
		i.mu.Lock()
		if !strings.HasPrefix(path, i.faults.PathPrefix) {
			i.mu.Unlock()
			return action{cutAfter: -1}, nil
		}
		if !i.faults.Freeze {
			decided := i.decide()
			i.mu.Unlock()
			return decided, nil
		}
		i.counts["freeze"]++
		changed := i.changed
		i.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return action{}, ctx.Err()
		}
	}
}

func (i *Injector) decide() action {
	decided := action{
		outage:   i.faults.Outage,
		delay:    time.Duration(i.faults.DelayMillis) * time.Millisecond,
		cutAfter: -1,
	}
	if decided.outage {
		i.counts["outage"]++
		return decided
	}
	if decided.delay > 0 {
		i.counts["delay"]++
	}
	decided.drop = i.use("drop", &i.faults.Drops)
	if decided.drop {
		return decided
	}
	decided.lose = i.use("lost_reply", &i.faults.LostReplies)
	if decided.lose {
		return decided
	}
	if i.use("cut", &i.faults.Cuts) {
		decided.cutAfter = i.faults.CutAfterBytes
	}
	return decided
}

func (i *Injector) use(kind string, count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	i.counts[kind]++
	return true
}

// Wrap returns a handler that applies the faults and serves Path itself.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			i.serveFaults(w, r)
			return
		}
		decided, err := i.next(r.Context(), r.URL.Path)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		i.apply(decided, next, w, r)
	})
}

func (i *Injector) apply(decided action, next http.Handler, w http.ResponseWriter, r *http.Request) {
	if decided.delay > 0 {
		timer := time.NewTimer(decided.delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	switch {
	case decided.outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case decided.drop:
		panic(http.ErrAbortHandler)
	case decided.lose:
		next.ServeHTTP(discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	case decided.cutAfter >= 0:
		next.ServeHTTP(&cutting{ResponseWriter: w, left: decided.cutAfter}, r)
	default:
		next.ServeHTTP(w, r)
	}
}

func (i *Injector) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.Set(faults)
	}
	_ = json.NewEncoder(w).Encode(i.Counts())
}

// discard loses a reply.
type discard struct{ header http.Header }

func (d discard) Header() http.Header            { return d.header }
func (d discard) Write(data []byte) (int, error) { return len(data), nil }
func (d discard) WriteHeader(int)                {}
func (d discard) FlushError() error              { return nil }

// cutting aborts the connection after a number of bytes.
type cutting struct {
	http.ResponseWriter
	left int
}

// Write implements http.ResponseWriter.
func (c *cutting) Write(data []byte) (int, error) {
	if len(data) <= c.left {
		c.left -= len(data)
		return c.ResponseWriter.Write(data)
	}
	_, _ = c.ResponseWriter.Write(data[:c.left])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// Unwrap lets http.ResponseController reach the connection.
func (c *cutting) Unwrap() http.ResponseWriter { return c.ResponseWriter }
