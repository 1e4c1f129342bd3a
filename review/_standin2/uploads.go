package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	uploadHost = "ficu95.example"
	// maxBody is max_body_bytes of the configuration that `fleetbench wire` shows.
	maxBody = 4 << 20
	// callerLink is the rate at which a caller's own link sends, in bytes a second.
	callerLink = 10e6 / 8
	// uploadsPerSecond is the rate of the uploads of the whole region.
	uploadsPerSecond = 16
	uploadTimeout    = 14 * time.Second
)

// plainServer is a sound server: it reads a request, works on it, and answers.
type plainServer struct {
	id   string
	work time.Duration

	mu   sync.Mutex
	runs map[string]*run
}

type run struct {
	began time.Time
	ended bool
}

func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	begun := &run{began: time.Now()}
	s.mu.Lock()
	s.runs[id] = begun
	s.mu.Unlock()
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	begun.ended = true
	s.mu.Unlock()
	body := fmt.Sprintf("%s: %d bytes", id, size)
	w.Header().Set("X-Instance-Signature", "sig."+s.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// attempt is one attempt of a caller.
type attempt struct {
	id, kind, node string
	began, ended   time.Time
	kept           bool
	sent           bool
	status         int
	err            error
}

// slowBody is a body that a caller's link sends at its rate.
type slowBody struct {
	left  int
	began time.Time
	sent  int
}

func (b *slowBody) Read(data []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(data), b.left, 16<<10)
	if b.began.IsZero() {
		b.began = time.Now()
	}
	if due := b.began.Add(time.Duration(float64(b.sent) / callerLink * float64(time.Second))); time.Until(due) > 0 {
		time.Sleep(time.Until(due))
	}
	b.left -= n
	b.sent += n
	return n, nil
}

// uploads has callers upload bodies within max_body_bytes while most new connections go to one node.
func uploads(r *record, trouble bool) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return 0, err
	}
	defer f.close()
	var servers []*plainServer
	zones := []string{"sala-norte", "sala-centro", "sala-sur"}
	route := func(prefix, kind string, timeout int) map[string]any {
		return map[string]any{
			"name": "r-" + kind, "host": uploadHost, "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout, "target_latency_ms": 900,
			"priority": 2, "service": "wuno96b", "max_attempts": 1, "sticky": false, "resumable": false,
		}
	}
	f.store.Put("config", "main", map[string]any{
		"version":  7,
		"routes":   []map[string]any{route("/pule252/", "unsafe", int(uploadTimeout.Milliseconds()))},
		"services": []map[string]any{{"name": "wuno96b", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for i, zone := range zones {
		server := &plainServer{id: fmt.Sprintf("i-%d", i+1), work: 400 * time.Millisecond, runs: map[string]*run{}}
		address, _, err := serve(server)
		if err != nil {
			return 0, err
		}
		servers = append(servers, server)
		f.store.Put("servers", server.id, map[string]any{
			"service": "wuno96b", "address": address, "zone": zone, "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
		})
	}
	if err := f.addNodes(8, zones); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return 0, err
		}
	}
	for _, n := range f.nodes {
		go f.limitMemory(n, stop)
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	defer close(stop)
	time.Sleep(5 * time.Second)

	var mu sync.Mutex
	var attempts []*attempt
	var asking sync.WaitGroup
	var next atomic.Int64
	transports := map[*node]*http.Transport{}
	for _, n := range f.nodes {
		transports[n] = &http.Transport{DialContext: dialQuick, MaxIdleConnsPerHost: 100, IdleConnTimeout: 12 * time.Second}
	}
	send := func(n *node, kind string, size int) {
		defer asking.Done()
		a := &attempt{id: fmt.Sprintf("%016x", next.Add(1)), kind: kind, node: n.name, began: time.Now()}
		var body io.Reader = bytes.NewReader(make([]byte, size))
		if kind == "upload" {
			body = &slowBody{left: size}
		}
		request, err := http.NewRequest(http.MethodPost, "http://"+n.front+"/pule252/2f", body)
		if err != nil {
			return
		}
		request.ContentLength = int64(size)
		// "Clients either keep a connection for many requests or open new ones."
		opensNew := kind == "small" && rand.IntN(2) == 0
		request.Host = uploadHost
		request.Header.Set("X-Request-Id", a.id)
		request.Header.Set("X-Deadline-Ms", strconv.FormatInt(uploadTimeout.Milliseconds(), 10))
		trace := &httptrace.ClientTrace{
			GotConn:      func(info httptrace.GotConnInfo) { a.kept = info.Reused },
			WroteRequest: func(info httptrace.WroteRequestInfo) { a.sent = info.Err == nil },
		}
		request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
		transport := transports[n]
		if opensNew {
			transport = &http.Transport{DialContext: dialQuick, IdleConnTimeout: 500 * time.Millisecond}
		}
		response, err := transport.RoundTrip(request)
		if err == nil {
			a.status = response.StatusCode
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		a.err, a.ended = err, time.Now()
		mu.Lock()
		attempts = append(attempts, a)
		mu.Unlock()
	}
	began := time.Now()
	const skewAt, skewEnds, ends = 10 * time.Second, 20 * time.Second, 30 * time.Second
	balancer := f.balance(stop)
	flooded := f.nodes[0]
	for tick := range int(ends.Seconds() * 100) {
		time.Sleep(time.Until(began.Add(time.Duration(tick) * 10 * time.Millisecond)))
		at := time.Since(began)
		pick := func() *node {
			in := balancer.in()
			if trouble && at > skewAt && at < skewEnds && rand.Float64() < 0.9 {
				if !slices.Contains(in, flooded) {
					// "to another once that one is out"
					flooded = in[rand.IntN(len(in))]
					r.line("most new connections go to %s", flooded.name)
				}
				return flooded
			}
			return in[rand.IntN(len(in))]
		}
		if rand.Float64() < uploadsPerSecond/100.0 {
			asking.Add(1)
			go send(pick(), "upload", maxBody)
		}
		if rand.Float64() < 0.44 {
			asking.Add(1)
			go send(pick(), "small", 600)
		}
	}
	asking.Wait()
	return report(r, f, servers, attempts, began), nil
}

func report(r *record, f *fleet, servers []*plainServer, attempts []*attempt, began time.Time) int {
	runs := map[string]bool{}
	for _, s := range servers {
		s.mu.Lock()
		for id := range s.runs {
			runs[id] = true
		}
		s.mu.Unlock()
	}
	lost, answered, failed := 0, 0, 0
	for _, a := range attempts {
		outcome := strconv.Itoa(a.status)
		if a.err != nil {
			outcome = a.err.Error()
		}
		r.line("sent %8.3f ended %8.3f %s %s at %s kept=%t whole=%t run=%t: %s", a.began.Sub(began).Seconds(), a.ended.Sub(began).Seconds(), a.kind, a.id, a.node, a.kept, a.sent, runs[a.id], outcome)
		switch {
		case a.err == nil && a.status == http.StatusOK:
			answered++
		case a.err != nil && runs[a.id] && a.kept:
			lost++
			failed++
		default:
			failed++
		}
	}
	kills := 0
	for _, n := range f.nodes {
		kills += len(n.kills)
		r.say("%s: at most %d MB, killed %d times for its memory", n.name, n.peak>>20, len(n.kills))
	}
	r.say("%d attempts, %d answered, %d failed; %d on kept connections were passed on to a server and not answered; %d kills", len(attempts), answered, failed, lost, kills)
	if lost > 3 {
		return exitBroken
	}
	return exitHeld
}
