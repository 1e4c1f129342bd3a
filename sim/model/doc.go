// Package model is a discrete-event simulation of separate prefill and decode pools
// in virtual time. It is seeded and deterministic: the same seed gives byte-identical
// output. It uses the scheduler package of the router, and compares it with baseline
// policies on the same engines and the same requests.
//
// docs/MODEL.md lists its parameters with their units and sources.
package model
