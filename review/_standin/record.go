package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run. Each line is written to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  map[string][]string // the servers that ran a request, by its id
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: file, began: time.Now(), runs: map[string][]string{}}
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, values...)
}

func (r *record) write(format string, values ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// ran records that a server has begun to work on a request.
func (r *record) ran(server, id, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], server)
	r.write("run       %s %s at %s", id, what, server)
}

func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, values ...any) {
	r.line(format, values...)
	fmt.Printf(format+"\n", values...)
}

// cannotRun ends the case with 2, after its processes.
func cannotRun(format string, values ...any) {
	fmt.Printf("could not run: "+format+"\n", values...)
	killAll()
	os.Exit(2)
}
