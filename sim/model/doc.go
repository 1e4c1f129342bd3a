// Package model is a discrete-event model of separate prefill and decode pools in
// virtual time. It is seeded and deterministic: the same seed gives the same
// bytes. It calls the scheduler package that the router calls, and compares it
// with baselines over the same engines and the same requests.
//
// docs/MODEL.md names its parameters, their units and where they come from.
package model
