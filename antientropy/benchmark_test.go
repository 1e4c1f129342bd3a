package antientropy

import (
	"fmt"
	"testing"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/replica"
)

// BenchmarkConfigurationChange measures how much a node receives and how long it takes on loopback, by the
// number of routes: for a configuration of which it has nothing, and for one changed route.
func BenchmarkConfigurationChange(b *testing.B) {
	for _, routes := range []int{48, 1_400, 5_000, 14_000, 20_000} {
		before := largeConfiguration(routes)
		changed := append([]byte(nil), before...)
		copy(changed[len(changed)/2:], "changed")
		b.Run(fmt.Sprintf("whole/routes=%d", routes), func(b *testing.B) { benchmarkChange(b, nil, before) })
		b.Run(fmt.Sprintf("one-route/routes=%d", routes), func(b *testing.B) { benchmarkChange(b, before, changed) })
	}
}

func benchmarkChange(b *testing.B, before, after []byte) {
	ahead, behind := newTestNode(b), newTestNode(b)
	version := int64(0)
	store := func(node *testNode, content []byte) {
		node.replica.Apply(replica.SourceStore, replica.Record{Object: objectapi.Object{
			Kind: urgentKind, Name: "main", Version: version, Spec: content,
		}})
	}
	received := 0
	for b.Loop() {
		b.StopTimer()
		behind.replica = replica.New(urgentKind, func(replica.Change) {})
		behind.syncer.options.Replica = behind.replica
		behind.syncer.transfers.index = newChunkIndex()
		if before != nil {
			version++
			store(ahead, before)
			store(behind, before)
		}
		version++
		store(ahead, after)
		ahead.responseBytes = 0
		b.StartTimer()
		if err := behind.compare(b.Context(), ahead.address); err != nil {
			b.Fatal(err)
		}
		if behind.replica.Digest() != ahead.replica.Digest() {
			b.Fatal("replicas differ")
		}
		received += ahead.responseBytes
	}
	b.ReportMetric(float64(received)/float64(b.N), "received-B/op")
}
