package enginesim

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/sim/answer"
)

const (
	// importTimeout bounds one KV transfer.
	importTimeout = 30 * time.Second
	// kvBytesPerToken is the size of the padding that stands for a token's KV cache.
	kvBytesPerToken = 8
	// exportChunkTokens is the unit of the link's rate limit.
	exportChunkTokens = 256
)

// kvHeader is the first line of an exported KV cache.
type kvHeader struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

// Export writes a held result at the rate of the link and marks it as used.
func (e *Engine) Export(ctx context.Context, w io.Writer, attempt engine.Attempt) error {
	e.mu.Lock()
	held, ok := e.streams[attempt]
	if !ok || held.phase != phaseHeld {
		e.mu.Unlock()
		return refuse(http.StatusNotFound, api.CodeNotFound, "no such prefill result")
	}
	header := kvHeader{Model: e.options.Model, Prompt: held.prompt, Tokens: engine.CountTokens(held.prompt)}
	e.mu.Unlock()
	if err := json.NewEncoder(w).Encode(header); err != nil {
		return errors.Wrap(err, "write header")
	}
	padding := make([]byte, exportChunkTokens*kvBytesPerToken)
	for left := header.Tokens; left > 0; left -= exportChunkTokens {
		chunk := min(left, exportChunkTokens)
		if err := e.link.WaitN(ctx, chunk); err != nil {
			return errors.Wrap(err, "wait for link")
		}
		if _, err := w.Write(padding[:chunk*kvBytesPerToken]); err != nil {
			return errors.Wrap(err, "write cache")
		}
	}
	e.markUsed(held)
	return nil
}

func (e *Engine) markUsed(held *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !held.used {
		held.used = true
		e.record(held, EntryPrefillUsed, held.computed)
	}
}

// Decode reserves a slot and memory, imports the KV cache and starts decoding.
func (e *Engine) Decode(ctx context.Context, request engine.DecodeRequest) (*stream, error) {
	added := &stream{
		attempt: request.Attempt, holder: request.Holder, role: api.RoleDecode,
		phase: phaseImporting, max: request.MaxTokens, produced: request.Offset,
	}
	if err := e.reserve(added); err != nil {
		e.record(added, EntryRefused, 0)
		return nil, err
	}
	header, err := e.importKV(ctx, added, request)
	if err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		if added.phase == phaseImporting {
			e.remove(added, phaseEnded)
		}
		e.record(added, EntryRefused, 0)
		return nil, refuse(http.StatusFailedDependency, api.CodeBackendFailed, "KV transfer failed")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if added.phase == phaseCancelled {
		return nil, refuse(http.StatusConflict, api.CodeCancelled, "attempt was cancelled")
	}
	added.phase = phaseDecoding
	added.prompt = header.Prompt
	added.kvTokens = header.Tokens
	e.record(added, EntryDecodeStart, 0)
	go e.produce(added)
	return added, nil
}

func (e *Engine) reserve(added *stream) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	slots, kvTokens := e.usage()
	if slots >= e.options.Slots || kvTokens+added.max > e.options.KVTokens {
		return refuse(http.StatusServiceUnavailable, api.CodeNoCapacity, "engine is full")
	}
	return e.admit(added)
}

func (e *Engine) importKV(ctx context.Context, added *stream, request engine.DecodeRequest) (kvHeader, error) {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	stop := context.AfterFunc(added.ctx, cancel)
	defer stop()
	target := "http://" + request.SourceAddress + engine.PathKV + "/" + request.ResultID
	fetch, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return kvHeader{}, errors.Wrap(err, "build request")
	}
	response, err := e.options.HTTP.Do(fetch)
	if err != nil {
		return kvHeader{}, errors.Wrap(err, "fetch cache")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return kvHeader{}, errors.Newf("status %d", response.StatusCode)
	}
	return readKV(response.Body)
}

func readKV(body io.Reader) (kvHeader, error) {
	reader := bufio.NewReader(body)
	line, err := reader.ReadBytes('\n')
	if err != nil {
		return kvHeader{}, errors.Wrap(err, "read header")
	}
	var header kvHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return kvHeader{}, errors.Wrap(err, "decode header")
	}
	read, err := io.Copy(io.Discard, reader)
	if err != nil {
		return kvHeader{}, errors.Wrap(err, "read cache")
	}
	if read != int64(header.Tokens)*kvBytesPerToken {
		return kvHeader{}, errors.New("cache is cut short")
	}
	return header, nil
}

// produce adds a token a step until the answer is whole or cancelled.
func (e *Engine) produce(held *stream) {
	for {
		sleep(held.ctx, e.stepTime())
		e.mu.Lock()
		if held.phase != phaseDecoding {
			e.mu.Unlock()
			return
		}
		held.produced++
		held.kvTokens++
		ended := held.produced >= held.max
		if ended {
			e.finish(held)
		}
		held.notify()
		e.mu.Unlock()
		if ended {
			return
		}
	}
}

// finish frees the memory of an ended stream and keeps its text for a while.
func (e *Engine) finish(held *stream) {
	held.phase = phaseEnded
	held.kvTokens = 0
	e.finished++
	e.record(held, EntryDecodeDone, held.produced)
	time.AfterFunc(e.options.StreamRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, held.attempt)
	})
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	slots, _ := e.usage()
	share := float64(slots) / float64(max(e.options.Slots, 1))
	return time.Duration((1 + share) / 2 * float64(e.options.StepTime))
}

// Resume finds a stream to read and gives it a new holder.
func (e *Engine) Resume(attempt engine.Attempt, holder engine.Holder) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.streams[attempt]
	if !ok || held.role != api.RoleDecode {
		return nil, api.NewError(http.StatusNotFound, api.CodeNotFound, api.OutcomeUnknown, "no such stream")
	}
	held.holder = holder
	return held, nil
}

// Read calls emit for each token from the offset on, and returns the length of
// the whole answer.
func (e *Engine) Read(ctx context.Context, held *stream, offset int, emit func(engine.Token) error) (int, error) {
	e.mu.Lock()
	held.attached++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		held.attached--
		e.mu.Unlock()
	}()
	for {
		e.mu.Lock()
		produced, current, changed := held.produced, held.phase, held.changed
		e.mu.Unlock()
		for ; offset < produced; offset++ {
			token := engine.Token{Attempt: held.attempt, Offset: offset, Text: answer.Token(e.options.Model, held.prompt, offset)}
			if err := emit(token); err != nil {
				return 0, err
			}
		}
		switch current {
		case phaseEnded:
			return produced, nil
		case phaseCancelled:
			return 0, api.NewError(http.StatusGone, api.CodeCancelled, api.OutcomeRan, "stream was cancelled")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}
