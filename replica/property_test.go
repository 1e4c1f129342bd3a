package replica_test

import (
	"fmt"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/replica"
)

const kind objectapi.Kind = "things"

func ignoreChange(replica.Change) {}

// drawRecords draws successive versions and deletions of a few objects.
func drawRecords(t *rapid.T) []replica.Record {
	count := rapid.IntRange(0, 30).Draw(t, "records")
	records := make([]replica.Record, count)
	for i := range records {
		deleted := rapid.Bool().Draw(t, "deleted")
		object := objectapi.Object{
			Kind: kind, Name: strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "name")), Version: int64(i + 1),
		}
		if !deleted {
			object.Spec = []byte(strconv.Itoa(i))
		}
		records[i] = replica.Record{Object: object, Deleted: deleted}
	}
	return records
}

func allBuckets() []replica.Section {
	buckets := make([]int, replica.BucketCount)
	for i := range buckets {
		buckets[i] = i
	}
	return replica.WholeBuckets(buckets)
}

// TestOrderDoesNotMatter applies the same versions in two orders, one of them with duplicates.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		first, second := replica.New("urgent", ignoreChange), replica.New("urgent", ignoreChange)
		first.Apply(replica.SourceStore, records...)
		for _, record := range rapid.Permutation(append(records, records...)).Draw(t, "order") {
			second.Apply(replica.SourcePeer, record)
		}
		if first.Digest() != second.Digest() {
			t.Fatal("digests differ")
		}
		if fmt.Sprint(first.Live(kind)) != fmt.Sprint(second.Live(kind)) {
			t.Fatalf("%v, %v", first.Live(kind), second.Live(kind))
		}
		all := allBuckets()
		here, there := first.Compare(all, second.Versions(all))
		if len(here)+len(there) != 0 {
			t.Fatal("equal replicas differ")
		}
	})
}

// TestVersionsNeverGoBack checks that the reported versions of each object increase.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := map[string]int64{}
		local := replica.New("urgent", func(change replica.Change) {
			object := change.Record.Object
			if object.Version <= last[object.Name] {
				t.Fatalf("%s went from %d to %d", object.Name, last[object.Name], object.Version)
			}
			last[object.Name] = object.Version
		})
		for _, record := range rapid.Permutation(drawRecords(t)).Draw(t, "order") {
			local.Apply(replica.SourcePeer, record)
		}
	})
}

// differingSections returns the buckets in which two replicas differ, whole or narrowed to the differing
// parts.
func differingSections(first, second *replica.Replica, byPart bool) []replica.Section {
	sections := replica.WholeBuckets(first.DifferingBuckets(second.BucketDigests()))
	if !byPart {
		return sections
	}
	for i, section := range sections {
		sections[i].Parts = first.DifferingParts(section.Bucket, second.PartDigests(section.Bucket))
	}
	return sections
}

// TestExchangeMakesAlike compares two replicas and exchanges the records that differ.
func TestExchangeMakesAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		first, second := replica.New("urgent", ignoreChange), replica.New("urgent", ignoreChange)
		for _, record := range records {
			if rapid.Bool().Draw(t, "first") {
				first.Apply(replica.SourceStore, record)
			}
			if rapid.Bool().Draw(t, "second") {
				second.Apply(replica.SourceStore, record)
			}
		}
		differing := differingSections(first, second, rapid.Bool().Draw(t, "by part"))
		newerFirst, newerSecond := first.Compare(differing, second.Versions(differing))
		second.Apply(replica.SourcePeer, first.Records(newerFirst)...)
		first.Apply(replica.SourcePeer, second.Records(newerSecond)...)
		if first.Digest() != second.Digest() {
			t.Fatal("replicas differ after an exchange")
		}
	})
}

func TestListDeletesUnlistedObjects(t *testing.T) {
	g := NewWithT(t)
	local := replica.New("urgent", ignoreChange)
	object := func(name string, version int64) objectapi.Object {
		return objectapi.Object{Kind: kind, Name: name, Version: version, Spec: []byte("1")}
	}
	local.Apply(replica.SourceStore, replica.Record{Object: object("old", 1)}, replica.Record{Object: object("newer", 9)})
	local.Replace(kind, []objectapi.Object{object("kept", 2)}, 5)
	var names []string
	for _, live := range local.Live(kind) {
		names = append(names, live.Name)
	}
	// The list says nothing about versions after its revision.
	g.Expect(names).To(Equal([]string{"kept", "newer"}))
	local.Apply(replica.SourcePeer, replica.Record{Object: object("old", 1)})
	g.Expect(local.Live(kind)).To(HaveLen(2), "a late update does not restore a deleted object")
}

// TestInvalidBucketNumbersAreSkipped requests buckets that do not exist, and one bucket twice, as another node
// may.
func TestInvalidBucketNumbersAreSkipped(t *testing.T) {
	g := NewWithT(t)
	local := replica.New("urgent", ignoreChange)
	local.Apply(replica.SourceStore, replica.Record{Object: objectapi.Object{Kind: "urgent", Name: "only", Version: 1}})
	sections := replica.WholeBuckets([]int{-1, replica.UrgentBucket, replica.BucketCount, replica.UrgentBucket})
	g.Expect(local.Versions(sections)).To(HaveLen(1))
	here, there := local.Compare(sections, nil)
	g.Expect(here).To(HaveLen(1))
	g.Expect(there).To(BeEmpty())
}

// TestPartsOfInvalidBucketsAreEmpty requests the parts of buckets that do not exist, and compares with a
// different number of parts, as another node may.
func TestPartsOfInvalidBucketsAreEmpty(t *testing.T) {
	g := NewWithT(t)
	local := replica.New("urgent", ignoreChange)
	g.Expect(local.PartDigests(-1)).To(BeEmpty())
	g.Expect(local.PartDigests(replica.BucketCount)).To(BeEmpty())
	g.Expect(local.DifferingParts(1, make([]uint64, replica.PartCount))).To(BeZero(), "empty buckets are equal")
	g.Expect(local.DifferingParts(1, make([]uint64, 3))).To(Equal(replica.AllParts))
}
