// Package answer defines the answers of the stand-in engines. An answer depends only on
// the model and the prompt, so that a load generator knows which answer each caller
// must receive.
package answer
