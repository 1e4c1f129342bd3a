package streamorigin

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/peer/peerpb"
)

var errLost = errors.New("node is lost")

// network connects the clients of nodes. Nodes in lost do not answer.
type network struct {
	clients map[string]*Client
	nodes   []Node
	lost    map[string]bool
}

// Call implements Caller.
func (n *network) Call(_ context.Context, address string, request *peerpb.Request) (*peerpb.Response, error) {
	request.Stamp++ // As peer.Client does.
	if n.lost[address] {
		return nil, errLost
	}
	return n.clients[address].Handle(request)
}

// newNetwork returns nodes that are spread over zones.
func newNetwork(nodes, zones int, now func() time.Duration) *network {
	created := &network{clients: map[string]*Client{}, lost: map[string]bool{}}
	for i := range nodes {
		node := Node{Address: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones)}
		created.nodes = append(created.nodes, node)
		created.clients[node.Address] = NewClient(ClientOptions{Own: node.Address, Nodes: created.live, Peers: created, Now: now})
	}
	return created
}

// live returns the nodes that are not lost.
func (n *network) live() []Node {
	return slices.DeleteFunc(slices.Clone(n.nodes), func(node Node) bool { return n.lost[node.Address] })
}

var exampleOrigin = Origin{Service: "s", Version: "v1", Backend: "b", StartedAt: 5, IsConfirmed: true, IsUndescribed: true}

// TestOriginsAreLostWithAnyTwoNodes records streams and has any two nodes or any zone be lost: all others must find each
// origin.
func TestOriginsAreLostWithAnyTwoNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newNetwork(9, 3, func() time.Duration { return 0 })
		for i := range 200 {
			fleet.clients[fmt.Sprintf("node-%d", i%9)].Record(NewKey("t", strconv.Itoa(i)), exampleOrigin)
		}
		synctest.Wait()
		expectFound := func(lost ...string) {
			for _, address := range lost {
				fleet.lost[address] = true
			}
			for _, node := range fleet.live() {
				for i := range 200 {
					origin, _, found := fleet.clients[node.Address].Find(t.Context(), NewKey("t", strconv.Itoa(i)))
					if !found || origin != exampleOrigin {
						t.Fatalf("%s does not find stream %d after the loss of %v", node.Address, i, lost)
					}
				}
			}
			// Questions whose answers nobody waits for any more end first.
			synctest.Wait()
			clear(fleet.lost)
		}
		expectFound("node-0", "node-4")
		expectFound("node-1", "node-4", "node-7")
	})
}

// TestRecordsOfLostNodesAreSentToOthers has the first receivers of all records be lost without the sender knowing.
func TestRecordsOfLostNodesAreSentToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := newNetwork(8, 1, func() time.Duration { return 0 })
		sender := fleet.clients["node-0"]
		sender.options.Nodes = func() []Node { return fleet.nodes }
		for _, address := range []string{"node-1", "node-2"} {
			fleet.lost[address] = true
		}
		for i := range 100 {
			sender.Record(NewKey("t", strconv.Itoa(i)), exampleOrigin)
		}
		synctest.Wait()
		copies := 0
		for _, client := range fleet.clients {
			copies += client.Size()
		}
		g.Expect(copies).To(Equal(300))
	})
}

func TestTenantsWithOneIdentifierHaveTwoStreams(t *testing.T) {
	g := NewWithT(t)
	fleet := newNetwork(1, 1, func() time.Duration { return 0 })
	client := fleet.clients["node-0"]
	client.Record(NewKey("one", "id"), exampleOrigin)
	_, _, found := client.Find(t.Context(), NewKey("other", "id"))
	g.Expect(found).To(BeFalse())
	g.Expect(NewKey("a", "bc")).NotTo(Equal(NewKey("ab", "c")))
}

func TestIdentifierOfTwoStreamsIsAmbiguous(t *testing.T) {
	g := NewWithT(t)
	records := newTable(func() time.Duration { return 0 })
	key := NewKey("t", "id")
	records.put(key, exampleOrigin)
	records.put(key, exampleOrigin)
	_, found := records.find(key)
	g.Expect(found).To(BeTrue(), "the same origin again")
	other := exampleOrigin
	other.Version = "v2"
	records.put(key, other)
	records.put(key, other)
	_, found = records.find(key)
	g.Expect(found).To(BeFalse())
}

// TestTableIsBoundedInTimeAndNumber writes records over a short and a long time: those that were written last are kept.
func TestTableIsBoundedInTimeAndNumber(t *testing.T) {
	for _, interval := range []time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second} {
		g := NewWithT(t)
		now := time.Duration(0)
		records := newTable(func() time.Duration { return now })
		const count = maxRecords + 2000
		for i := range count {
			now += interval
			records.put(NewKey("t", strconv.Itoa(i)), exampleOrigin)
			if i%3 == 0 {
				records.put(NewKey("t", strconv.Itoa(i/2)), exampleOrigin)
			}
		}
		g.Expect(records.size()).To(BeNumerically("<=", maxRecords))
		g.Expect(len(records.written)).To(BeNumerically("<=", maxRecords))
		_, found := records.find(NewKey("t", strconv.Itoa(count-1)))
		g.Expect(found).To(BeTrue(), "the last record")
		now += lifetime + time.Second
		_, found = records.find(NewKey("t", strconv.Itoa(count-1)))
		g.Expect(found).To(BeFalse(), "an expired record")
	}
}

// TestRecordsAreSpreadEvenly counts the records of each node of a large fleet.
func TestRecordsAreSpreadEvenly(t *testing.T) {
	const nodes, streams = 100, 10_000
	fleet := newNetwork(nodes, 4, func() time.Duration { return 0 })
	counts := map[string]int{}
	for i := range streams {
		for _, address := range ordered(NewKey("t", strconv.Itoa(i)), fleet.nodes, keeperCount) {
			counts[address]++
		}
	}
	const mean = streams * keeperCount / nodes
	for address, count := range counts {
		if count < mean*7/10 || count > mean*13/10 {
			t.Errorf("%s keeps %d records, %d in the mean", address, count, mean)
		}
	}
	NewWithT(t).Expect(counts).To(HaveLen(nodes))
}

func TestUnknownCallsAreRejected(t *testing.T) {
	g := NewWithT(t)
	client := newNetwork(1, 1, func() time.Duration { return 0 }).clients["node-0"]
	for _, request := range []*peerpb.Request{
		{},
		{Body: &peerpb.Request_FindStream{FindStream: &peerpb.FindStream{Key: []byte("short")}}},
		{Body: &peerpb.Request_RecordStream{RecordStream: &peerpb.RecordStream{Key: make([]byte, len(Key{}))}}},
	} {
		_, err := client.Handle(request)
		g.Expect(err).To(HaveOccurred())
	}
}

// BenchmarkOrder measures the choice of the nodes of one record.
func BenchmarkOrder(b *testing.B) {
	for _, nodes := range []int{8, 410, 986} {
		fleet := newNetwork(nodes, 5, func() time.Duration { return 0 })
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			key := NewKey("t", "id")
			for b.Loop() {
				ordered(key, fleet.nodes, keeperCount)
			}
		})
	}
}
