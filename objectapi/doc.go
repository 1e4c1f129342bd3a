// Package objectapi is the client of the platform's object API, the only place
// where state is persisted and nodes reach agreement.
//
// The API follows the REST conventions of the Kubernetes API (paths, resource
// versions, conditional updates, watches, status codes) as published in its API
// concepts and API conventions pages. Only the subset that reelrun needs is
// implemented.
//
// A call that ends without a definite response may or may not have taken effect.
// Modify resolves such a call by reading the object again.
package objectapi
