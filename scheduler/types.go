package scheduler

import "time"

// Request is the scheduler's view of a request.
type Request struct {
	ID     string
	Tenant string
	// Weight is the tenant's share under contention.
	Weight float64
	// Arrival is when the request reached the router.
	Arrival      time.Duration
	PromptTokens int
	MaxTokens    int
	// FirstToken is the target of the request's class for the time from the arrival to the first
	// token, and TokenInterval that for the time between tokens.
	FirstToken    time.Duration
	TokenInterval time.Duration
	// LateAllowed admits the request even if its first token will be late.
	LateAllowed bool
	// Prefixes are the hashes of the prompt's blocks, see engine.BlockHashes.
	Prefixes []uint64
	// Excluded are engines that have failed this request.
	Excluded []string
}

// Deadline is when the first token is due.
func (r *Request) Deadline() time.Duration { return r.Arrival + r.FirstToken }

// IsPrefillOnly reports whether the request ends with the token that the prefill itself yields, so
// that no KV transfer is needed.
func (r *Request) IsPrefillOnly() bool { return r.MaxTokens <= 1 }

func (r *Request) excludes(engine string) bool {
	for _, excluded := range r.Excluded {
		if excluded == engine {
			return true
		}
	}
	return false
}

// StepModel predicts the time of one decode step.
type StepModel struct {
	// Base is the time of a step with an empty batch.
	Base time.Duration
	// PerRequest is added for each request in the batch.
	PerRequest time.Duration
	// PerContextToken is added for each token of context in the batch.
	PerContextToken time.Duration
}

// Time returns the step time for a batch with the given context.
func (m StepModel) Time(batch, contextTokens int) time.Duration {
	return m.Base + time.Duration(batch)*m.PerRequest + time.Duration(contextTokens)*m.PerContextToken
}

// PrefillState is a prefill engine in a snapshot.
type PrefillState struct {
	Name  string
	Ready bool
	// TokensPerSecond is the prefill rate.
	TokensPerSecond float64
	// FreeAt is when the prefills granted so far are predicted to end.
	FreeAt time.Duration
	// LinkFreeAt is when the transfers granted so far are predicted to end.
	LinkFreeAt time.Duration
}

// DecodeState is a decode engine in a snapshot.
type DecodeState struct {
	Name  string
	Ready bool
	// Slots is the limit on its concurrent requests, and KVTokens that on its KV memory in tokens.
	Slots    int
	KVTokens int
	Step     StepModel
	// SlotsUsed and KVUsed are the resources of granted requests.
	SlotsUsed int
	KVUsed    int
	// CompletionRate is how many of its requests are expected to end per second.
	CompletionRate float64
}

// Backlog is the amount of work that will be granted before a request.
type Backlog struct {
	Requests      int
	PrefillTokens int
}

// Snapshot is a pool at one moment. Decide does not modify it.
type Snapshot struct {
	Now     time.Duration
	Prefill []PrefillState
	Decode  []DecodeState
	// Reserved is the number of slots reserved for requests that are not yet at a decode engine.
	Reserved int
	// LinkTokensPerSecond is the rate of a KV transfer.
	LinkTokensPerSecond float64
	// Ahead is the work that will be granted before the request.
	Ahead Backlog
	// Index tracks the cached prefixes. It may be nil.
	Index *PrefixIndex
}

// Kind is the kind of a Decision.
type Kind int

// Kinds of decisions.
const (
	// KindWait leaves the request in the queue.
	KindWait Kind = iota
	// KindPrefill grants a prefill engine.
	KindPrefill
	// KindDecode grants a decode engine to a request whose prefill has ended.
	KindDecode
	// KindReject rejects the request.
	KindReject
)

// Reason is why a request was rejected.
type Reason string

// Reasons for a rejection.
const (
	ReasonNoEngine Reason = "no engine can take the request"
	ReasonTooLarge Reason = "no decode engine has the memory for the request"
	ReasonDeadline Reason = "the first token cannot be in time"
)

// Decision is the scheduling decision for one request.
type Decision struct {
	Kind      Kind
	RequestID string
	// Prefill and Decode name the granted engine.
	Prefill string
	Decode  string
	// CachedTokens is the predicted prefix-cache hit.
	CachedTokens int
	// FirstToken is the predicted time of the first token.
	FirstToken time.Duration
	// RetryAfter and Reason are set for a rejection.
	RetryAfter time.Duration
	Reason     Reason
}
