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
	// Backend is the identifier that this backend keeps over its incarnations, and StartedAt when the incarnation started, in
	// Unix milliseconds; empty and zero if unknown.
	Backend   string
	StartedAt int64
	// IsConfirmed is set if the backend itself has stated, after the stream had begun, that it runs since StartedAt.
	IsConfirmed bool
	// IsUndescribed is set if the backend has stated a start that discovery did not describe then. Version is that of
	// an earlier one.
	IsUndescribed bool
}

// Started returns the origin after the backend has been asked for its start, which is zero if it does not state it.
func (o Origin) Started(startedAt int64, hasAnswered bool) Origin {
	switch {
	case !hasAnswered || startedAt == 0:
	case startedAt == o.StartedAt:
		o.IsConfirmed = true
	default:
		o.StartedAt, o.IsUndescribed = startedAt, true
	}
	return o
}
