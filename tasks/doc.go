// Package tasks runs goroutines in the background and waits for them. Unlike a
// sync.WaitGroup it can be waited for while more are being started.
package tasks
