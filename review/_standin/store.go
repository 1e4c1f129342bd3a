package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store"). It keeps the
// spec of an object byte for byte.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object
	history  []change
	changed  chan struct{}
}

type object struct {
	name           string
	revision, made int64
	spec           json.RawMessage
	status         json.RawMessage
}

type change struct {
	kind string
	gone bool
	object
}

const maxObjectBytes = 1 << 20 // value_bytes

func newStore() *store {
	return &store{objects: map[string]map[string]*object{}, changed: make(chan struct{})}
}

func (o object) encode() []byte {
	var b bytes.Buffer
	name, _ := json.Marshal(o.name)
	b.WriteString(`{"metadata":{"name":`)
	b.Write(name)
	b.WriteString(`,"revision":` + strconv.FormatInt(o.revision, 10) + `,"made":` + strconv.FormatInt(o.made, 10) + `,"finalizers":[],"deleting":false},"spec":`)
	b.Write(orNull(o.spec))
	b.WriteString(`,"status":`)
	b.Write(orNull(o.status))
	b.WriteString(`}`)
	return b.Bytes()
}

func orNull(raw json.RawMessage) []byte {
	if len(raw) == 0 {
		return []byte("null")
	}
	return raw
}

// put writes an object; the lock is held.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	before := s.objects[kind][name]
	if before != nil && bytes.Equal(before.spec, spec) {
		return *before
	}
	s.revision++
	o := object{name: name, revision: s.revision, made: s.revision, spec: spec}
	if before != nil {
		o.made, o.status = before.made, before.status
	}
	s.objects[kind][name] = &o
	s.note(change{kind, false, o})
	return o
}

func (s *store) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := *o
	gone.revision = s.revision
	s.note(change{kind, true, gone})
}

func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put and Remove are the writes of the operator, of servers and of other writers.
func (s *store) Put(kind, name string, spec any) {
	raw, isRaw := spec.(json.RawMessage)
	if !isRaw {
		raw, _ = json.Marshal(spec)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

func (s *store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, found := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[kind][name]
		s.mu.Unlock()
		if o == nil {
			answer(w, http.StatusNotFound, []byte("{}"))
			return
		}
		answer(w, http.StatusOK, o.encode())
	default:
		s.write(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b bytes.Buffer
	b.WriteString(`{"items":[`)
	more := false
	for i, name := range names {
		if i == 500 || i > 0 && b.Len() > maxObjectBytes {
			more = true
			break
		}
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(s.objects[kind][name].encode())
	}
	b.WriteString(`],"more":` + strconv.FormatBool(more) + `,"at":` + strconv.FormatInt(s.revision, 10) + `}`)
	s.mu.Unlock()
	answer(w, http.StatusOK, b.Bytes())
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var b bytes.Buffer
		count := 0
		b.WriteString(`{"events":[`)
		for _, c := range s.history {
			if c.kind != kind || c.revision <= after {
				continue
			}
			if count > 0 {
				b.WriteByte(',')
			}
			count++
			b.WriteString(`{"gone":` + strconv.FormatBool(c.gone) + `,"object":`)
			b.Write(c.encode())
			b.WriteByte('}')
		}
		b.WriteString(`],"at":` + strconv.FormatInt(max(after, s.revision), 10) + `}`)
		changed := s.changed
		s.mu.Unlock()
		if count > 0 {
			answer(w, http.StatusOK, b.Bytes())
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			answer(w, http.StatusOK, b.Bytes())
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	if r.Method != http.MethodDelete {
		raw, err := io.ReadAll(io.LimitReader(r.Body, 2*maxObjectBytes))
		if err != nil || json.Unmarshal(raw, &body) != nil || len(body.Spec) > maxObjectBytes {
			answer(w, http.StatusBadRequest, []byte("{}"))
			return
		}
	}
	expected := body.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expected, _ = strconv.ParseInt(q, 10, 64)
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	if name == "" {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	before := s.objects[kind][name]
	status, result := http.StatusOK, []byte("{}")
	switch {
	case before != nil && (r.Method == http.MethodPost || expected != 0 && expected != before.revision):
		status, result = http.StatusConflict, before.encode()
	case before == nil && r.Method != http.MethodPost:
		status = http.StatusNotFound
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
	case isStatus:
		o := *before
		s.revision++
		o.revision, o.status = s.revision, body.Status
		s.objects[kind][name] = &o
		s.note(change{kind, false, o})
		result = o.encode()
	default:
		result = s.put(kind, name, body.Spec).encode()
	}
	s.mu.Unlock()
	answer(w, status, result)
}
