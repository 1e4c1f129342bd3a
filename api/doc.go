// Package api holds the types that every other package shares: the objects an
// operator configures, the typed errors a caller receives, and the validation
// that reports every finding with its place.
//
// The package performs no I/O and imports no other package of this module.
package api
