package antientropy

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/replica"
)

// largeConfiguration returns the content of a configuration with this number of routes, with random names.
func largeConfiguration(routes int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var content bytes.Buffer
	content.WriteString(`{"version":5,"routes":[`)
	for range routes {
		fmt.Fprintf(&content, `{"name":"r-%x","host":"%x.example","path_prefix":"/%x/","route_kind":"safe","timeout_ms":2000,`+
			`"target_latency_ms":300,"priority":2,"service":"baxa93a","max_attempts":2,"sticky":false},`,
			random.Uint32(), random.Uint32N(9), random.Uint32())
	}
	content.WriteString("]}")
	return content.Bytes()
}

// TestLargeConfigurationFitsSlowestLink has a node receive a configuration of 1,448 routes from another one. No
// call may need more than half of a comparison's timeout on the slowest link: all nodes of the fleet pass the
// configuration on at the same moment.
func TestLargeConfigurationFitsSlowestLink(t *testing.T) {
	const (
		routes = 1448
		// slowestLink is the bandwidth of the smallest machines, in bytes per second.
		slowestLink = 10_000_000 / 8
	)
	g := NewWithT(t)
	ahead, behind := newTestNode(t), newTestNode(t)
	content := largeConfiguration(routes)
	ahead.replica.Apply(replica.SourceStore, replica.Record{Object: objectapi.Object{
		Kind: urgentKind, Name: "main", Version: 160, Spec: content,
	}})
	g.Expect(behind.compare(t.Context(), ahead.address)).To(Succeed())
	live := behind.replica.Live(urgentKind)
	g.Expect(live).To(HaveLen(1))
	g.Expect([]byte(live[0].Spec)).To(Equal(content))
	ahead.mu.Lock()
	defer ahead.mu.Unlock()
	g.Expect(time.Duration(ahead.largestCall) * time.Second / slowestLink).To(BeNumerically("<", defaultCallTimeout/2))
}

// TestSlowExchangeDoesNotMarkNodeUnresponsive has another node take longer for an exchange than the timeout of
// a comparison, as on a congested link. The node answers comparisons at once, so it must count as responsive,
// and its objects must be applied.
func TestSlowExchangeDoesNotMarkNodeUnresponsive(t *testing.T) {
	// callTimeout is far above what a comparison takes on loopback, also on a busy machine.
	const callTimeout = 2 * time.Second
	g := NewWithT(t)
	ahead, behind := newTestNode(t), newTestNode(t)
	behind.syncer.options.CallTimeout = callTimeout
	ahead.exchangeDelay = callTimeout + callTimeout/10
	behind.syncer.options.ExchangeTimeout = time.Minute
	ahead.replica.Apply(replica.SourceStore, replica.Record{Object: objectapi.Object{Kind: urgentKind, Name: "main", Version: 1}})
	behind.syncer.syncWith(t.Context(), ahead.address)
	behind.syncer.background.Wait()
	g.Expect(behind.syncer.Responsive(ahead.address)).To(BeTrue())
	g.Expect(behind.replica.Live(urgentKind)).To(HaveLen(1))
}

// TestInvalidObjectsAreIgnored has a node send an object whose compressed content is damaged, and one that
// claims to be larger than any object.
func TestInvalidObjectsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	node := newTestNode(t)
	valid := storedObject(replica.Record{Object: objectapi.Object{
		Kind: urgentKind, Name: "whole", Version: 1, Spec: largeConfiguration(100),
	}})
	g.Expect(valid.GetCompressedSpec()).NotTo(BeEmpty())
	damaged := &peerpb.StoredObject{
		Version:        &peerpb.ObjectVersion{Kind: string(urgentKind), Name: "damaged", Version: 2},
		CompressedSpec: valid.GetCompressedSpec()[:len(valid.GetCompressedSpec())/2],
	}
	huge := &peerpb.StoredObject{
		Version:        &peerpb.ObjectVersion{Kind: string(urgentKind), Name: "huge", Version: 3},
		CompressedSpec: []byte{0xff, 0xff, 0xff, 0xff, 0x0f},
	}
	node.syncer.applyReceived([]*peerpb.StoredObject{damaged, huge, valid}, "")
	live := node.replica.Live(urgentKind)
	g.Expect(live).To(HaveLen(1))
	g.Expect(live[0].Name).To(Equal("whole"))
}
