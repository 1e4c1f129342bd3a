package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamed is a stream of a client, over its tries.
type streamed struct {
	id          string
	began       bool
	resumed     bool // the client takes it up again
	wentOn      bool // a later try brought an event
	whole       bool
	resumeCodes []int
}

// streamLoad is the clients' traffic of a route of streams that may be resumed.
type streamLoad struct {
	fleet *fleet
	path  string
	mu    sync.Mutex
	all   []*streamed
	group sync.WaitGroup
}

// Figures of fault-class on the sheet of amrc-reelrun.
const (
	streamDeadline = 14 * time.Second
	promptTokens   = 5200
	promptBytes    = 5000
	// streamTries is how often a client asks in all: once, and then to take its stream up.
	streamTries = 4
)

func (l *streamLoad) run(ctx context.Context, perSecond float64) {
	for ctx.Err() == nil {
		l.group.Go(l.stream)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(mathrand.ExpFloat64() / perSecond * float64(time.Second))):
		}
	}
}

// stream is one stream of a client: if it breaks off, the client takes it up again at another node, inside its deadline.
func (l *streamLoad) stream() {
	s := &streamed{}
	until := time.Now().Add(streamDeadline)
	prompt := fmt.Sprintf("%s:200,%s:%d", []string{"5c1e07a2", "91bd3f06", "e4402b7d"}[mathrand.IntN(3)], newID(), promptTokens-200)
	body := bytes.Repeat([]byte(newID()), promptBytes/16)
	zone := zones[mathrand.IntN(len(zones))]
	last := 0
	resumes := ""
	for try := 0; try < streamTries && time.Until(until) > 100*time.Millisecond; try++ {
		id := newID()
		if try == 0 {
			s.id = id
		}
		got := l.try(id, resumes, zone, prompt, body, last, until)
		if got.events > 0 {
			last = got.last
			if resumes == "" {
				resumes = id
			} else {
				s.wentOn = true
			}
		}
		if try == 0 {
			s.began = got.events > 0
		}
		if s.resumed {
			s.resumeCodes = append(s.resumeCodes, got.status)
		}
		if got.whole {
			s.whole = true
			break
		}
		if resumes == "" {
			break // it has not begun
		}
		s.resumed = true
		if left := time.Until(until); got.retryAfter > 0 {
			time.Sleep(min(got.retryAfter, left/3))
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, s)
}

type streamAnswer struct {
	status, events, last int
	whole                bool
	retryAfter           time.Duration
}

func (l *streamLoad) try(id, resumes, zone, prompt string, body []byte, last int, until time.Time) (got streamAnswer) {
	target := l.fleet.pick(zone, mathrand.IntN(1<<30))
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.front+l.path, bytes.NewReader(body))
	request.Host, request.GetBody = routeHost, nil
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", promptTokens, eventCount))
	request.Header.Set("X-Prompt-Prefix", prompt)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(until).Milliseconds(), 10))
	if resumes != "" {
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
		request.Header.Set("Resumes", resumes)
	}
	l.fleet.record.line("sent      %s stream to %s, after event %d of %s", id, target.name, last, resumes)
	began := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		l.fleet.record.line("answered  %s nothing: %s", id, errorText(err))
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		got.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if got.status != http.StatusOK {
		line, _ := bufio.NewReader(response.Body).ReadString('\n')
		l.fleet.record.line("answered  %s %d %q, Retry-After %v, after %d ms", id, got.status, strings.TrimSpace(line), got.retryAfter, time.Since(began).Milliseconds())
		return got
	}
	lines := bufio.NewScanner(response.Body)
	number, inEvent := 0, false
	for lines.Scan() {
		text := lines.Text()
		if text == "" && inEvent {
			got.events++
			got.last, inEvent = number, false
			continue
		}
		if value, found := strings.CutPrefix(text, "id: "); found {
			number, _ = strconv.Atoi(value)
			inEvent = true
		}
	}
	got.whole = lines.Err() == nil && !inEvent && got.last == eventCount
	l.fleet.record.line("answered  %s 200, %d events up to %d, whole %v, after %d ms", id, got.events, got.last, got.whole, time.Since(began).Milliseconds())
	return got
}

// shares returns how many streams were begun anew, how many of them began, how many were taken up again and how many of
// these went on.
func (l *streamLoad) shares() (anew, began, resumed, wentOn int, codes map[int]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	codes = map[int]int{}
	for _, s := range l.all {
		anew++
		if s.began {
			began++
		}
		if s.resumed {
			resumed++
			if s.wentOn {
				wentOn++
			}
			for _, code := range s.resumeCodes {
				codes[code]++
			}
		}
	}
	return anew, began, resumed, wentOn, codes
}
