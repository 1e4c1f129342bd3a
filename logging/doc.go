// Package logging writes structured log lines at a bounded rate and never blocks
// the caller. Lines beyond the rate are dropped and counted by message; if the
// output blocks, lines are lost, but the process continues.
package logging
