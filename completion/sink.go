package completion

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/reelrun/reelrun/api"
)

// writeTimeout is the time after which a caller that does not read counts as
// disconnected.
const writeTimeout = 30 * time.Second

// errCallerDisconnected is returned when the caller's connection has failed.
var errCallerDisconnected = errors.New("completion: caller disconnected")

// sink receives the tokens of a response in order.
type sink interface {
	// token receives the token at the given offset.
	token(offset int, text string) error
	// finish ends a complete response with the given number of tokens.
	finish(tokens int) error
	// fail ends a response that has started. It reports false if nothing has been
	// sent, so that the error can still be the response.
	fail(err *api.Error) bool
}

// identity holds the fields that every part of a response repeats.
type identity struct {
	id    string
	model string
	chat  bool
}

func (i identity) object() string {
	if i.chat {
		return "chat.completion"
	}
	return "text_completion"
}

// choice is the part of an OpenAI completion that carries text.
type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// completionResponse is an OpenAI completion, or one chunk of a streamed
// completion.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

const assistantRole = "assistant"

// streamSink sends the response as server-sent events.
type streamSink struct {
	identity
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
}

func newStreamSink(w http.ResponseWriter, ident identity) *streamSink {
	return &streamSink{identity: ident, w: w, control: http.NewResponseController(w)}
}

func (s *streamSink) token(offset int, text string) error {
	part := choice{Text: text}
	if s.chat {
		part = choice{Delta: &Message{Role: assistantRole, Content: text}}
	}
	chunk := completionResponse{ID: s.id, Object: s.object(), Model: s.model, Choices: []choice{part}}
	data, err := json.Marshal(chunk)
	if err != nil {
		return errors.Wrap(err, "encode chunk")
	}
	return s.send("", strconv.Itoa(offset), string(data))
}

func (s *streamSink) finish(int) error { return s.send("", "", "[DONE]") }

func (s *streamSink) fail(failure *api.Error) bool {
	if !s.started {
		return false
	}
	data, err := json.Marshal(failure)
	if err == nil {
		_ = s.send("error", "", string(data)) // The caller may have disconnected.
	}
	return true
}

func (s *streamSink) send(kind, id, data string) error {
	if !s.started {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.started = true
	}
	message := &sse.Message{}
	message.AppendData(data)
	if kind != "" {
		message.Type = sse.Type(kind)
	}
	if id != "" {
		message.ID = sse.ID(id)
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := message.WriteTo(s.w); err != nil {
		return errors.CombineErrors(errCallerDisconnected, err)
	}
	if err := s.control.Flush(); err != nil {
		return errors.CombineErrors(errCallerDisconnected, err)
	}
	return nil
}

// bufferedSink collects a bounded response and sends it as one JSON object.
type bufferedSink struct {
	identity
	w    http.ResponseWriter
	text strings.Builder
}

func (s *bufferedSink) token(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *bufferedSink) finish(tokens int) error {
	reason := "length"
	part := choice{Text: s.text.String(), FinishReason: &reason}
	if s.chat {
		part = choice{Message: &Message{Role: assistantRole, Content: s.text.String()}, FinishReason: &reason}
	}
	s.w.Header().Set("Content-Type", "application/json")
	complete := completionResponse{ID: s.id, Object: s.object(), Model: s.model, Choices: []choice{part}, Usage: &usage{CompletionTokens: tokens}}
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(writeTimeout)) // Fails only without a connection.
	if err := json.NewEncoder(s.w).Encode(complete); err != nil {
		return errors.CombineErrors(errCallerDisconnected, err)
	}
	return nil
}

func (s *bufferedSink) fail(*api.Error) bool { return false }
