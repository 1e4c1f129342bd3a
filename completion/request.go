package completion

import (
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/filter"
)

// Headers of a request.
const (
	// HeaderClass names the request class.
	HeaderClass = "Reelrun-Class"
	// HeaderKey identifies the request, so that a second arrival takes it over.
	HeaderKey = "Idempotency-Key"
	// HeaderLastEvent is the offset of the last token that the caller has received.
	HeaderLastEvent = "Last-Event-ID"
)

const maxKeyBytes = 128

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Body is the request body, in the form of the OpenAI completions API.
type Body struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// parsedRequest is a validated request.
type parsedRequest struct {
	class     *api.Class
	prompt    string
	maxTokens int
	stream    bool
	chat      bool
	key       string
	// digest is the SHA-256 digest of the body.
	digest []byte
	// next is the offset of the first token that the caller has not received.
	next int
}

func invalid(format string, args ...any) error {
	return api.NewError(http.StatusBadRequest, api.CodeInvalidRequest, api.OutcomeNotRun, format, args...)
}

func parse(r *http.Request, exchange *filter.Exchange, chat bool) (*parsedRequest, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, api.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, api.OutcomeNotRun, "the body exceeds %d bytes", tooLarge.Limit)
		}
		return nil, invalid("the body could not be read")
	}
	var body Body
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, invalid("the body is not valid JSON of the expected form")
	}
	request := &parsedRequest{prompt: body.Prompt, stream: body.Stream, chat: chat, key: r.Header.Get(HeaderKey)}
	if chat {
		request.prompt = chatPrompt(body.Messages)
	}
	if err := request.fill(r, exchange, body); err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	request.digest = sum[:]
	return request, nil
}

func (p *parsedRequest) fill(r *http.Request, exchange *filter.Exchange, body Body) error {
	if p.prompt == "" {
		return invalid("the prompt is empty")
	}
	if len(p.key) > maxKeyBytes {
		return invalid("%s exceeds %d bytes", HeaderKey, maxKeyBytes)
	}
	class, err := chooseClass(exchange, r.Header.Get(HeaderClass), body.Model)
	if err != nil {
		return err
	}
	p.class = class
	if tokens := engine.CountTokens(p.prompt); tokens > class.MaxPromptTokens {
		return api.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, api.OutcomeNotRun, "the prompt has %d tokens, the class allows %d", tokens, class.MaxPromptTokens)
	}
	if body.MaxTokens < 0 {
		return invalid("max_tokens is negative")
	}
	p.maxTokens = class.MaxOutputTokens
	if body.MaxTokens > 0 {
		p.maxTokens = min(body.MaxTokens, class.MaxOutputTokens)
	}
	return p.parseLastEvent(r.Header.Get(HeaderLastEvent))
}

func (p *parsedRequest) parseLastEvent(text string) error {
	if text == "" {
		return nil
	}
	last, err := strconv.Atoi(text)
	if err != nil || last < 0 {
		return invalid("%s is not an offset", HeaderLastEvent)
	}
	p.next = last + 1
	return nil
}

// chooseClass returns the named class, the tenant's first class of the model, or
// its first class.
func chooseClass(exchange *filter.Exchange, name, model string) (*api.Class, error) {
	tenant := exchange.Tenant
	if name != "" && !slices.Contains(tenant.Classes, name) {
		return nil, api.NewError(http.StatusForbidden, api.CodeForbidden, api.OutcomeNotRun, "the class is not open to this tenant")
	}
	for _, candidate := range tenant.Classes {
		class, ok := exchange.Snapshot.Class(candidate)
		if !ok || (name != "" && candidate != name) || (model != "" && class.Model != model) {
			continue
		}
		return class, nil
	}
	return nil, api.NewError(http.StatusNotFound, api.CodeUnknownModel, api.OutcomeNotRun, "no class of this tenant serves the model")
}

func chatPrompt(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}
