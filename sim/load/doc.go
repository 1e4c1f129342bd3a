// Package load is a load generator: it sends a mix of requests to a fleet, and
// checks the responses against the ledgers of the stand-in engines and services.
package load
