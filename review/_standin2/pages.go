package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
)

// pageBytes is the greatest size of a page of a list: "a list with `items` (at most about 500 or 1 MB)".
const pageBytes = 1 << 20

// paged has the lists of a store come in pages of the size that PROTOCOL.md states.
type paged struct{ store http.Handler }

func (p paged) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isList := r.Method == http.MethodGet && !r.URL.Query().Has("watch") && len(r.URL.Path) > 0 && countSlashes(r.URL.Path) == 3
	if !isList {
		p.store.ServeHTTP(w, r)
		return
	}
	recorder := httptest.NewRecorder()
	p.store.ServeHTTP(recorder, r)
	var list struct {
		Items []json.RawMessage `json:"items"`
		More  bool              `json:"more"`
		At    int64             `json:"at"`
	}
	if recorder.Code != http.StatusOK || json.Unmarshal(recorder.Body.Bytes(), &list) != nil {
		w.WriteHeader(recorder.Code)
		return
	}
	size := 0
	for i, item := range list.Items {
		if size += len(item); size > pageBytes && i > 0 {
			list.Items, list.More = list.Items[:i], true
			break
		}
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	encoded, _ := json.Marshal(list)
	w.Header().Del("Content-Length")
	_, _ = w.Write(encoded)
}

func countSlashes(path string) int {
	count := 0
	for _, char := range path {
		if char == '/' {
			count++
		}
	}
	return count
}
