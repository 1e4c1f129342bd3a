// Package processtest contains the tests that need real processes: it kills, freezes
// and stops them by signals. It has no other code.
package processtest
