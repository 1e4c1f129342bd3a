// Package tasks runs goroutines in the background and waits for them. Unlike with a
// sync.WaitGroup, more goroutines may be started during a wait.
package tasks
