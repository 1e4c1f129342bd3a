package antientropy

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/replica"
)

// reset empties a node.
func (n *testNode) reset() {
	n.replica = replica.New(urgentKind, func(replica.Change) {})
	n.syncer.options.Replica = n.replica
	n.syncer.transfers.index = newChunkIndex()
	n.syncer.transfers.byKey = map[replica.Key]*transfer{}
}

// edited returns a content with a part inserted, removed or replaced.
func edited(t *rapid.T, content []byte) []byte {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "edit"), 1))
	at := random.IntN(len(content))
	length := random.IntN(50_000)
	part := make([]byte, length)
	for i := range part {
		part[i] = byte(random.IntN(256))
	}
	end := min(len(content), at+length)
	switch random.IntN(3) {
	case 0:
		return append(append(bytes.Clone(content[:at]), part...), content[at:]...)
	case 1:
		return append(bytes.Clone(content[:max(1, at)]), content[end:]...)
	default:
		return append(append(bytes.Clone(content[:at]), part...), content[end:]...)
	}
}

// converged reports whether all nodes have the same versions.
func converged(nodes []*testNode) bool {
	for _, node := range nodes {
		if node.replica.Digest() != nodes[0].replica.Digest() {
			return false
		}
	}
	return true
}

// TestChunkedObjectsConverge has the store deliver versions of a chunked object to any node, and nodes compare
// their replicas in any order. No node may ever have other bytes for a version than the store's, and in the end
// all must have the newest version.
func TestChunkedObjectsConverge(t *testing.T) {
	const (
		nodeCount = 3
		// timeout is far above what the nodes need, also on a busy machine.
		timeout = time.Minute
	)
	nodes := make([]*testNode, nodeCount)
	for i := range nodes {
		nodes[i] = newTestNode(t)
	}
	rapid.Check(t, func(t *rapid.T) {
		for _, node := range nodes {
			// All had the newest version at the end of the previous case, so nothing is being fetched.
			node.syncer.background.Wait()
			node.reset()
		}
		index := rapid.IntRange(0, nodeCount-1)
		versions := map[int64][]byte{}
		content := largeConfiguration(rapid.IntRange(100, 2000).Draw(t, "routes"))
		var newest int64
		compare := func(from, to int) {
			if from == to {
				return
			}
			syncer := nodes[from].syncer
			compared, err := syncer.compare(t.Context(), nodes[to].address)
			if err == nil {
				// Chunked objects are fetched in the background, also while the next nodes compare.
				err = syncer.exchangeAll(t.Context(), nodes[to].address, compared)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "store") || newest == 0 {
				newest++
				content = edited(t, content)
				versions[newest] = content
				nodes[index.Draw(t, "node")].replica.Apply(replica.SourceStore, replica.Record{Object: objectapi.Object{
					Kind: urgentKind, Name: "main", Version: newest, Spec: content,
				}})
				continue
			}
			compare(index.Draw(t, "from"), index.Draw(t, "to"))
		}
		for until := time.Now().Add(timeout); !converged(nodes) && time.Now().Before(until); {
			for from := range nodeCount {
				compare(from, (from+1)%nodeCount)
			}
		}
		for _, node := range nodes {
			live := node.replica.Live(urgentKind)
			if len(live) != 1 {
				t.Fatalf("%d objects", len(live))
			}
			for _, object := range live {
				if !bytes.Equal(object.Spec, versions[object.Version]) {
					t.Fatalf("version %d has other bytes", object.Version)
				}
				if object.Version != newest {
					t.Fatalf("version %d, the newest is %d", object.Version, newest)
				}
			}
		}
	})
}
