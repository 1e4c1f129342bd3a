// Package servicesim implements a stand-in for a plain HTTP service. It echoes every
// call, and records in a ledger the calls that it ran with their idempotency keys.
package servicesim
