package main

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// crashing is a plain server that can crash and start again.
type crashing struct {
	f       *fleet
	zone    string
	service string
	address string
	work    time.Duration
	starts  int
	current *plainServer
	server  *http.Server
}

// start starts an incarnation with an id of its own, and has it record itself in the store.
func (c *crashing) start() error {
	c.starts++
	if c.address == "" {
		c.address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	c.address = listener.Addr().String()
	c.current = &plainServer{id: fmt.Sprintf("i-%s-%s-%d", c.service, c.zone, c.starts), work: c.work, runs: map[string]*run{}}
	c.server = &http.Server{Handler: c.current, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func(server *http.Server) { _ = server.Serve(listener) }(c.server)
	c.f.store.Put("servers", c.current.id, map[string]any{
		"service": c.service, "address": c.address, "zone": c.zone, "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0,
		"sequence": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// crash ends the incarnation at once. Its entry goes after three heartbeats without a write.
func (c *crashing) crash(downFor time.Duration) error {
	_ = c.server.Close()
	id := c.current.id
	time.AfterFunc(3*1200*time.Millisecond, func() { c.f.store.Remove("servers", id) })
	time.Sleep(downFor)
	return c.start()
}

// popular has all servers of a plain service crash once, while many callers ask for the same page.
func popular(r *record, trouble bool) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return 0, err
	}
	defer f.close()
	zones := []string{"sala-norte", "sala-centro", "sala-sur"}
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": uploadHost, "path_prefix": prefix, "route_kind": kind, "timeout_ms": 3000, "target_latency_ms": 300,
			"priority": 2, "service": "wuno96b", "max_attempts": attempts, "sticky": false, "resumable": false,
		}
	}
	configure := func(version int, routes ...map[string]any) {
		f.store.Put("config", "main", map[string]any{
			"version": version, "routes": routes,
			"services": []map[string]any{{"name": "wuno96b", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}, engineService()},
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		})
		r.line("configuration %d is in the store", version)
	}
	first, added := route("r-first", "/pule252/", "unsafe", 1), route("r-added", "/tari514/", "safe", 2)
	configure(7, first)
	if _, err := f.addEngines(zones); err != nil {
		return 0, err
	}
	var servers []*crashing
	for _, zone := range zones {
		server := &crashing{f: f, zone: zone, service: "wuno96b", work: 250 * time.Millisecond}
		if err := server.start(); err != nil {
			return 0, err
		}
		servers = append(servers, server)
	}
	if err := f.addNodes(8, zones); err != nil {
		return 0, err
	}
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	type counts struct{ asked, served int }
	var mu sync.Mutex
	seconds := map[string][]counts{"first": make([]counts, 60), "added": make([]counts, 60)}
	var asking sync.WaitGroup
	var next atomic.Int64
	began := time.Now()
	ask := func(kind string) {
		n := f.nodes[rand.IntN(len(f.nodes))]
		id := fmt.Sprintf("%016x", next.Add(1))
		method, path, size := http.MethodGet, "/tari514/current", 0
		if kind == "first" {
			method, path, size = http.MethodPost, fmt.Sprintf("/pule252/%x", rand.Uint32()), 600
		}
		request, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(make([]byte, size)))
		if err != nil {
			return
		}
		request.Host = uploadHost
		request.Header.Set("X-Request-Id", id)
		request.Header.Set("X-Deadline-Ms", "3000")
		sent := time.Since(began)
		transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}
		response, err := transport.RoundTrip(request)
		outcome := ""
		served := false
		if err != nil {
			outcome = err.Error()
		} else {
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			served = err == nil && response.StatusCode == http.StatusOK
			outcome = strconv.Itoa(response.StatusCode)
			if !served {
				outcome += " Retry-After " + response.Header.Get("Retry-After") + " " + string(bytes.TrimSpace(body))
			}
		}
		r.line("sent %7.3f %s %s at %s: %s", sent.Seconds(), kind, id, n.name, outcome)
		mu.Lock()
		defer mu.Unlock()
		second := &seconds[kind][min(59, int(sent.Seconds()))]
		second.asked++
		if served {
			second.served++
		}
	}
	const addAt, crashAt, downFor, steadyAt, ends = 3, 15, 4500 * time.Millisecond, 25, 40
	acted := map[string]bool{}
	once := func(name string, at float64, act func()) {
		if !acted[name] && time.Since(began).Seconds() >= at {
			acted[name] = true
			act()
		}
	}
	for tick := range ends * 100 {
		time.Sleep(time.Until(began.Add(time.Duration(tick) * 10 * time.Millisecond)))
		once("add", addAt, func() { configure(9, first, added) })
		once("crash", crashAt, func() {
			if !trouble {
				return
			}
			r.line("all servers crash")
			for _, server := range servers {
				go func() {
					if err := server.crash(downFor); err != nil {
						r.line("%v", err)
						return
					}
					r.line("the server of %s is back", server.zone)
				}()
			}
		})
		if rand.Float64() < 0.22 {
			asking.Go(func() { ask("first") })
		}
		if time.Since(began).Seconds() > addAt+3 && rand.Float64() < 0.30 {
			asking.Go(func() { ask("added") })
		}
	}
	asking.Wait()
	share := func(kind string, from, to int) (counts, float64) {
		var sum counts
		for _, second := range seconds[kind][from:to] {
			sum.asked += second.asked
			sum.served += second.served
		}
		return sum, float64(sum.served) / float64(max(1, sum.asked))
	}
	for _, span := range [][2]int{{8, crashAt}, {steadyAt, ends}} {
		a, aShare := share("first", span[0], span[1])
		b, bShare := share("added", span[0], span[1])
		r.say("seconds %d to %d: first route served %d of %d (%.2f), added route %d of %d (%.2f)", span[0], span[1], a.served, a.asked, aShare, b.served, b.asked, bShare)
	}
	asked, addedShare := share("added", steadyAt, ends)
	_, firstShare := share("first", steadyAt, ends)
	if asked.asked >= 20 && addedShare < firstShare/4 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
