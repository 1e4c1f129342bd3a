package streamorigin

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key identifies a stream. It says nothing about the tenant or the attempt to those who do not know them.
type Key [16]byte

// NewKey returns the key of a stream, by its tenant and the identifier of the attempt that brought its first event. Callers
// choose the identifiers, and those of two tenants may be the same.
func NewKey(tenant, attempt string) Key {
	input := binary.AppendUvarint(nil, uint64(len(tenant)))
	input = append(input, tenant...)
	input = append(input, attempt...)
	digest := sha256.Sum256(input)
	return Key(digest[:len(Key{})])
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the backend that sent the first event, as discovery described it then.
	Version string
	// Backend is the identifier that this backend keeps over its incarnations, and StartedAt when the described
	// incarnation started, in Unix milliseconds; empty and zero if unknown.
	Backend   string
	StartedAt int64
	// BeganAt is when the request was sent to the backend, in Unix milliseconds by the node's clock.
	BeganAt int64
	// IsConfirmed is set if the backend itself has stated, after BeganAt, that the described incarnation is the running one.
	IsConfirmed bool
}
