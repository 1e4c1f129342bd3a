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

// maxTombstones bounds the remembered deletions. The oldest are forgotten, by
// version, so that all copies forget the same ones.
const maxTombstones = 4096

// BucketCount is into how many buckets the objects fall. Copies that differ are
// compared by bucket, so that few versions are exchanged for few differences.
const BucketCount = 64

// PartCount is into how many parts the objects of a bucket fall. Buckets that differ are compared
// by part before versions are exchanged, so that one difference costs the versions of few objects
// also where a bucket holds hundreds.
const PartCount = 32

// PartSet holds the numbers of parts of a bucket, a bit each.
type PartSet uint32

// AllParts is the set of all parts of a bucket.
const AllParts = ^PartSet(0)

// Section is some parts of one bucket.
type Section struct {
	Bucket int
	Parts  PartSet
}

// WholeBuckets returns the sections that are all parts of some buckets.
func WholeBuckets(buckets []int) []Section {
	sections := make([]Section, len(buckets))
	for i, bucket := range buckets {
		sections[i] = Section{Bucket: bucket, Parts: AllParts}
	}
	return sections
}

// UrgentBucket holds the objects of the urgent kind, and no others, so that they can be
// compared before all others by a node that has none of them yet.
const UrgentBucket = 0

// Key names an object.
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

// Key returns the name of the record's object.
func (r Record) Key() Key { return Key{r.Object.Kind, r.Object.Name} }

// Source tells where a change came from.
type Source string

// The sources.
const (
	SourceStore Source = "store"
	SourcePeer  Source = "peer"
)

// Change is one newer version that was taken over.
type Change struct {
	Record Record
	Source Source
	// New is set where the copy had no live version of the object before.
	New bool
}

// Replica is the copy. It is safe for concurrent use.
type Replica struct {
	// changed is called for each change, one at a time and in the order in which
	// they were taken over.
	changed func(Change)
	// urgent is the kind of the objects in UrgentBucket.
	urgent objectapi.Kind

	// notifying is held by the goroutine that reports changes. mu may be locked while it is held,
	// but not the other way round.
	notifying sync.Mutex

	mu         sync.Mutex
	buckets    [BucketCount]bucket
	tombstones int
	// pending holds the changes that were taken over and not reported yet, in their order.
	pending []Change
}

// bucket holds a part of the objects.
type bucket struct {
	records map[Key]Record
	// parts are equal for parts with the same versions.
	parts [PartCount]uint64
}

// digest is equal for buckets with the same versions.
func (b *bucket) digest() uint64 {
	var digest uint64
	for _, part := range b.parts {
		digest ^= part
	}
	return digest
}

// New returns an empty copy that tells of its changes. The function must not
// call the replica. All copies of a fleet name the same urgent kind; it may be empty.
func New(urgent objectapi.Kind, changed func(Change)) *Replica {
	r := &Replica{changed: changed, urgent: urgent}
	for i := range r.buckets {
		r.buckets[i].records = map[Key]Record{}
	}
	return r
}

// all iterates over all records; the lock is held.
func (r *Replica) all() iter.Seq2[Key, Record] {
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

// in returns the bucket of an object.
func (r *Replica) in(key Key) *bucket {
	bucket, _ := r.place(key)
	return &r.buckets[bucket]
}

// place returns the bucket of an object and its part there.
func (r *Replica) place(key Key) (bucket, part int) {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(key.Kind)) // These never fail.
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(key.Name)
	sum := digest.Sum64()
	if key.Kind == r.urgent {
		return UrgentBucket, partOf(sum)
	}
	return UrgentBucket + 1 + int(sum%(BucketCount-1)), partOf(sum)
}

// partOf returns the part of an object by the hash of its name. Its upper bits do not decide on the bucket.
func partOf(hash uint64) int { return int(hash >> (64 - bits.Len(PartCount-1))) }

// Apply takes over the records that are newer than the copy's, and returns once they are reported.
// It returns how many were newer.
func (r *Replica) Apply(source Source, records ...Record) int {
	taken := r.applyAll(source, records)
	r.notify()
	return taken
}

func (r *Replica) applyAll(source Source, records []Record) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := 0
	for _, record := range records {
		if r.apply(source, record) {
			taken++
		}
	}
	r.forget()
	return taken
}

// notify reports all pending changes. The copy is not locked meanwhile: to put a large
// configuration into force takes a weak processor longer than another node waits for a
// comparison.
func (r *Replica) notify() {
	r.notifying.Lock()
	defer r.notifying.Unlock()
	for _, change := range r.takePending() {
		r.changed(change)
	}
}

func (r *Replica) takePending() []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := r.pending
	r.pending = nil
	return pending
}

// Replace takes over a whole list of a kind as of a revision: objects that it
// does not name are deleted.
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
	r.forget()
}

// unlisted returns the live objects of a kind that a list does not name.
func (r *Replica) unlisted(kind objectapi.Kind, listed map[string]bool, revision int64) []string {
	var names []string
	for key, record := range r.all() {
		if key.Kind == kind && !record.Deleted && !listed[key.Name] && record.Object.Version < revision {
			names = append(names, key.Name)
		}
	}
	sort.Strings(names)
	return names
}

// apply takes over one record; the lock is held.
func (r *Replica) apply(source Source, record Record) bool {
	number, part := r.place(record.Key())
	bucket := &r.buckets[number]
	known, exists := bucket.records[record.Key()]
	if exists && known.Object.Version >= record.Object.Version {
		return false
	}
	if record.Deleted {
		record.Object.Spec = nil
		r.tombstones++
	}
	if exists {
		bucket.mix(part, known)
		if known.Deleted {
			r.tombstones--
		}
	}
	bucket.mix(part, record)
	bucket.records[record.Key()] = record
	r.pending = append(r.pending, Change{Record: record, Source: source, New: !exists || known.Deleted})
	return true
}

// mix puts a record into the digest of its part, or takes it out again.
func (b *bucket) mix(part int, record Record) { b.parts[part] ^= hash(record) }

// forget drops the oldest deletions beyond the bound; the lock is held.
func (r *Replica) forget() {
	if r.tombstones <= maxTombstones {
		return
	}
	var deleted []Record
	for _, record := range r.all() {
		if record.Deleted {
			deleted = append(deleted, record)
		}
	}
	sort.Slice(deleted, func(i, j int) bool { return deleted[i].Object.Version < deleted[j].Object.Version })
	for _, record := range deleted[:len(deleted)-maxTombstones] {
		number, part := r.place(record.Key())
		bucket := &r.buckets[number]
		bucket.mix(part, record)
		delete(bucket.records, record.Key())
		r.tombstones--
	}
}

// Digest is equal for copies that hold the same versions.
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

// DifferingBuckets returns the buckets whose digests differ from those of another copy.
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

// PartDigests returns the digests of the parts of a bucket; none for a number that names no bucket.
func (r *Replica) PartDigests(bucket int) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bucket < 0 || bucket >= BucketCount {
		return nil
	}
	return slices.Clone(r.buckets[bucket].parts[:])
}

// DifferingParts returns the parts of a bucket whose digests differ from those of another copy.
// All parts differ where the other copy tells of another number of them.
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

// Versions returns the records of some sections without their content. Numbers that name no
// bucket are passed over: they may come from another node.
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

// recordsIn iterates over the records of some sections; the lock is held.
func (r *Replica) recordsIn(sections []Section) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for number, parts := range merged(sections) {
			for key, record := range r.buckets[number].records {
				if _, part := r.place(key); parts&(1<<part) == 0 {
					continue
				}
				if !yield(record) {
					return
				}
			}
		}
	}
}

// merged returns the parts by the buckets that exist, so that none counts twice.
func merged(sections []Section) map[int]PartSet {
	parts := make(map[int]PartSet, len(sections))
	for _, section := range sections {
		if section.Bucket >= 0 && section.Bucket < BucketCount {
			parts[section.Bucket] |= section.Parts
		}
	}
	return parts
}

// Records returns the records of the given objects that the copy has.
func (r *Replica) Records(keys []Key) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Record
	for _, key := range keys {
		if record, exists := r.in(key).records[key]; exists {
			found = append(found, record)
		}
	}
	return found
}

// Version returns the version of a live object, zero where the copy has none.
func (r *Replica) Version(key Key) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, exists := r.in(key).records[key]
	if !exists || record.Deleted {
		return 0
	}
	return record.Object.Version
}

// Live returns the objects of a kind that are not deleted, by name.
func (r *Replica) Live(kind objectapi.Kind) []objectapi.Object {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []objectapi.Object
	for key, record := range r.all() {
		if key.Kind == kind && !record.Deleted {
			live = append(live, record.Object)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Compare sorts the differences from another copy in some sections, given all versions that it has
// there: keys that are newer here, and keys that are newer there.
func (r *Replica) Compare(sections []Section, others []Record) (newerHere, newerThere []Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[Key]bool, len(others))
	for _, other := range others {
		key := other.Key()
		seen[key] = true
		known, exists := r.in(key).records[key]
		switch {
		case !exists || known.Object.Version < other.Object.Version:
			newerThere = append(newerThere, key)
		case known.Object.Version > other.Object.Version:
			newerHere = append(newerHere, key)
		}
	}
	for record := range r.recordsIn(sections) {
		if key := record.Key(); !seen[key] {
			newerHere = append(newerHere, key)
		}
	}
	return newerHere, newerThere
}

// hash is a record's part of the digest.
func hash(record Record) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(record.Object.Kind)) // These never fail.
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
