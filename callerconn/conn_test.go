package callerconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/callerconn"
	"github.com/reelrun/reelrun/sim/memnet"
)

// measurement is what a handler sees of a request.
type measurement struct {
	path string
	// waited is the time from the request's arrival to the call of the handler.
	waited time.Duration
}

// serving serves a listener until the test ends, and returns the measurements of its handler, whose work takes the given time.
func serving(t *testing.T, listener net.Listener, work time.Duration) <-chan measurement {
	measured := make(chan measurement, 10)
	server := &http.Server{
		ConnContext: callerconn.NewContext, ConnState: callerconn.Track, ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			measured <- measurement{r.URL.Path, time.Since(callerconn.From(r.Context()).Arrived())}
			time.Sleep(work)
		}),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(callerconn.NewListener(listener, time.Now)) // Returns when it is closed.
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return measured
}

const server, caller = "10.0.0.1:80", "10.0.0.2"

// inMemory runs a test in virtual time with a server whose work takes the given time, and one connection to it.
func inMemory(t *testing.T, work time.Duration, run func(g Gomega, conn net.Conn, measured <-chan measurement)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.NewNetwork(memnet.NewLinkFilter())
		measured := serving(t, network.Listen(server), work)
		conn, err := network.Dial(t.Context(), caller, server)
		g.Expect(err).NotTo(HaveOccurred())
		run(g, conn, measured)
		g.Expect(conn.Close()).To(Succeed())
	})
}

func send(g Gomega, conn net.Conn, text string) {
	_, err := fmt.Fprint(conn, text)
	g.Expect(err).NotTo(HaveOccurred())
}

// receive reads one response.
func receive(g Gomega, reader *bufio.Reader) {
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
}

// TestWaitForHeadCounts sends the head of a request in two parts.
func TestWaitForHeadCounts(t *testing.T) {
	inMemory(t, 0, func(g Gomega, conn net.Conn, measured <-chan measurement) {
		time.Sleep(time.Second) // Not a part of the request.
		send(g, conn, "GET /slow HTTP/1.1\r\nHost: a\r\n")
		time.Sleep(700 * time.Millisecond)
		send(g, conn, "\r\n")
		g.Expect((<-measured).waited).To(Equal(700 * time.Millisecond))
		receive(g, bufio.NewReader(conn))
	})
}

// TestIdleTimeDoesNotCount sends two requests with a pause between them.
func TestIdleTimeDoesNotCount(t *testing.T) {
	inMemory(t, 0, func(g Gomega, conn net.Conn, measured <-chan measurement) {
		reader := bufio.NewReader(conn)
		for range 2 {
			send(g, conn, "POST /again HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb")
			g.Expect((<-measured).waited).To(BeZero())
			receive(g, reader)
			time.Sleep(5 * time.Second)
		}
	})
}

// TestWaitBehindAnotherRequestCounts sends two requests at once on one connection.
func TestWaitBehindAnotherRequestCounts(t *testing.T) {
	const work = 300 * time.Millisecond
	inMemory(t, work, func(g Gomega, conn net.Conn, measured <-chan measurement) {
		request := "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n"
		send(g, conn, request)
		g.Expect((<-measured).waited).To(BeZero())
		reader := bufio.NewReader(conn)
		receive(g, reader)
		g.Expect(<-measured).To(Equal(measurement{"/second", work}))
		receive(g, reader)
	})
}

// pausedListener accepts no connections before it is released.
type pausedListener struct {
	net.Listener
	released chan struct{}
}

// Accept implements net.Listener.
func (l pausedListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// TestWaitAtListenerCounts sends a request on a connection that is accepted later.
func TestWaitAtListenerCounts(t *testing.T) {
	// delay is longer than the granularity of the operating system's record.
	const delay = 200 * time.Millisecond
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	paused := pausedListener{listener, make(chan struct{})}
	measured := serving(t, paused, 0)
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	send(g, conn, "GET /queued HTTP/1.1\r\nHost: a\r\n\r\n")
	sent := time.Now()
	g.Eventually(func() time.Duration { return time.Since(sent) }, time.Second, time.Millisecond).Should(BeNumerically(">", delay))
	close(paused.released)
	g.Expect((<-measured).waited).To(BeNumerically(">=", delay-50*time.Millisecond))
	receive(g, bufio.NewReader(conn))
	g.Expect(conn.Close()).To(Succeed())
}
