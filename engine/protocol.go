package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/scheduler"
)

// Paths of the protocol. A stream's path is PathStreams/{request}/{attempt}.
const (
	PathPrefill     = "/v1/prefill"
	PathKV          = "/v1/kv"
	PathDecode      = "/v1/decode"
	PathStreams     = "/v1/streams"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrders      = "/v1/orders"
)

// HeaderCallID identifies a call. An engine returns the value that it has received in every response. A response that names another
// call, or none, belongs to another call on the same connection.
const HeaderCallID = "Reelrun-Call-Id"

// Names of the server-sent events of a stream.
const (
	EventToken = "token"
	EventDone  = "done"
	EventError = "error"
)

// Holder names the node that serves the caller of a request.
type Holder struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// Attempt identifies one attempt of a request. A cancelled attempt never runs again.
type Attempt struct {
	RequestID string `json:"request_id"`
	Number    uint32 `json:"attempt"`
}

// String returns the attempt as a path segment pair.
func (a Attempt) String() string {
	return a.RequestID + "/" + strconv.FormatUint(uint64(a.Number), 10)
}

// PrefillRequest asks an engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	Attempt
	Holder   Holder `json:"holder"`
	Model    string `json:"model"`
	Salt     string `json:"salt"`
	Prompt   string `json:"prompt"`
	Priority int    `json:"priority"`
	// MaxTokens is one if the engine is to answer the request without a decode
	// engine.
	MaxTokens int `json:"max_tokens"`
	// Generated is the part of the output that an earlier attempt generated, and
	// Offset its length in tokens. The attempt continues from there.
	Generated string `json:"generated,omitempty"`
	Offset    int    `json:"offset,omitempty"`
	// Seed fixes the sampling, so that another attempt generates the same output.
	Seed uint64 `json:"seed"`
}

// PrefillResult describes a kept KV cache.
type PrefillResult struct {
	// ResultID identifies the result at its engine.
	ResultID string `json:"result_id"`
	// PromptTokens and CachedTokens are the prompt's length and the part of it
	// that came from the prefix cache.
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// HoldMillis is how long the result is kept.
	HoldMillis int64 `json:"hold_ms"`
	// Text is the first token if MaxTokens was one.
	Text string `json:"text,omitempty"`
}

// DecodeRequest asks an engine to import a KV cache and decode from it.
type DecodeRequest struct {
	Attempt
	Holder Holder `json:"holder"`
	// SourceAddress and ResultID identify the prefill result to import.
	SourceAddress string `json:"source_address"`
	ResultID      string `json:"result_id"`
	Model         string `json:"model"`
	// MaxTokens bounds the whole output, including the Offset tokens before this
	// attempt.
	MaxTokens int `json:"max_tokens"`
	Offset    int `json:"offset,omitempty"`
	Priority  int `json:"priority"`
}

// Token is one event of a stream.
type Token struct {
	Attempt
	// Offset counts tokens from zero.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// Done ends a complete stream.
type Done struct {
	Attempt
	// Tokens is the length of the whole output.
	Tokens int    `json:"tokens"`
	Reason string `json:"reason"`
}

// StreamStatus describes a held prefill result or decode stream.
type StreamStatus struct {
	Attempt
	Holder Holder `json:"holder"`
	// Phase is the current phase of the request: "prefill" or "decode".
	Phase api.Role `json:"phase"`
	// Attached is set while a connection reads the stream.
	Attached bool `json:"attached"`
	// KVTokens is the KV cache memory held, in tokens.
	KVTokens int `json:"kv_tokens"`
	// Offset is the number of tokens generated.
	Offset int `json:"offset"`
	// MaxTokens bounds the whole output.
	MaxTokens int `json:"max_tokens"`
}

// Load is an engine's load report, as of some time ago.
type Load struct {
	Role          api.Role `json:"role"`
	Model         string   `json:"model"`
	ModelVersion  string   `json:"model_version"`
	Adapters      []string `json:"adapters"`
	QueuedTokens  int      `json:"queued_tokens"`
	SlotsUsed     int      `json:"slots_used"`
	KVTokensUsed  int      `json:"kv_tokens_used"`
	FinishedTotal int      `json:"finished_total"`
}

// CacheEvent reports that a block of a prompt prefix was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted"`
}

// OrderKind is the setting that an order changes.
type OrderKind string

// The kinds of an Order.
const (
	OrderRole    OrderKind = "role"
	OrderModel   OrderKind = "model"
	OrderAdapter OrderKind = "adapter"
)

// Order changes an engine's role, model version or adapters.
type Order struct {
	// FencingToken increases with each holder of the pool's lease. An engine that
	// checks fencing tokens rejects an order whose token is below the highest one that
	// it has received.
	FencingToken uint64    `json:"fence"`
	ID           string    `json:"id"`
	Kind         OrderKind `json:"kind"`
	Role         api.Role  `json:"role,omitempty"`
	Value        string    `json:"value,omitempty"`
}

// bytesPerToken is the usual estimate of the bytes per token of text in Latin script.
const bytesPerToken = 4

// CountTokens estimates the tokens of a text, rounded up.
func CountTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// BlockTokens is the size of a prefix-cache block.
const BlockTokens = scheduler.BlockTokens

// BlockHashes returns a chain of hashes, one for each full block of the prompt.
// Each depends on all blocks before it and on the salt, so that equal prompts of
// two tenants share no hash.
func BlockHashes(salt, model, prompt string) []uint64 {
	const blockBytes = BlockTokens * bytesPerToken
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	hash := xxhash.New()
	_, _ = hash.WriteString(salt)
	_, _ = hash.WriteString("\x00" + model + "\x00")
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = hash.WriteString(prompt[start : start+blockBytes])
		hashes = append(hashes, hash.Sum64())
	}
	return hashes
}
