// Package answer defines the output of the stand-in engines. The output depends only on
// the model and the prompt, so that a load generator knows which output each caller
// must receive.
package answer
