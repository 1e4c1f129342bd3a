package gateway

import (
	"net/http"
	"time"

	"github.com/reelrun/reelrun/tenant"
)

// Request is a caller's request as back ends are to receive it.
type Request struct {
	// ID is the caller's name of this attempt.
	ID     string
	Method string
	Host   string
	// URI is the path and query, unchanged.
	URI string
	// Header holds the headers that are passed on.
	Header http.Header
	// Credential is what the caller presented; Header does not hold it.
	Credential tenant.Credential
	// Tenant is the name of the caller's tenant, for back ends; empty where there is none.
	Tenant string
	Body   []byte
	// Timeout is how long the caller waits, counted from the request's arrival; zero
	// if it did not say.
	Timeout time.Duration
	// Generation is what is asked of an engine; zero for other requests.
	Generation Generation
}

// Generation is the size of a request to an engine, in tokens.
type Generation struct {
	PromptTokens int
	// MaxOutputTokens bounds the answer.
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate; zero if there is none.
	ExpectedOutputTokens int
	// LastEventID is set where the caller takes up a stream again.
	LastEventID string
}
