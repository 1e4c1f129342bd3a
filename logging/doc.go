// Package logging writes structured lines that cost a bounded amount and never
// hold anyone up: lines beyond a rate are dropped and counted by their message,
// and a reader that stops reading loses lines, nothing else.
package logging
