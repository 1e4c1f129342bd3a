package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// foreignEntries is the number of entries of another writer, each of almost value_bytes.
	foreignEntries = 24
	foreignBytes   = 1048576 - 512
)

// blind has another writer write entries into the store. Then the servers of a new service start, and a route to it is added.
func blind(r *record, trouble bool) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return 0, err
	}
	defer f.close()
	zones := []string{"sala-norte", "sala-centro", "sala-sur"}
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": uploadHost, "path_prefix": prefix, "route_kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 300,
			"priority": 2, "service": service, "max_attempts": 1, "sticky": false, "resumable": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}
	}
	configure := func(version int, routes, services []map[string]any) {
		f.store.Put("config", "main", map[string]any{
			"version": version, "routes": routes, "services": services,
			"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		})
		r.line("configuration %d is in the store", version)
	}
	first, added := route("r-first", "/pule252/", "wuno96b"), route("r-added", "/tari514/", "sito41c")
	configure(7, []map[string]any{first}, []map[string]any{service("wuno96b")})
	start := func(name string) error {
		for _, zone := range zones {
			server := &crashing{f: f, zone: zone, service: name, work: 60 * time.Millisecond}
			if err := server.start(); err != nil {
				return err
			}
			r.line("%s is in the store", server.current.id)
		}
		return nil
	}
	if err := start("wuno96b"); err != nil {
		return 0, err
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
	time.Sleep(5 * time.Second)
	type counts struct{ asked, served int }
	var mu sync.Mutex
	steady := map[string]*counts{"first": {}, "added": {}}
	var asking sync.WaitGroup
	var next atomic.Int64
	began := time.Now()
	const writeAt, startAt, addAt, steadyAt, ends = 5.0, 7.0, 8.0, 12.0, 22.0
	ask := func(kind, path string) {
		n := f.nodes[rand.IntN(len(f.nodes))]
		id := fmt.Sprintf("%016x", next.Add(1))
		request, err := http.NewRequest(http.MethodPost, "http://"+n.front+path, bytes.NewReader(make([]byte, 600)))
		if err != nil {
			return
		}
		request.Host = uploadHost
		request.Header.Set("X-Request-Id", id)
		request.Header.Set("X-Deadline-Ms", "3000")
		sent := time.Since(began).Seconds()
		transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}
		response, err := transport.RoundTrip(request)
		outcome, served := "", false
		if err != nil {
			outcome = err.Error()
		} else {
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			served = err == nil && response.StatusCode == http.StatusOK
			outcome = strconv.Itoa(response.StatusCode)
			if !served {
				outcome += " " + string(bytes.TrimSpace(body))
			}
		}
		r.line("sent %7.3f %s %s at %s: %s", sent, kind, id, n.name, outcome)
		mu.Lock()
		defer mu.Unlock()
		if sent >= steadyAt {
			steady[kind].asked++
			if served {
				steady[kind].served++
			}
		}
	}
	acted := map[string]bool{}
	var failed error
	once := func(name string, at float64, act func()) {
		if !acted[name] && time.Since(began).Seconds() >= at {
			acted[name] = true
			act()
		}
	}
	for tick := range int(ends * 100) {
		time.Sleep(time.Until(began.Add(time.Duration(tick) * 10 * time.Millisecond)))
		once("write", writeAt, func() {
			if !trouble {
				return
			}
			junk := strings.Repeat("x", foreignBytes)
			go func() {
				for i := range foreignEntries {
					f.store.Put("servers", fmt.Sprintf("z-%d", i), map[string]any{"note": junk})
				}
				r.line("another writer has written %d entries of %d bytes", foreignEntries, foreignBytes)
			}()
		})
		once("start", startAt, func() { failed = start("sito41c") })
		once("add", addAt, func() {
			configure(9, []map[string]any{first, added}, []map[string]any{service("wuno96b"), service("sito41c")})
		})
		if rand.Float64() < 0.2 {
			asking.Go(func() { ask("first", "/pule252/2f") })
		}
		if time.Since(began).Seconds() > addAt+2 && rand.Float64() < 0.2 {
			asking.Go(func() { ask("added", "/tari514/2f") })
		}
	}
	asking.Wait()
	if failed != nil {
		return 0, failed
	}
	share := func(c *counts) float64 { return float64(c.served) / float64(max(1, c.asked)) }
	a, b := steady["first"], steady["added"]
	r.say("seconds %.0f to %.0f: first route served %d of %d, added route %d of %d", steadyAt, ends, a.served, a.asked, b.served, b.asked)
	if b.asked >= 20 && share(b) < share(a)/4 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
