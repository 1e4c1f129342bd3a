// Package modelcheck compares the emulator's model with the stand-in engines: the
// same trace is played by the model and by real nodes in front of stand-in engines
// of the same properties, and the differences are reported.
//
// It says how well the model fits the stand-ins, not how well either fits an engine
// on an accelerator.
package modelcheck
