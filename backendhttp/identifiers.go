package backendhttp

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// NoIdentifier is the identifier of a request that its response does not name.
const NoIdentifier = ""

// rememberedIdentifiers is how many identifiers a connection remembers. A response that is sent once more stands in place of one of
// the next responses.
const rememberedIdentifiers = 16

// errCarriedBefore means that a connection has carried a request with the same identifier before.
var errCarriedBefore = errors.New("backendhttp: the connection has carried the identifier before")

// recentIdentifiers are the identifiers of the last requests on a connection, as hashes: callers choose identifiers, and may
// choose long ones. The zero value holds none.
type recentIdentifiers struct {
	hashes [rememberedIdentifiers]uint64
	// count is the number of identifiers added so far.
	count int
}

// add adds an identifier, and reports whether it is held already. Another one that has the same hash counts as held.
func (r *recentIdentifiers) add(identifier string) (isHeld bool) {
	if identifier == NoIdentifier {
		return false
	}
	hash := xxhash.Sum64String(identifier)
	if slices.Contains(r.hashes[:min(r.count, rememberedIdentifiers)], hash) {
		return true
	}
	r.hashes[r.count%rememberedIdentifiers] = hash
	r.count++
	return false
}
