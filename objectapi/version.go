package objectapi

// revisionBits is the number of bits of a version that hold the revision: a store that makes 5,000 writes a second needs
// seven years for as many.
const revisionBits = 40

// MaxEpoch is the highest epoch that a version holds.
const MaxEpoch = 1<<(63-revisionBits) - 1

// NewVersion returns the version of an object that a store wrote at a revision. The epoch counts how often the store has
// been restored from a copy: it then gives out revisions again, so that these alone do not tell which object is newer.
func NewVersion(epoch, revision int64) int64 { return epoch<<revisionBits + revision }

// EpochOf returns the epoch of a version.
func EpochOf(version int64) int64 { return version >> revisionBits }

// RevisionOf returns the revision of a version.
func RevisionOf(version int64) int64 { return version & (1<<revisionBits - 1) }
