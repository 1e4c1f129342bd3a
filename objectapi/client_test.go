package objectapi_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/sim/fault"
	"github.com/reelrun/reelrun/sim/platformsim"
)

// fixture is a client connected to a simulated platform over loopback.
type fixture struct {
	client *objectapi.Client
	store  *platformsim.Store
	faults *fault.Injector
}

func newFixture(t *testing.T, options platformsim.Options) *fixture {
	t.Helper()
	f := &fixture{store: platformsim.NewStore(options), faults: fault.NewInjector()}
	const weightRate, weightBytes = 1 << 20, 1 << 10
	server := httptest.NewServer(f.faults.Wrap(platformsim.Handler(f.store, platformsim.NewWeights(weightRate, weightBytes))))
	t.Cleanup(server.Close)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	f.client = objectapi.NewClient(server.Listener.Addr().String(), transport)
	return f
}

func object(version int64, spec string) objectapi.Object {
	return objectapi.Object{Kind: objectapi.KindStatus, Name: "x", Version: version, Spec: json.RawMessage(spec)}
}

func TestConditionalUpdates(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, platformsim.Options{})
	ctx := context.Background()
	_, err := f.client.Get(ctx, objectapi.KindStatus, "x")
	g.Expect(errors.Is(err, objectapi.ErrNotFound)).To(BeTrue())
	first, err := f.client.Put(ctx, object(0, `1`))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.client.Put(ctx, object(0, `2`))
	g.Expect(errors.Is(err, objectapi.ErrConflict)).To(BeTrue())
	_, err = f.client.Put(ctx, object(first.Version, `3`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(errors.Is(f.client.Delete(ctx, objectapi.KindStatus, "x", first.Version), objectapi.ErrConflict)).To(BeTrue())
	listed, revision, err := f.client.List(ctx, objectapi.KindStatus)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listed).To(HaveLen(1))
	g.Expect(string(listed[0].Spec)).To(Equal("3"))
	g.Expect(revision).To(Equal(listed[0].Version))
	_, err = f.client.Put(ctx, object(0, `"`+strings.Repeat("x", objectapi.MaxValueBytes)+`"`))
	g.Expect(errors.Is(err, objectapi.ErrTooLarge)).To(BeTrue())
}

func TestWatchReportsChangesInOrder(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, platformsim.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received := make(chan string, 4)
	ended := make(chan error, 1)
	go func() {
		ended <- f.client.Watch(ctx, objectapi.KindStatus, 0, func(event objectapi.Event) { received <- string(event.Object.Spec) })
	}()
	first, err := f.client.Put(ctx, object(0, `1`))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.client.Put(ctx, object(first.Version, `2`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]string{<-received, <-received}).To(Equal([]string{"1", "2"}))
	cancel()
	g.Expect(<-ended).To(HaveOccurred())
}

// TestModifyResolvesLostResponses sets a counter while responses are lost, with a Mutate that recognizes its own
// change.
func TestModifyResolvesLostResponses(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, platformsim.Options{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for number := range 4 {
		// The responses to the read, and then to the write, are lost.
		f.faults.Set(fault.Faults{DropResponses: number})
		counter, err := json.Marshal(number)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = objectapi.Modify(ctx, f.client, objectapi.Change{
			Kind: objectapi.KindStatus, Name: "counter",
			Mutate: func(current json.RawMessage) (json.RawMessage, error) {
				if string(current) == string(counter) {
					return nil, nil
				}
				return counter, nil
			},
		})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(string(f.store.Snapshot(objectapi.KindStatus)[0].Spec)).To(Equal("3"))
}

func TestMutateErrorIsFinal(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, platformsim.Options{})
	mutateErr := errors.New("no")
	_, err := objectapi.Modify(context.Background(), f.client, objectapi.Change{
		Kind: objectapi.KindStatus, Name: "x", Mutate: func(json.RawMessage) (json.RawMessage, error) { return nil, mutateErr },
	})
	g.Expect(errors.Is(err, mutateErr)).To(BeTrue())
}

func TestThrottledCallsAreCounted(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, platformsim.Options{ReadsPerSecond: 0.001})
	ctx := context.Background()
	_, _, err := f.client.List(ctx, objectapi.KindStatus)
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = f.client.List(ctx, objectapi.KindStatus)
	g.Expect(errors.Is(err, objectapi.ErrThrottled)).To(BeTrue())
	g.Expect(f.store.Counts().Throttled).To(BeEquivalentTo(1))
}
