// Package servicesim stands in for a plain HTTP service. It answers every call
// with what it received, and keeps a ledger of the keys it ran.
package servicesim
