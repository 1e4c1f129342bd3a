package platformsim

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/objectapi"
)

// PathCounts is the path of the call counters.
const PathCounts = "/counts"

// Handler serves the store through the REST object API, the weights and the call counters.
func Handler(store *Store, weights *Weights) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathWeights+"{model}/{version}", weights)
	endpoints := handler{store}
	mux.HandleFunc("GET "+objectapi.BasePath+"{kind}", endpoints.listOrWatch)
	mux.HandleFunc("GET "+objectapi.BasePath+"{kind}/{name}", endpoints.get)
	mux.HandleFunc("PUT "+objectapi.BasePath+"{kind}/{name}", endpoints.put)
	mux.HandleFunc("DELETE "+objectapi.BasePath+"{kind}/{name}", endpoints.remove)
	mux.HandleFunc("GET "+PathCounts, endpoints.counts)
	return mux
}

type handler struct{ store *Store }

func (h handler) get(w http.ResponseWriter, r *http.Request) {
	object, err := h.store.Get(r.Context(), objectapi.Kind(r.PathValue("kind")), r.PathValue("name"))
	reply(w, objectapi.ToDocument(object), err)
}

func (h handler) put(w http.ResponseWriter, r *http.Request) {
	const envelopeBytes = 64 << 10
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectapi.MaxValueBytes+envelopeBytes))
	if err != nil {
		reply(w, nil, objectapi.ErrTooLarge)
		return
	}
	var document objectapi.Document
	if err := json.Unmarshal(body, &document); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	object, err := objectapi.FromDocument(document)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	object.Kind = objectapi.Kind(r.PathValue("kind"))
	object.Name = r.PathValue("name")
	if object.Kind == objectapi.KindMachine {
		h.store.SetMachine(object.Name, object.Spec)
		reply(w, objectapi.ToDocument(object), nil)
		return
	}
	stored, err := h.store.Put(r.Context(), object)
	reply(w, objectapi.ToDocument(stored), err)
}

func (h handler) remove(w http.ResponseWriter, r *http.Request) {
	version, err := objectapi.ParseVersion(r.URL.Query().Get("resourceVersion"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = h.store.Delete(r.Context(), objectapi.Kind(r.PathValue("kind")), r.PathValue("name"), version)
	reply(w, struct{}{}, err)
}

func (h handler) listOrWatch(w http.ResponseWriter, r *http.Request) {
	kind := objectapi.Kind(r.PathValue("kind"))
	if r.URL.Query().Get("watch") == "true" {
		h.watch(w, r, kind)
		return
	}
	objects, revision, err := h.store.List(r.Context(), kind)
	list := objectapi.ListDocument{
		APIVersion: objectapi.APIVersion,
		Metadata:   objectapi.Metadata{ResourceVersion: strconv.FormatInt(revision, 10)},
		Items:      make([]objectapi.Document, len(objects)),
	}
	for i, object := range objects {
		list.Items[i] = objectapi.ToDocument(object)
	}
	reply(w, list, err)
}

func (h handler) watch(w http.ResponseWriter, r *http.Request, kind objectapi.Kind) {
	after, err := objectapi.ParseVersion(r.URL.Query().Get("resourceVersion"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	_ = control.Flush()
	err = h.store.Watch(r.Context(), kind, after, func(event objectapi.Event) {
		line := objectapi.WatchDocument{Type: objectapi.WatchModified, Object: objectapi.ToDocument(event.Object)}
		if event.Deleted {
			line.Type = objectapi.WatchDeleted
		}
		_ = encoder.Encode(line)
		_ = control.Flush()
	})
	if errors.Is(err, objectapi.ErrTooOld) {
		_ = encoder.Encode(objectapi.WatchDocument{Type: objectapi.WatchError})
	}
}

func (h handler) counts(w http.ResponseWriter, _ *http.Request) {
	reply(w, h.store.Counts(), nil)
}

func reply(w http.ResponseWriter, value any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(statusOf(err))
		value = map[string]string{"message": err.Error()}
	}
	_ = json.NewEncoder(w).Encode(value)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, objectapi.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, objectapi.ErrThrottled):
		return http.StatusTooManyRequests
	case errors.Is(err, objectapi.ErrTooOld):
		return http.StatusGone
	case errors.Is(err, objectapi.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}
