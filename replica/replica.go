package replica

import (
	"encoding/binary"
	"iter"
	"math/bits"
	"slices"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/reelrun/reelrun/objectapi"
)

// maxTombstones bounds the remembered deletions. Those with the lowest versions are dropped first, so that
// all replicas drop the same ones.
const maxTombstones = 4096

// BucketCount is the number of buckets. Replicas that differ are compared by bucket, so that few versions
// are exchanged for few differences.
const BucketCount = 64

// PartCount is the number of parts of a bucket. Buckets that differ are compared by part before versions
// are exchanged, so that few versions are exchanged for one difference even where a bucket holds hundreds
// of objects.
const PartCount = 32

// PartSet is a bit set of part numbers of a bucket.
type PartSet uint32

// AllParts contains all parts of a bucket.
const AllParts = ^PartSet(0)

// Section is a set of parts of one bucket.
type Section struct {
	Bucket int
	Parts  PartSet
}

// WholeBuckets returns the sections that cover all parts of the given buckets.
func WholeBuckets(buckets []int) []Section {
	sections := make([]Section, len(buckets))
	for i, bucket := range buckets {
		sections[i] = Section{Bucket: bucket, Parts: AllParts}
	}
	return sections
}

// UrgentBucket holds the objects of the urgent kind and no others, so that a node that has none of them yet
// can compare them first.
const UrgentBucket = 0

// Key identifies an object.
type Key struct {
	Kind objectapi.Kind
	Name string
}

// Record is one version of an object.
type Record struct {
	Object objectapi.Object
	// Deleted marks a deletion; the object then has no content.
	Deleted bool
}

// Key returns the key of the record's object.
func (r Record) Key() Key { return Key{r.Object.Kind, r.Object.Name} }

// Source is where a change came from.
type Source string

// Sources of changes.
const (
	SourceStore Source = "store"
	SourcePeer  Source = "peer"
)

// Change is a newer version of an object that was applied.
type Change struct {
	Record Record
	Source Source
	// New is set if the replica had no live version of the object before.
	New bool
}

// Replica holds the newest known version of each object. It is safe for concurrent use.
type Replica struct {
	// onChange is called for each change, one at a time and in the order in which they were applied.
	onChange func(Change)
	// urgent is the kind of the objects in UrgentBucket.
	urgent objectapi.Kind

	// notifyMu is held by the goroutine that reports changes. mu may be locked while it is held, but not the
	// other way round.
	notifyMu sync.Mutex

	mu         sync.Mutex
	buckets    [BucketCount]bucket
	tombstones int
	// pending holds the applied changes that have not been reported yet, in order.
	pending []Change
}

// bucket holds the objects of one bucket.
type bucket struct {
	records map[Key]Record
	// parts holds a digest for each part. Parts with the same versions have equal digests.
	parts [PartCount]uint64
}

// digest returns the digest of the bucket. Buckets with the same versions have equal digests.
func (b *bucket) digest() uint64 {
	var digest uint64
	for _, part := range b.parts {
		digest ^= part
	}
	return digest
}

// New returns an empty replica that calls changed for each change. The function must not call the replica.
// All replicas of a fleet use the same urgent kind; it may be empty.
func New(urgent objectapi.Kind, changed func(Change)) *Replica {
	r := &Replica{onChange: changed, urgent: urgent}
	for i := range r.buckets {
		r.buckets[i].records = map[Key]Record{}
	}
	return r
}

// allRecords iterates over all records; mu must be held.
func (r *Replica) allRecords() iter.Seq2[Key, Record] {
	return func(yield func(Key, Record) bool) {
		for i := range r.buckets {
			for key, record := range r.buckets[i].records {
				if !yield(key, record) {
					return
				}
			}
		}
	}
}

// IsUrgent reports whether a record is of the urgent kind.
func (r *Replica) IsUrgent(record Record) bool { return record.Object.Kind == r.urgent }

// bucketOf returns the bucket of an object.
func (r *Replica) bucketOf(key Key) *bucket {
	bucket, _ := r.locate(key)
	return &r.buckets[bucket]
}

// locate returns the number of an object's bucket and of its part there.
func (r *Replica) locate(key Key) (bucket, part int) {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(key.Kind)) // Writes to a digest never fail.
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(key.Name)
	sum := digest.Sum64()
	if key.Kind == r.urgent {
		return UrgentBucket, partOf(sum)
	}
	return UrgentBucket + 1 + int(sum%(BucketCount-1)), partOf(sum)
}

// partOf returns the part of an object by the hash of its key. It uses the upper bits, which do not
// determine the bucket.
func partOf(hash uint64) int { return int(hash >> (64 - bits.Len(PartCount-1))) }

// Apply applies the records that are newer than the replica's, and returns after these changes were
// reported. It returns how many records were newer.
func (r *Replica) Apply(source Source, records ...Record) int {
	applied := r.applyAll(source, records)
	r.notify()
	return applied
}

func (r *Replica) applyAll(source Source, records []Record) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	applied := 0
	for _, record := range records {
		if r.apply(source, record) {
			applied++
		}
	}
	r.dropTombstones()
	return applied
}

// notify reports all pending changes. mu is not held during the calls: a weak processor may take longer to
// apply a large configuration than another node waits for the response to a comparison.
func (r *Replica) notify() {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	for _, change := range r.takePending() {
		r.onChange(change)
	}
}

func (r *Replica) takePending() []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := r.pending
	r.pending = nil
	return pending
}

// Replace applies a complete list of a kind as of a revision: objects that it does not contain are deleted.
func (r *Replica) Replace(kind objectapi.Kind, objects []objectapi.Object, revision int64) {
	r.replace(kind, objects, revision)
	r.notify()
}

func (r *Replica) replace(kind objectapi.Kind, objects []objectapi.Object, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.Name] = true
		r.apply(SourceStore, Record{Object: object})
	}
	for _, name := range r.unlisted(kind, listed, revision) {
		deleted := objectapi.Object{Kind: kind, Name: name, Version: revision}
		r.apply(SourceStore, Record{Object: deleted, Deleted: true})
	}
	r.dropTombstones()
}

// unlisted returns the names of the live objects of a kind that a list as of a revision does not contain. Objects
// that are newer than the revision are left out.
func (r *Replica) unlisted(kind objectapi.Kind, listed map[string]bool, revision int64) []string {
	var names []string
	for key, record := range r.allRecords() {
		if key.Kind == kind && !record.Deleted && !listed[key.Name] && record.Object.Version < revision {
			names = append(names, key.Name)
		}
	}
	sort.Strings(names)
	return names
}

// apply applies one record; mu must be held.
func (r *Replica) apply(source Source, record Record) bool {
	number, part := r.locate(record.Key())
	bucket := &r.buckets[number]
	current, exists := bucket.records[record.Key()]
	if exists && current.Object.Version >= record.Object.Version {
		return false
	}
	if record.Deleted {
		record.Object.Spec = nil
		r.tombstones++
	}
	if exists {
		bucket.toggle(part, current)
		if current.Deleted {
			r.tombstones--
		}
	}
	bucket.toggle(part, record)
	bucket.records[record.Key()] = record
	r.pending = append(r.pending, Change{Record: record, Source: source, New: !exists || current.Deleted})
	return true
}

// toggle adds a record to the digest of its part, or removes it.
func (b *bucket) toggle(part int, record Record) { b.parts[part] ^= recordHash(record) }

// dropTombstones drops the oldest deletions beyond maxTombstones; mu must be held.
func (r *Replica) dropTombstones() {
	if r.tombstones <= maxTombstones {
		return
	}
	var deleted []Record
	for _, record := range r.allRecords() {
		if record.Deleted {
			deleted = append(deleted, record)
		}
	}
	sort.Slice(deleted, func(i, j int) bool { return deleted[i].Object.Version < deleted[j].Object.Version })
	for _, record := range deleted[:len(deleted)-maxTombstones] {
		number, part := r.locate(record.Key())
		bucket := &r.buckets[number]
		bucket.toggle(part, record)
		delete(bucket.records, record.Key())
		r.tombstones--
	}
}

// Digest returns a digest of all versions. Replicas that hold the same versions have equal digests.
func (r *Replica) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var encoded [8 * BucketCount]byte
	for i := range r.buckets {
		binary.LittleEndian.PutUint64(encoded[8*i:], r.buckets[i].digest())
	}
	return xxhash.Sum64(encoded[:])
}

// BucketDigests returns the digests of all buckets.
func (r *Replica) BucketDigests() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	digests := make([]uint64, BucketCount)
	for i := range r.buckets {
		digests[i] = r.buckets[i].digest()
	}
	return digests
}

// DifferingBuckets returns the buckets whose digests differ from those of another replica.
func (r *Replica) DifferingBuckets(others []uint64) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var differing []int
	for i := range r.buckets {
		if i >= len(others) || others[i] != r.buckets[i].digest() {
			differing = append(differing, i)
		}
	}
	return differing
}

// PartDigests returns the digests of the parts of a bucket, or nil if there is no such bucket.
func (r *Replica) PartDigests(bucket int) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bucket < 0 || bucket >= BucketCount {
		return nil
	}
	return slices.Clone(r.buckets[bucket].parts[:])
}

// DifferingParts returns the parts of a bucket whose digests differ from those of another replica. All
// parts differ if the other replica reports a different number of them.
func (r *Replica) DifferingParts(bucket int, others []uint64) PartSet {
	own := r.PartDigests(bucket)
	if len(own) != len(others) {
		return AllParts
	}
	var differing PartSet
	for part, digest := range own {
		if digest != others[part] {
			differing |= 1 << part
		}
	}
	return differing
}

// Versions returns the records of the given sections without their content. Invalid bucket numbers are
// skipped: they may come from another node.
func (r *Replica) Versions(sections []Section) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var versions []Record
	for record := range r.recordsIn(sections) {
		record.Object.Spec = nil
		versions = append(versions, record)
	}
	return versions
}

// recordsIn iterates over the records of the given sections; mu must be held.
func (r *Replica) recordsIn(sections []Section) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for number, parts := range mergeSections(sections) {
			for key, record := range r.buckets[number].records {
				if _, part := r.locate(key); parts&(1<<part) == 0 {
					continue
				}
				if !yield(record) {
					return
				}
			}
		}
	}
}

// mergeSections returns the requested parts of each valid bucket, so that none counts twice.
func mergeSections(sections []Section) map[int]PartSet {
	parts := make(map[int]PartSet, len(sections))
	for _, section := range sections {
		if section.Bucket >= 0 && section.Bucket < BucketCount {
			parts[section.Bucket] |= section.Parts
		}
	}
	return parts
}

// Records returns the records of the given objects that the replica has.
func (r *Replica) Records(keys []Key) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Record
	for _, key := range keys {
		if record, exists := r.bucketOf(key).records[key]; exists {
			found = append(found, record)
		}
	}
	return found
}

// Version returns the version of a live object, or zero if the replica has none.
func (r *Replica) Version(key Key) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, exists := r.bucketOf(key).records[key]
	if !exists || record.Deleted {
		return 0
	}
	return record.Object.Version
}

// Live returns the objects of a kind that are not deleted, sorted by name.
func (r *Replica) Live(kind objectapi.Kind) []objectapi.Object {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []objectapi.Object
	for key, record := range r.allRecords() {
		if key.Kind == kind && !record.Deleted {
			live = append(live, record.Object)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Compare compares the given sections with all versions that another replica has there. It returns the keys
// that are newer here and the keys that are newer there.
func (r *Replica) Compare(sections []Section, others []Record) (newerHere, newerThere []Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	existsThere := make(map[Key]bool, len(others))
	for _, other := range others {
		key := other.Key()
		existsThere[key] = true
		local, exists := r.bucketOf(key).records[key]
		switch {
		case !exists || local.Object.Version < other.Object.Version:
			newerThere = append(newerThere, key)
		case local.Object.Version > other.Object.Version:
			newerHere = append(newerHere, key)
		}
	}
	for record := range r.recordsIn(sections) {
		if key := record.Key(); !existsThere[key] {
			newerHere = append(newerHere, key)
		}
	}
	return newerHere, newerThere
}

// recordHash returns a record's contribution to the digest of its part.
func recordHash(record Record) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(record.Object.Kind)) // Writes to a digest never fail.
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(record.Object.Name)
	var version [9]byte
	binary.LittleEndian.PutUint64(version[:], uint64(record.Object.Version))
	if record.Deleted {
		version[8] = 1
	}
	_, _ = digest.Write(version[:])
	return digest.Sum64()
}
