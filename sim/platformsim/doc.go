// Package platformsim is an in-memory stand-in for the platform: an object API
// with versions, conditional updates, watches and rate limits, a machine list
// with a propagation delay, and a rate-limited weight store.
package platformsim
