// Package enginesim stands in for a model engine. It speaks the protocol of
// package engine over HTTP, in real time or in a synctest bubble, and keeps a
// ledger of what it ran, for whom, and what memory it holds. The answers come
// from package answer.
package enginesim
