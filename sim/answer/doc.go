// Package answer defines the answers of the stand-in engines. An answer is a
// function of the model and the prompt alone, so that a load generator knows
// what every caller must receive.
package answer
