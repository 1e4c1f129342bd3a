package fault

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Path is the HTTP path where faults are set and their counts are read.
const Path = "/faults"

// Faults are the active faults. Aborts, DropResponses and Cuts are decremented with each
// injection.
type Faults struct {
	// PathPrefix limits the faults to requests whose path starts with it.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Outage answers every request with status 503.
	Outage bool `json:"outage,omitempty"`
	// Freeze blocks every request until Freeze is cleared.
	Freeze bool `json:"freeze,omitempty"`
	// DelayMillis delays each request by this time.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Aborts is the number of requests whose connection is aborted before they run.
	Aborts int `json:"drops,omitempty"`
	// DropResponses is the number of requests that run, but whose response is dropped and
	// whose connection is then aborted.
	DropResponses int `json:"lost_replies,omitempty"`
	// Cuts is the number of responses whose connection is aborted after CutAfterBytes.
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

// Set replaces the active faults and re-evaluates requests blocked by Freeze.
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

// action is the set of faults for one request. A negative cutAfter means no cut.
type action struct {
	outage, abort, dropResponse bool
	delay                       time.Duration
	cutAfter                    int
}

// nextAction waits until Freeze is cleared and returns the action for one request.
func (i *Injector) nextAction(ctx context.Context, path string) (action, error) {
	for {
		i.mu.Lock()
		if !strings.HasPrefix(path, i.faults.PathPrefix) {
			i.mu.Unlock()
			return action{cutAfter: -1}, nil
		}
		if !i.faults.Freeze {
			chosen := i.chooseAction()
			i.mu.Unlock()
			return chosen, nil
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

func (i *Injector) chooseAction() action {
	chosen := action{
		outage:   i.faults.Outage,
		delay:    time.Duration(i.faults.DelayMillis) * time.Millisecond,
		cutAfter: -1,
	}
	if chosen.outage {
		i.counts["outage"]++
		return chosen
	}
	if chosen.delay > 0 {
		i.counts["delay"]++
	}
	chosen.abort = i.consume("drop", &i.faults.Aborts)
	if chosen.abort {
		return chosen
	}
	chosen.dropResponse = i.consume("lost_reply", &i.faults.DropResponses)
	if chosen.dropResponse {
		return chosen
	}
	if i.consume("cut", &i.faults.Cuts) {
		chosen.cutAfter = i.faults.CutAfterBytes
	}
	return chosen
}

func (i *Injector) consume(kind string, count *int) bool {
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
		chosen, err := i.nextAction(r.Context(), r.URL.Path)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		i.apply(chosen, next, w, r)
	})
}

func (i *Injector) apply(chosen action, next http.Handler, w http.ResponseWriter, r *http.Request) {
	if chosen.delay > 0 {
		timer := time.NewTimer(chosen.delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	switch {
	case chosen.outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case chosen.abort:
		panic(http.ErrAbortHandler)
	case chosen.dropResponse:
		next.ServeHTTP(discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	case chosen.cutAfter >= 0:
		next.ServeHTTP(&cutWriter{ResponseWriter: w, remaining: chosen.cutAfter}, r)
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

// discardWriter discards a response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header            { return d.header }
func (d discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (d discardWriter) WriteHeader(int)                {}
func (d discardWriter) FlushError() error              { return nil }

// cutWriter aborts the connection when a write exceeds the remaining bytes.
type cutWriter struct {
	http.ResponseWriter
	remaining int
}

// Write implements http.ResponseWriter.
func (c *cutWriter) Write(data []byte) (int, error) {
	if len(data) <= c.remaining {
		c.remaining -= len(data)
		return c.ResponseWriter.Write(data)
	}
	_, _ = c.ResponseWriter.Write(data[:c.remaining])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (c *cutWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
