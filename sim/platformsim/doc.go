// Package platformsim stands in for the platform: an object API with versions,
// conditional updates, watches and rate limits, a lagging machine list and a
// rate-limited weight store.
package platformsim
