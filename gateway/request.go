package gateway

import (
	"net/http"
	"time"

	"github.com/reelrun/reelrun/tenant"
)

// Request is a caller's request in the form that backends receive.
type Request struct {
	// ID is the caller's identifier of this attempt.
	ID     string
	Method string
	Host   string
	// URI is the path and query, unchanged.
	URI string
	// Header holds the end-to-end headers, which are passed on.
	Header http.Header
	// Credential is what the caller presented; it is not part of Header.
	Credential tenant.Credential
	// Tenant is the name of the caller's tenant, for backends; empty if there is none.
	Tenant string
	Body   []byte
	// Timeout is how long the caller waits, measured from the request's arrival; zero if the request does
	// not state it.
	Timeout time.Duration
	// Generation describes a request to an engine; zero for other requests.
	Generation Generation
}

// Generation is the size of a request to an engine, in tokens.
type Generation struct {
	PromptTokens int
	// MaxOutputTokens bounds the output.
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate; zero if there is none.
	ExpectedOutputTokens int
	// LastEventID is the last event that the caller has received, if it resumes a stream.
	LastEventID string
	// SharedParts identify the parts of the prompt that other requests may have too, in their order.
	SharedParts []string
	// Resumes identifies the attempt that brought the caller the first event of the stream that it resumes; empty if
	// it resumes none, or does not state that attempt.
	Resumes string
}

// resumesStream reports whether the caller resumes a stream that an earlier attempt began.
func (g Generation) resumesStream() bool { return g.Resumes != "" || g.LastEventID != "" }
