// Package objectapi is the client of the platform's object API, the only place
// where anything lasts or is agreed upon.
//
// The API follows the REST conventions of the Kubernetes API (paths, resource
// versions, conditional updates, watches, status codes) as published in its API
// concepts and API conventions pages. Only the part that reelrun needs is
// spoken.
//
// A call that ends without a definite answer may or may not have taken effect.
// Modify resolves such a call by reading the object back.
package objectapi
