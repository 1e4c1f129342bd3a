// Package modelcheck compares the discrete-event model with the stand-in engines: it
// runs the same trace on the model and on real nodes with stand-in engines of the same
// properties, and reports the results of both.
//
// It shows how well the model matches the stand-in engines, not how well either
// matches an engine on an accelerator.
package modelcheck
