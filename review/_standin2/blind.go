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
	drain          = 2 * time.Second
)

// blind has another writer write entries into the store, and then a server leave as planned.
func blind(r *record, trouble bool) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return 0, err
	}
	defer f.close()
	zones := []string{"sala-norte", "sala-centro", "sala-sur"}
	f.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-first", "host": uploadHost, "path_prefix": "/pule252/", "route_kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 300,
			"priority": 2, "service": "wuno96b", "max_attempts": 1, "sticky": false, "resumable": false,
		}},
		"services": []map[string]any{{"name": "wuno96b", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var servers []*crashing
	for _, zone := range zones {
		server := &crashing{f: f, zone: zone, work: 60 * time.Millisecond}
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
	time.Sleep(5 * time.Second)
	var asking sync.WaitGroup
	var next atomic.Int64
	var answered, failed atomic.Int64
	began := time.Now()
	ask := func() {
		n := f.nodes[rand.IntN(len(f.nodes))]
		id := fmt.Sprintf("%016x", next.Add(1))
		request, err := http.NewRequest(http.MethodPost, "http://"+n.front+"/pule252/2f", bytes.NewReader(make([]byte, 600)))
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
		if err != nil {
			outcome = err.Error()
		} else {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			outcome = strconv.Itoa(response.StatusCode)
		}
		if err == nil && response.StatusCode == http.StatusOK {
			answered.Add(1)
		} else {
			failed.Add(1)
		}
		r.line("sent %7.3f %s at %s: %s", sent.Seconds(), id, n.name, outcome)
	}
	const writeAt, leaveAt, endAt, ends = 5.0, 7.0, 13.0, 16.0
	leaving := servers[0].current
	leavingServer := servers[0].server
	acted := map[string]bool{}
	once := func(name string, at float64, act func()) {
		if !acted[name] && time.Since(began).Seconds() >= at {
			acted[name] = true
			act()
		}
	}
	var left time.Time
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
		once("leave", leaveAt, func() {
			f.store.Remove("servers", leaving.id)
			left = time.Now()
			r.line("%s leaves: its entry is gone", leaving.id)
		})
		once("end", endAt, func() {
			r.line("%s ends", leaving.id)
			_ = leavingServer.Close()
		})
		if rand.Float64() < 0.22 {
			asking.Go(ask)
		}
	}
	asking.Wait()
	late, cut := 0, 0
	leaving.mu.Lock()
	for id, ran := range leaving.runs {
		if ran.began.After(left.Add(drain)) {
			late++
			r.line("%s ran %s %.3f s after its entry was gone; ended %t", leaving.id, id, ran.began.Sub(left).Seconds(), ran.ended)
			if !ran.ended {
				cut++
			}
		}
	}
	leaving.mu.Unlock()
	r.say("%d answered, %d failed; %d requests reached the server later than drain_ms after its entry was gone, of which %d were cut by its end", answered.Load(), failed.Load(), late, cut)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
