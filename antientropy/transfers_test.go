package antientropy

import (
	"context"
	"log/slog"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/chunk"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/replica"
)

// messages collects the messages of a log.
type messages chan string

// Enabled implements slog.Handler.
func (m messages) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (m messages) Handle(_ context.Context, record slog.Record) error {
	select {
	case m <- record.Message:
	default:
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (m messages) WithAttrs([]slog.Attr) slog.Handler { return m }

// WithGroup implements slog.Handler.
func (m messages) WithGroup(string) slog.Handler { return m }

// TestStalledTransferReadsFromStore offers a node a version whose chunks no node has. The node logs that it is
// behind, and reads the object from the store, which ends the transfer.
func TestStalledTransferReadsFromStore(t *testing.T) {
	// timeout is far above the time after which a node logs that it is behind.
	const timeout = 10 * behindAfter
	g := NewWithT(t)
	empty, behind := newTestNode(t), newTestNode(t)
	logged := make(messages, 100)
	behind.syncer.options.Logger = slog.New(logged)
	object := objectapi.Object{Kind: urgentKind, Name: "main", Version: 5, Spec: largeConfiguration(5000)}
	refetched := make(chan replica.Key, 1)
	behind.syncer.options.Refetch = func(_ context.Context, key replica.Key) {
		behind.replica.Apply(replica.SourceStore, replica.Record{Object: object})
		refetched <- key
	}
	offered := replica.Record{Object: objectapi.Object{Kind: object.Kind, Name: object.Name, Version: object.Version}}
	manifest := chunk.Split(object.Spec)
	// Comparisons offer the object repeatedly, also after a source has timed out.
	offer := func() chan replica.Key {
		behind.syncer.transfers.offer(offered, manifest, empty.address)
		return refetched
	}
	g.Eventually(offer).WithTimeout(timeout).Should(Receive(Equal(offered.Key())))
	g.Eventually(logged).WithTimeout(timeout).Should(Receive(Equal("behind")))
	g.Expect(behind.replica.Live(urgentKind)).To(HaveLen(1))
	g.Eventually(logged).WithTimeout(timeout).Should(Receive(Equal("caught up")))
	done := make(chan struct{})
	go func() {
		defer close(done)
		behind.syncer.background.Wait()
	}()
	g.Eventually(done).WithTimeout(timeout).Should(BeClosed(), "no transfer is left")
}

// TestTransferResumesFromAnotherSource loses the only source of an object during the transfer; the offer of
// another node delivers the rest.
func TestTransferResumesFromAnotherSource(t *testing.T) {
	g := NewWithT(t)
	second, behind := newTestNode(t), newTestNode(t)
	object := objectapi.Object{Kind: urgentKind, Name: "main", Version: 5, Spec: largeConfiguration(5000)}
	second.replica.Apply(replica.SourceStore, replica.Record{Object: object})
	offered := replica.Record{Object: objectapi.Object{Kind: object.Kind, Name: object.Name, Version: object.Version}}
	// The first node has offered the chunks and does not answer any more.
	behind.syncer.transfers.offer(offered, chunk.Split(object.Spec), "127.0.0.1:1")
	behind.syncer.background.Wait()
	g.Expect(behind.replica.Live(urgentKind)).To(BeEmpty())
	g.Expect(behind.compare(t.Context(), second.address)).To(Succeed())
	live := behind.replica.Live(urgentKind)
	g.Expect(live).To(HaveLen(1))
	g.Expect([]byte(live[0].Spec)).To(Equal([]byte(object.Spec)))
}
