// Package completion serves language-model requests: it asks the owner of a pool
// for engines, has the prompt prefilled, has the KV cache moved to the decode
// engine, and relays the tokens to the caller.
//
// One request is followed by a run. A run survives the failure of an engine: it
// resumes a broken stream, moves a prefill result that still lives to another
// decode engine, and continues elsewhere from the tokens that the caller has.
// When the caller goes, the run cancels at the engines until they acknowledge.
package completion
