package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kind is a kind of request of the sheet.
type kind struct {
	name     string
	method   string
	path     string
	body     int
	deadline time.Duration
	isSafe   bool
	isStream bool
}

var (
	planLookup = kind{name: "plan-lookup", method: http.MethodPost, path: "/lookup/1", body: 600, deadline: 3 * time.Second}
	sessionLog = kind{name: "session-log", method: http.MethodGet, path: "/log/1", deadline: 3 * time.Second, isSafe: true}
)

var (
	meterRead   = kind{name: "meter-read", method: http.MethodPost, path: "/meter/1", body: 600, deadline: 3 * time.Second}
	tariffSheet = kind{name: "tariff-sheet", method: http.MethodGet, path: "/tariff/current", deadline: 3 * time.Second, isSafe: true}
)

const routeHost = "plans.example"

// attempt is one try of a client, and what it got.
type attempt struct {
	id      string
	kind    kind
	node    string
	sent    time.Time
	status  int // 0: no complete answer
	whole   bool
	body    string
	signed  bool
	err     error
	isRetry bool
}

// load is the clients' traffic.
type load struct {
	fleet    *fleet
	mu       sync.Mutex
	attempts []attempt
	group    sync.WaitGroup
}

func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// client is one client; it keeps a connection to its node.
type client struct {
	zone string
	hash int
	http *http.Client
	node *node
}

func (f *fleet) newClient(zone string, hash int) *client {
	return &client{zone: zone, hash: hash, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}}
}

// run sends requests of a mix until the context ends: perSecond in all, from clients of all zones.
func (l *load) run(ctx context.Context, perSecond float64, choose func() kind) {
	var clients []*client
	for i := range 30 {
		clients = append(clients, l.fleet.newClient(zones[i%len(zones)], mathrand.IntN(1<<30)))
	}
	for ctx.Err() == nil {
		chosen := clients[mathrand.IntN(len(clients))]
		l.group.Go(func() { l.request(chosen, choose()) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(mathrand.ExpFloat64() / perSecond * float64(time.Second))):
		}
	}
}

// request sends a request, and once more after a failure that allows it (PROTOCOL.md, "Answers").
func (l *load) request(c *client, k kind) {
	until := time.Now().Add(k.deadline)
	got, retryAfter := l.try(c, k, until, false)
	promised := got.status == 429 || got.status == 503 || got.status == 408 || got.status == 421
	if !promised && !(k.isSafe && got.status == 0) && !(k.isSafe && got.status >= 500) {
		return
	}
	if left := time.Until(until); retryAfter > 0 && retryAfter < left/3 {
		time.Sleep(retryAfter)
	}
	if time.Until(until) > 50*time.Millisecond {
		l.try(c, k, until, true)
	}
}

// try is one attempt. A retry takes a new connection.
func (l *load) try(c *client, k kind, until time.Time, retry bool) (attempt, time.Duration) {
	used, hash := c.http, c.hash
	if retry {
		hash = mathrand.IntN(1 << 30)
		used = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	}
	target := l.fleet.pick(c.zone, hash)
	a := attempt{id: newID(), kind: k, node: target.name, sent: time.Now(), isRetry: retry}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, k.method, "http://"+target.front+k.path, bytes.NewReader(bytes.Repeat([]byte(a.id), k.body/len(a.id))))
	request.Host = routeHost
	request.GetBody = nil // net/http must not send it again by itself.
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(until).Milliseconds(), 10))
	l.fleet.record.line("sent      %s %s to %s", a.id, k.name, target.name)
	response, err := used.Do(request)
	var retryAfter time.Duration
	if err != nil {
		a.err = err
	} else {
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.err, a.whole, a.body = err, err == nil, string(body)
		a.signed = response.Header.Get("X-Instance-Signature") != ""
		if a.whole {
			a.status = response.StatusCode
		}
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			retryAfter = time.Duration(seconds * float64(time.Second))
		}
		if got := response.Header.Get("X-Request-Id"); a.signed && got != a.id {
			l.fleet.record.line("foreign   %s got the answer to %s", a.id, got)
		}
	}
	l.fleet.record.line("answered  %s %d after %d ms %s", a.id, a.status, time.Since(a.sent).Milliseconds(), errorText(a.err))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
	return a, retryAfter
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}

// mixOf returns a function that chooses one of two kinds by their rates.
func mixOf(first kind, firstRate float64, second kind, secondRate float64) func() kind {
	return func() kind {
		if mathrand.Float64() < firstRate/(firstRate+secondRate) {
			return first
		}
		return second
	}
}

// judged is what the rules say of all attempts.
type judged struct{ twice, refused, mixed, served, sent int }

func (l *load) judge() judged {
	l.mu.Lock()
	defer l.mu.Unlock()
	var j judged
	for _, a := range l.attempts {
		j.sent++
		runs := l.fleet.record.runsOf(a.id)
		if a.status == 200 {
			j.served++
			if !a.signed || a.body != "answer to "+a.id+"\n" {
				j.mixed++
				l.fleet.record.say("MIXED: %s got %q", a.id, a.body)
			}
		}
		if a.kind.isSafe {
			continue
		}
		if len(runs) > 1 {
			j.twice++
			l.fleet.record.say("TWICE: %s (%s, unsafe), one try, ran at %s", a.id, a.kind.name, strings.Join(runs, " and "))
		}
		if (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) && len(runs) > 0 {
			j.refused++
			l.fleet.record.say("REFUSED: %s (%s, unsafe) was answered %d and ran at %s", a.id, a.kind.name, a.status, strings.Join(runs, " and "))
		}
	}
	return j
}

func (j judged) String() string {
	return fmt.Sprintf("%d tries, %d served, TWICE %d, REFUSED %d, MIXED %d", j.sent, j.served, j.twice, j.refused, j.mixed)
}

// between returns how many tries were sent in a span, and how many of these were served.
func (l *load) between(from, to time.Time) (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.attempts {
		if a.sent.Before(from) || !a.sent.Before(to) {
			continue
		}
		sent++
		if a.status == 200 {
			served++
		}
	}
	return sent, served
}

// shares returns how many tries of each kind were made and served.
func (l *load) shares() (sent, served map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, served = map[string]int{}, map[string]int{}
	for _, a := range l.attempts {
		if a.isRetry {
			if a.status == 200 {
				served[a.kind.name]++
			}
			continue
		}
		sent[a.kind.name]++
		if a.status == 200 {
			served[a.kind.name]++
		}
	}
	return sent, served
}

// configuration is that of the deployment, without the routes of streams.
func configuration(service, engines string, unsafe, safe kind) map[string]any {
	route := func(name, prefix, routeKind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": routeHost, "path_prefix": prefix, "route_kind": routeKind, "timeout_ms": 1500,
			"target_latency_ms": 300, "priority": 2, "service": service, "max_attempts": attempts}
	}
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "fault-class", "host": routeHost, "path_prefix": "/fault/", "route_kind": "stream", "timeout_ms": 14000,
			"target_latency_ms": 900, "priority": 1, "service": engines, "max_attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 300}, route(unsafe.name, prefixOf(unsafe), "unsafe", 1), route(safe.name, prefixOf(safe), "safe", 2)},
		"services": []any{
			map[string]any{"name": service, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": engines, "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_tokens": 89659, "token_kv_bytes": 18432, "link_mbps": 1000000.0, "moves": true, "backups": true, "stride": 1, "most": 12,
				"handle_ttl_s": 0.5, "stage_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}}}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func prefixOf(k kind) string { return k.path[:strings.LastIndex(k.path, "/")+1] }
