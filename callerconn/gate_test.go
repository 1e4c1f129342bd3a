package callerconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/callerconn"
)

// fakeGate has a number of places.
type fakeGate struct {
	mu sync.Mutex
	// places are free, and taken are not.
	places, taken int
	// transmissions are those that were added while they were wanted.
	wanted        bool
	transmissions []*callerconn.Transmission
}

func (f *fakeGate) Full() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.places == 0
}

func (f *fakeGate) Admit() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.places == 0 {
		return false
	}
	f.places--
	f.taken++
	return true
}

func (f *fakeGate) AdmitNew() bool { return f.Admit() }

func (f *fakeGate) Release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.places++
	f.taken--
}

func (f *fakeGate) WantsTransmission() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wanted
}

// AddTransmission asks for the state at once: it must not be called while the connection is locked.
func (f *fakeGate) AddTransmission(transmission *callerconn.Transmission) {
	_, _ = transmission.Acknowledged()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.transmissions = append(f.transmissions, transmission)
}

// set sets the number of free places.
func (f *fakeGate) set(places int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.places = places
}

func (f *fakeGate) inUse() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.taken
}

// gatedServer is a server behind a gate.
type gatedServer struct {
	gate     *fakeGate
	address  string
	requests atomic.Int32
	listener *callerconn.Listener
}

// serveGated serves with the given number of places until the test ends.
func serveGated(t *testing.T, places int, handler http.HandlerFunc) *gatedServer {
	g := NewWithT(t)
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	served := &gatedServer{gate: &fakeGate{places: places}, address: accepting.Addr().String(), listener: callerconn.NewListener(accepting, time.Now)}
	served.listener.SetGate(callerconn.GateOptions{
		Gate:         served.gate,
		Reopen:       func() (net.Listener, error) { return net.Listen("tcp", served.address) },
		ReopenFailed: func(error) {},
	})
	server := &http.Server{
		ConnContext: callerconn.NewContext, ConnState: callerconn.Track, ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			callerconn.From(r.Context()).Begin()
			served.requests.Add(1)
			handler(w, r)
		}),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(served.listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return served
}

const shortRequest = "GET /short HTTP/1.1\r\nHost: a\r\n\r\n"

func TestRequestBeyondTheLimitIsLeftUnread(t *testing.T) {
	g := NewWithT(t)
	served := serveGated(t, 1, writeShort)
	conn, err := net.Dial("tcp", served.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	send(g, conn, shortRequest)
	receive(g, reader)
	g.Eventually(served.gate.inUse).Should(BeZero(), "a place is free again with the response")
	served.gate.set(0)
	send(g, conn, shortRequest)
	_, err = reader.ReadByte()
	g.Expect(err).To(HaveOccurred())
	g.Expect(err).NotTo(Equal(io.EOF), "the reset tells that the request has not been read")
	g.Expect(served.requests.Load()).To(Equal(int32(1)))
	g.Expect(served.gate.inUse()).To(BeZero())
}

func TestListenerRefusesConnectionsWhileFull(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	served := serveGated(t, 1, func(w http.ResponseWriter, r *http.Request) {
		<-release
		writeShort(w, r)
	})
	first, err := net.Dial("tcp", served.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = first.Close() }()
	send(g, first, shortRequest)
	g.Eventually(served.requests.Load).Should(Equal(int32(1)))
	g.Eventually(func() error {
		conn, err := net.Dial("tcp", served.address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}).Should(HaveOccurred(), "nobody listens")
	close(release)
	receive(g, bufio.NewReader(first))
	g.Eventually(func() error {
		conn, err := net.Dial("tcp", served.address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}).Should(Succeed(), "it listens again")
}

// TestConnectionWithoutARequestGivesUpItsPlace guards against callers that open connections and send nothing.
func TestConnectionWithoutARequestGivesUpItsPlace(t *testing.T) {
	g := NewWithT(t)
	served := serveGated(t, 2, writeShort)
	conn, err := net.Dial("tcp", served.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Eventually(served.gate.inUse).Should(Equal(1))
	g.Eventually(served.gate.inUse).Should(BeZero())
	send(g, conn, shortRequest)
	receive(g, bufio.NewReader(conn))
	g.Eventually(served.gate.inUse).Should(BeZero())
}

func TestEndedConnectionGivesUpItsPlace(t *testing.T) {
	g := NewWithT(t)
	served := serveGated(t, 1, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	conn, err := net.Dial("tcp", served.address)
	g.Expect(err).NotTo(HaveOccurred())
	send(g, conn, shortRequest)
	g.Eventually(served.requests.Load).Should(Equal(int32(1)))
	g.Expect(served.gate.inUse()).To(Equal(1))
	g.Expect(conn.Close()).To(Succeed())
	g.Eventually(served.gate.inUse).Should(BeZero())
}

func TestFullListenerStops(t *testing.T) {
	g := NewWithT(t)
	served := serveGated(t, 0, writeShort)
	g.Eventually(func() error {
		conn, err := net.Dial("tcp", served.address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}).Should(HaveOccurred())
	served.listener.StopAccepting()
	served.gate.set(1)
	g.Expect(served.listener.Close()).To(Succeed())
	_, err := served.listener.Accept()
	g.Expect(err).To(MatchError(net.ErrClosed))
}

func TestTransmissionIsAcknowledged(t *testing.T) {
	g := NewWithT(t)
	served := serveGated(t, 1, writeShort)
	served.gate.mu.Lock()
	served.gate.wanted = true
	served.gate.mu.Unlock()
	conn, err := net.Dial("tcp", served.address)
	g.Expect(err).NotTo(HaveOccurred())
	send(g, conn, shortRequest)
	receive(g, bufio.NewReader(conn))
	served.gate.mu.Lock()
	transmission := served.gate.transmissions[0]
	served.gate.mu.Unlock()
	g.Eventually(func() bool {
		acknowledged, known := transmission.Acknowledged()
		return acknowledged && known
	}).Should(BeTrue())
	g.Expect(conn.Close()).To(Succeed())
	g.Eventually(func() bool {
		_, known := transmission.Acknowledged()
		return known
	}).Should(BeFalse(), "nothing is known of an ended connection")
}
