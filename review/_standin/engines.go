package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/reelrun/reelrun/platform/standin"
)

// engine is a model server: the project's own stand-in, at an address, with its entry in the store.
type engine struct {
	d        *deployment
	service  string
	zone     string
	address  string
	mu       sync.Mutex
	server   *http.Server
	model    *standin.Engine
	starts   int
	number   int
	stage    string
	stopBeat chan struct{}
}

// Streams of the engines: an event for each token.
const (
	eventCount    = 70
	eventInterval = 40 * time.Millisecond
)

// addEngines adds model servers, a third of them for prefills.
func (d *deployment) addEngines(service string, count int) {
	for i := range count {
		e := &engine{d: d, service: service, zone: zones[i%len(zones)], stage: "decode", number: i + 1, address: "127.0.0.1:" + strconv.Itoa(freePort())}
		if i < count/3 {
			e.stage = "prefill"
		}
		d.engines = append(d.engines, e)
		e.start()
	}
}

// start begins a new incarnation, with a new id.
func (e *engine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		cannotRun("engine: %v", err)
	}
	e.starts++
	e.model = standin.NewEngine(fmt.Sprintf("i-%s-%d-%d", e.service, e.number, e.starts), e.stage)
	e.model.EventCount, e.model.EventInterval, e.model.PrefillTime = eventCount, eventInterval, 90*time.Millisecond
	model := e.model
	announce := func(stage string) {
		e.d.store.Put("servers", model.ID, map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
			"stage": stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 0,
		})
	}
	model.OnStageChange = func(stage string) {
		e.mu.Lock()
		e.stage = stage
		e.mu.Unlock()
		announce(stage)
	}
	announce(e.stage)
	e.server = &http.Server{Handler: model}
	server := e.server
	e.d.record.line("server    %s starts, %s", model.ID, e.stage)
	go func() { _ = server.Serve(listener) }()
}

// crash ends the incarnation without a word. Its entry goes three heartbeats later.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := e.model.ID
	e.d.record.line("server    %s crashes", id)
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { e.d.store.Remove("servers", id) })
}

func (e *engine) decodes() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage == "decode"
}

// takenOver counts the streams that the engine runs and another one has begun.
func (e *engine) takenOver() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, run := range e.model.Runs() {
		if !run.Ended && run.Header.Get("Last-Event-Id") != "" {
			count++
		}
	}
	return count
}
