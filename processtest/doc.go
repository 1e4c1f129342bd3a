// Package processtest holds the tests that need real processes: kills, pauses
// and planned stops by signals. It has no other code.
package processtest
