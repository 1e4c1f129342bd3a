// Package completion serves language-model requests: it requests engines from the
// owner of a pool, has the prompt prefilled, has the KV cache moved to the decode
// engine, and relays the tokens to the caller.
//
// Each request is executed by a run. A run survives the failure of an engine: it
// resumes a broken stream, moves a prefill result that is still kept to another
// decode engine, or continues at other engines from the tokens that the caller has.
// When the caller disconnects, the run cancels at the engines until they
// acknowledge.
package completion
