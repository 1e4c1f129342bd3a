package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	streamTimeout = 14 * time.Second
	// streamsPerSecond is the rate of triage-check, and events the mean length of its streams.
	streamsPerSecond = 8
	streamEvents     = 69
	eventInterval    = 50 * time.Millisecond
	// killed of the 8 machines are killed at once.
	killed = 7
)

// addEngines adds engines of two software versions, as many of each.
func (f *fleet) addEngines(zones []string) ([]*standin.Engine, error) {
	engines := map[string]*standin.Engine{}
	var all []*standin.Engine
	var mu sync.Mutex
	for i := range 10 {
		stage, version := "decode", "v1"
		if i < 4 {
			stage = "prefill"
		}
		if i%2 == 1 {
			version = "v2"
		}
		engine := standin.NewEngine(fmt.Sprintf("i-%d", i+1), stage)
		engine.EventCount, engine.EventInterval, engine.MarkVersions, engine.StageSwitchTime = streamEvents, eventInterval, true, 6*time.Second
		born := time.Now().UnixMilli()
		engine.RestartWith(version, born)
		engine.TakeRemoteHandle = func(address, handle, request string) bool {
			mu.Lock()
			holder := engines[address]
			mu.Unlock()
			return holder != nil && holder.TakeHandle(handle, request)
		}
		address, _, err := serve(engine)
		if err != nil {
			return nil, err
		}
		mu.Lock()
		engines[address] = engine
		mu.Unlock()
		all = append(all, engine)
		announce := func(stage string) {
			f.store.Put("servers", engine.ID, map[string]any{
				"service": "huvo11a", "address": address, "zone": zones[i%len(zones)], "version": version, "slots": 64, "state": "ready",
				"cold_remaining_ms": 0, "stage": stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
				"sequence": 1, "born": born,
			})
		}
		engine.OnStageChange = announce
		announce(stage)
	}
	return all, nil
}

// engineService is the service of the engines, as `fleetbench wire` shows it.
func engineService() map[string]any {
	return map[string]any{
		"name": "huvo11a", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv_tokens": 89659, "token_kv_bytes": 18432, "link_mbps": 1000000.0, "moves": true, "backups": true, "stride": 64, "most": 12,
			"handle_ttl_s": 0.5, "stage_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []map[string]any{{"name": "m"}},
		},
	}
}

// stream is one stream of a caller, over its attempts.
type stream struct {
	id       string
	began    bool
	resumed  bool
	wentOn   bool
	whole    bool
	versions map[string]bool
	last     int
	outcome  string
}

// resumes has callers take their streams up again after many machines were killed at once.
func resumes(r *record, trouble bool) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return 0, err
	}
	defer f.close()
	zones := []string{"sala-norte", "sala-centro", "sala-sur"}
	f.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-i9n73hh", "host": uploadHost, "path_prefix": "/pufi791/", "route_kind": "stream", "timeout_ms": streamTimeout.Milliseconds(),
			"target_latency_ms": 900, "priority": 1, "service": "huvo11a", "max_attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 300,
		}},
		"services": []map[string]any{engineService()},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if _, err := f.addEngines(zones); err != nil {
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
	time.Sleep(8 * time.Second)

	var killedAt atomic.Int64
	survivor := f.nodes[rand.IntN(len(f.nodes))]
	// inTouch reports whether a node has been in touch since before the kill.
	isDown := map[*node]*atomic.Bool{}
	for _, n := range f.nodes {
		isDown[n] = &atomic.Bool{}
	}
	pick := func() *node {
		for {
			if n := f.nodes[rand.IntN(len(f.nodes))]; !isDown[n].Load() {
				return n
			}
		}
	}
	var next atomic.Int64
	attempt := func(s *stream, n *node, resumes string) (brokeOff bool, retryAfter time.Duration) {
		id := fmt.Sprintf("%016x", next.Add(1))
		request, err := http.NewRequest(http.MethodPost, "http://"+n.front+"/pufi791/2f", bytes.NewReader(make([]byte, 5000)))
		if err != nil {
			return false, 0
		}
		request.Host = uploadHost
		request.Header.Set("X-Request-Id", id)
		request.Header.Set("X-Deadline-Ms", "14000")
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Counts", "5200,80")
		request.Header.Set("X-Prompt-Prefix", "5c1e07a2:200,"+s.id+":5000")
		if resumes != "" {
			request.Header.Set("Resumes", resumes)
			request.Header.Set("Last-Event-Id", fmt.Sprint(s.last))
		}
		transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}
		response, err := transport.RoundTrip(request)
		if err != nil {
			s.outcome += " " + id + "@" + n.name + ":" + err.Error()
			return true, 0
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			reason, _ := io.ReadAll(response.Body)
			s.outcome += " " + id + "@" + n.name + ":" + response.Status + " " + strings.TrimSpace(string(reason))
			return false, 300 * time.Millisecond
		}
		var text bytes.Buffer
		_, err = io.Copy(&text, response.Body)
		received := standin.ReadStream(text.String())
		for _, version := range received.Versions {
			s.versions[version] = true
		}
		if len(received.Events) > 0 {
			if !s.began {
				s.id = id
			}
			s.began = true
			s.wentOn = s.wentOn || resumes != ""
			s.last = received.Events[len(received.Events)-1]
		}
		if err != nil {
			s.outcome += " " + id + "@" + n.name + fmt.Sprintf(":broke off after event %d (%v)", s.last, err)
			return true, 0
		}
		s.whole = s.last == streamEvents
		s.outcome += " " + id + "@" + n.name + fmt.Sprintf(":200, whole=%t", s.whole)
		return false, 0
	}
	var mu sync.Mutex
	var asking sync.WaitGroup
	var taken, fresh []*stream
	play := func() {
		s := &stream{id: fmt.Sprintf("%08x", rand.Uint32()), versions: map[string]bool{}}
		sentAt := time.Now()
		isFresh := killedAt.Load() != 0
		first := pick()
		brokeOff, _ := attempt(s, first, "")
		if isFresh && first == survivor && time.Since(sentAt) >= 0 {
			mu.Lock()
			fresh = append(fresh, s)
			mu.Unlock()
		}
		if brokeOff && s.began && !s.whole {
			s.resumed = true
			mu.Lock()
			taken = append(taken, s)
			mu.Unlock()
			began := s.id
			for range 3 {
				brokeOff, wait := attempt(s, survivor, began)
				if !brokeOff && wait == 0 {
					break
				}
				time.Sleep(wait)
			}
		}
		if s.resumed || isFresh {
			r.line("stream of %s: resumed=%t went on=%t whole=%t versions=%v:%s", s.id, s.resumed, s.wentOn, s.whole, keys(s.versions), s.outcome)
		}
	}
	began := time.Now()
	const killAt, ends = 10 * time.Second, 20 * time.Second
	done := false
	for tick := range int(ends.Seconds() * 100) {
		time.Sleep(time.Until(began.Add(time.Duration(tick) * 10 * time.Millisecond)))
		if at := time.Since(began); at >= killAt && !done {
			done = true
			killedAt.Store(time.Now().UnixNano())
			if trouble {
				for _, n := range f.nodes {
					if n != survivor {
						isDown[n].Store(true)
						n.signal(syscall.SIGKILL)
					}
				}
				r.line("%d machines killed at once; %s is left", killed, survivor.name)
				for _, n := range f.nodes {
					if n != survivor {
						go func() {
							<-n.ended
							time.Sleep(time.Second)
							if err := f.start(n); err != nil {
								r.line("%v", err)
							}
						}()
					}
				}
			}
		}
		if rand.Float64() < streamsPerSecond/100.0 {
			asking.Go(play)
		}
	}
	asking.Wait()
	if !done {
		return 0, errors.New("nothing was killed")
	}
	wentOn, begun := 0, 0
	for _, s := range taken {
		if s.wentOn {
			wentOn++
		}
	}
	for _, s := range fresh {
		if s.began {
			begun++
		}
	}
	r.say("streams taken up again at a machine in touch: %d, of which %d go on; new streams at it: %d, of which %d begin", len(taken), wentOn, len(fresh), begun)
	if len(taken) >= 12 && len(fresh) > 0 && float64(wentOn)/float64(len(taken)) < 0.5*float64(begun)/float64(len(fresh)) {
		return exitBroken, nil
	}
	return exitHeld, nil
}

func keys(set map[string]bool) []string {
	var found []string
	for key := range set {
		found = append(found, key)
	}
	return found
}
