// Package enginesim implements a stand-in for a model engine. It serves the protocol
// of package engine over HTTP, in real time or in a synctest bubble, and records in a
// ledger what it ran and for whom. Its report adds the memory that it holds. The
// output comes from package answer.
package enginesim
