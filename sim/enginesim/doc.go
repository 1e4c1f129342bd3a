// Package enginesim implements a stand-in for a model engine. It serves the protocol
// of package engine over HTTP, in real time or in a synctest bubble, and records in a
// ledger what it ran and for which holder. Its report consists of the ledger and the
// memory in use. The generated text comes from package answer.
package enginesim
