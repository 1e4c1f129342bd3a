package enginesim

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
)

// PathLedger is the HTTP path of the ledger.
const PathLedger = "/ledger"

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// Handler returns a handler that serves the protocol of package engine, the ledger and
// the timeline.
func Handler(served *Engine) http.Handler {
	h := handler{served}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathPrefill, h.prefill)
	mux.HandleFunc("GET "+engine.PathKV+"/{request}/{attempt}", h.export)
	mux.HandleFunc("POST "+engine.PathDecode, h.decode)
	mux.HandleFunc("GET "+engine.PathStreams, h.streams)
	mux.HandleFunc("GET "+engine.PathStreams+"/{request}/{attempt}", h.resume)
	mux.HandleFunc("POST "+engine.PathStreams+"/{request}/{attempt}/cancel", h.cancel)
	mux.HandleFunc("GET "+engine.PathLoad, h.load)
	mux.HandleFunc("GET "+engine.PathCacheEvents, h.cacheEvents)
	mux.HandleFunc("POST "+engine.PathOrders, h.order)
	mux.HandleFunc("GET "+PathLedger, h.ledger)
	mux.HandleFunc("GET "+PathTimeline, h.timeline)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if callID := r.Header.Get(engine.HeaderCallID); callID != "" {
			w.Header().Set(engine.HeaderCallID, callID)
		}
		mux.ServeHTTP(w, r)
	})
}

type handler struct{ engine *Engine }

func (h handler) prefill(w http.ResponseWriter, r *http.Request) {
	var request engine.PrefillRequest
	if !decodeJSONBody(w, r, &request) {
		return
	}
	result, err := h.engine.Prefill(r.Context(), request)
	respond(w, result, err)
}

func (h handler) export(w http.ResponseWriter, r *http.Request) {
	attempt, ok := pathAttempt(w, r)
	if !ok {
		return
	}
	err := h.engine.Export(r.Context(), w, attempt)
	var apiError *api.Error
	if errors.As(err, &apiError) {
		apiError.WriteHTTP(w)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (h handler) decode(w http.ResponseWriter, r *http.Request) {
	var request engine.DecodeRequest
	if !decodeJSONBody(w, r, &request) {
		return
	}
	s, err := h.engine.Decode(r.Context(), request)
	if err != nil {
		respond(w, nil, err)
		return
	}
	h.sendEvents(w, r, s, request.Offset)
}

func (h handler) resume(w http.ResponseWriter, r *http.Request) {
	attempt, ok := pathAttempt(w, r)
	if !ok {
		return
	}
	query := r.URL.Query()
	offset, err := strconv.Atoi(query.Get("offset"))
	if err != nil || offset < 0 {
		notRunError(http.StatusBadRequest, api.CodeInvalidRequest, "bad offset").WriteHTTP(w)
		return
	}
	incarnation, err := strconv.ParseUint(query.Get("incarnation"), 10, 64)
	if err != nil {
		notRunError(http.StatusBadRequest, api.CodeInvalidRequest, "bad incarnation").WriteHTTP(w)
		return
	}
	s, err := h.engine.Resume(attempt, engine.Holder{Node: query.Get("node"), Incarnation: incarnation})
	if err != nil {
		respond(w, nil, err)
		return
	}
	h.sendEvents(w, r, s, offset)
}

// sendEvents sends the tokens of a stream as server-sent events.
func (h handler) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	send := func(kind string, value any) error {
		data, err := json.Marshal(value)
		if err != nil {
			return errors.Wrap(err, "encode event")
		}
		message := &sse.Message{Type: sse.Type(kind)}
		message.AppendData(string(data))
		if _, err := message.WriteTo(w); err != nil {
			return errors.Wrap(err, "write event")
		}
		return controller.Flush()
	}
	total, err := h.engine.Read(r.Context(), s, offset, func(token engine.Token) error { return send(engine.EventToken, token) })
	var apiError *api.Error
	switch {
	case err == nil:
		_ = send(engine.EventDone, engine.Done{Attempt: s.attempt, Tokens: total, Reason: "length"})
	case errors.As(err, &apiError):
		_ = send(engine.EventError, apiError)
	}
}

func (h handler) cancel(w http.ResponseWriter, r *http.Request) {
	attempt, ok := pathAttempt(w, r)
	if !ok {
		return
	}
	h.engine.Cancel(attempt)
	respond(w, struct{}{}, nil)
}

func (h handler) streams(w http.ResponseWriter, _ *http.Request) {
	respond(w, h.engine.Streams(), nil)
}

func (h handler) load(w http.ResponseWriter, _ *http.Request) { respond(w, h.engine.Load(), nil) }

func (h handler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		notRunError(http.StatusBadRequest, api.CodeInvalidRequest, "bad sequence number").WriteHTTP(w)
		return
	}
	respond(w, h.engine.CacheEvents(after), nil)
}

func (h handler) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !decodeJSONBody(w, r, &order) {
		return
	}
	respond(w, struct{}{}, h.engine.ExecuteOrder(r.Context(), order))
}

func (h handler) ledger(w http.ResponseWriter, _ *http.Request) { respond(w, h.engine.Report(), nil) }

func (h handler) timeline(w http.ResponseWriter, _ *http.Request) {
	respond(w, h.engine.Timeline(), nil)
}

func pathAttempt(w http.ResponseWriter, r *http.Request) (engine.Attempt, bool) {
	const decimal, bits = 10, 32
	number, err := strconv.ParseUint(r.PathValue("attempt"), decimal, bits)
	if err != nil {
		notRunError(http.StatusBadRequest, api.CodeInvalidRequest, "bad attempt").WriteHTTP(w)
		return engine.Attempt{}, false
	}
	return engine.Attempt{RequestID: r.PathValue("request"), Number: uint32(number)}, true
}

func decodeJSONBody(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value)
	if err != nil {
		notRunError(http.StatusBadRequest, api.CodeInvalidRequest, "malformed body").WriteHTTP(w)
		return false
	}
	return true
}

func respond(w http.ResponseWriter, value any, err error) {
	switch {
	case errors.Is(err, context.Canceled):
		panic(http.ErrAbortHandler)
	case err != nil:
		api.AsError(err, api.OutcomeUnknown).WriteHTTP(w)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	}
}
