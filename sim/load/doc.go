// Package load sends a mix of requests to a fleet as its callers would, and
// judges what they received against the stand-ins' ledgers.
package load
