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
	// importTimeout is the timeout of one KV transfer.
	importTimeout = 30 * time.Second
	// kvBytesPerToken is the size of the padding that represents one token's KV cache.
	kvBytesPerToken = 8
	// exportChunkTokens is the number of tokens that are exported at a time, after a
	// wait for the link's rate limit.
	exportChunkTokens = 256
)

// kvHeader is the first line of an exported KV cache, encoded as JSON.
type kvHeader struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

// Export writes the KV cache of a held prefill result at the rate of the link, and marks
// the result as used.
func (e *Engine) Export(ctx context.Context, w io.Writer, attempt engine.Attempt) error {
	e.mu.Lock()
	s, ok := e.streams[attempt]
	if !ok || s.phase != phaseHeld {
		e.mu.Unlock()
		return notRunError(http.StatusNotFound, api.CodeNotFound, "no such prefill result")
	}
	header := kvHeader{Model: e.options.Model, Prompt: s.prompt, Tokens: engine.CountTokens(s.prompt)}
	e.mu.Unlock()
	if err := json.NewEncoder(w).Encode(header); err != nil {
		return errors.Wrap(err, "write header")
	}
	padding := make([]byte, exportChunkTokens*kvBytesPerToken)
	for remaining := header.Tokens; remaining > 0; remaining -= exportChunkTokens {
		chunk := min(remaining, exportChunkTokens)
		if err := e.linkLimiter.WaitN(ctx, chunk); err != nil {
			return errors.Wrap(err, "wait for link")
		}
		if _, err := w.Write(padding[:chunk*kvBytesPerToken]); err != nil {
			return errors.Wrap(err, "write KV cache")
		}
	}
	e.markUsed(s)
	return nil
}

func (e *Engine) markUsed(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !s.used {
		s.used = true
		e.record(s, EntryPrefillUsed, s.computed)
	}
}

// Decode admits the attempt, imports its KV cache and starts decoding. The stream uses
// a slot from the start of the import, and KV memory from its end.
func (e *Engine) Decode(ctx context.Context, request engine.DecodeRequest) (*stream, error) {
	s := &stream{
		attempt: request.Attempt, holder: request.Holder, role: api.RoleDecode,
		phase: phaseImporting, maxTokens: request.MaxTokens, produced: request.Offset,
	}
	if err := e.reserve(s); err != nil {
		e.record(s, EntryRejected, 0)
		return nil, err
	}
	header, err := e.importKVCache(ctx, s, request)
	if err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.phase == phaseImporting {
			e.remove(s, phaseEnded)
		}
		e.record(s, EntryRejected, 0)
		return nil, notRunError(http.StatusFailedDependency, api.CodeBackendFailed, "KV transfer failed")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.phase == phaseCancelled {
		return nil, notRunError(http.StatusConflict, api.CodeCancelled, "attempt was cancelled")
	}
	s.phase = phaseDecoding
	s.prompt = header.Prompt
	s.kvTokens = header.Tokens
	e.record(s, EntryDecodeStart, 0)
	go e.generate(s)
	return s, nil
}

// reserve admits a decode stream if the engine has a free slot and free KV memory for
// maxTokens. The memory for the prompt is not checked.
func (e *Engine) reserve(s *stream) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	slots, kvTokens := e.usage()
	if slots >= e.options.Slots || kvTokens+s.maxTokens > e.options.KVTokens {
		return notRunError(http.StatusServiceUnavailable, api.CodeNoCapacity, "engine is full")
	}
	return e.admit(s)
}

func (e *Engine) importKVCache(ctx context.Context, s *stream, request engine.DecodeRequest) (kvHeader, error) {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	stopAfterFunc := context.AfterFunc(s.ctx, cancel)
	defer stopAfterFunc()
	target := "http://" + request.SourceAddress + engine.PathKV + "/" + request.ResultID
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return kvHeader{}, errors.Wrap(err, "build request")
	}
	response, err := e.options.HTTP.Do(httpRequest)
	if err != nil {
		return kvHeader{}, errors.Wrap(err, "fetch KV cache")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return kvHeader{}, errors.Newf("status %d", response.StatusCode)
	}
	return readKVCache(response.Body)
}

func readKVCache(body io.Reader) (kvHeader, error) {
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
		return kvHeader{}, errors.Wrap(err, "read KV cache")
	}
	if read != int64(header.Tokens)*kvBytesPerToken {
		return kvHeader{}, errors.New("KV cache is truncated")
	}
	return header, nil
}

// generate adds one token per step until the output is complete or cancelled.
func (e *Engine) generate(s *stream) {
	for {
		sleep(s.ctx, e.stepTime())
		e.mu.Lock()
		if s.phase != phaseDecoding {
			e.mu.Unlock()
			return
		}
		s.produced++
		s.kvTokens++
		ended := s.produced >= s.maxTokens
		if ended {
			e.finish(s)
		}
		s.notify()
		e.mu.Unlock()
		if ended {
			return
		}
	}
}

// finish frees the memory of a completed stream. The stream stays readable for
// StreamRetention.
func (e *Engine) finish(s *stream) {
	s.phase = phaseEnded
	s.kvTokens = 0
	e.finished++
	e.record(s, EntryDecodeDone, s.produced)
	time.AfterFunc(e.options.StreamRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, s.attempt)
	})
}

// stepTime returns the time until the next token for the batch as of now.
func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	slots, _ := e.usage()
	utilization := float64(slots) / float64(max(e.options.Slots, 1))
	return time.Duration((1 + utilization) / 2 * float64(e.options.StepTime))
}

// Resume returns an existing decode stream and sets its holder.
func (e *Engine) Resume(attempt engine.Attempt, holder engine.Holder) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[attempt]
	if !ok || s.role != api.RoleDecode {
		return nil, api.NewError(http.StatusNotFound, api.CodeNotFound, api.OutcomeUnknown, "no such stream")
	}
	s.holder = holder
	return s, nil
}

// Read calls emit for each token from the offset on until the stream ends, and returns
// the length of the whole output.
func (e *Engine) Read(ctx context.Context, s *stream, offset int, emit func(engine.Token) error) (int, error) {
	e.mu.Lock()
	s.readers++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		s.readers--
		e.mu.Unlock()
	}()
	for {
		e.mu.Lock()
		produced, current, changed := s.produced, s.phase, s.changed
		e.mu.Unlock()
		for ; offset < produced; offset++ {
			token := engine.Token{Attempt: s.attempt, Offset: offset, Text: answer.Token(e.options.Model, s.prompt, offset)}
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
