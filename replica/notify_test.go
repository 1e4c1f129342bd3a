package replica_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/replica"
)

func version(name string, number int64) replica.Record {
	return replica.Record{Object: objectapi.Object{Kind: kind, Name: name, Version: number}}
}

// TestSlowChangeDoesNotBlockExchange handles a change slowly, as a weak processor does with a
// large configuration. Other nodes compare their replicas with this one in the meantime, and would
// consider the node lost if it did not answer.
func TestSlowChangeDoesNotBlockExchange(t *testing.T) {
	g := NewWithT(t)
	begun, finish := make(chan struct{}), make(chan struct{})
	local := replica.New("urgent", func(change replica.Change) {
		if change.Record.Object.Name == "large" {
			close(begun)
			<-finish
		}
	})
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		local.Apply(replica.SourceStore, version("large", 1))
	}()
	<-begun
	compared := make(chan struct{})
	go func() {
		defer close(compared)
		local.Digest()
		local.Compare(replica.WholeBuckets([]int{replica.UrgentBucket}), nil)
	}()
	g.Eventually(compared).WithTimeout(10 * time.Second).Should(BeClosed())
	g.Consistently(applied).WithTimeout(10*time.Millisecond).ShouldNot(BeClosed(), "Apply returns after the change was handled")
	close(finish)
	<-applied
}

// TestChangesAreReportedInOrder applies versions from many goroutines at once.
func TestChangesAreReportedInOrder(t *testing.T) {
	const versions = 500
	g := NewWithT(t)
	var reported []int64
	local := replica.New("urgent", func(change replica.Change) { reported = append(reported, change.Record.Object.Version) })
	done := make(chan struct{})
	for number := range int64(versions) {
		go func() {
			defer func() { done <- struct{}{} }()
			local.Apply(replica.SourceStore, version("one", number+1))
		}()
	}
	for range versions {
		<-done
	}
	g.Expect(reported[len(reported)-1]).To(BeEquivalentTo(versions))
	for i := range len(reported) - 1 {
		g.Expect(reported[i]).To(BeNumerically("<", reported[i+1]))
	}
}
