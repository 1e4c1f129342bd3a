package memnet_test

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/sim/memnet"
)

// TestBytesWrittenBeforeCloseArrive guards against a limited link that loses what a connection has sent just before it is
// closed: the caller of an HTTP server would receive nothing on a connection that ends with its response.
func TestBytesWrittenBeforeCloseArrive(t *testing.T) {
	const (
		sender, receiver = "10.0.0.1", "10.0.0.2"
		bytesPerSecond   = 100_000
	)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.NewNetwork(memnet.NewLinkFilter())
		network.SetBandwidth(sender, bytesPerSecond)
		listener := network.Listen(receiver + ":80")
		received := make(chan []byte)
		go func() {
			conn, err := listener.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			content, err := io.ReadAll(conn)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(conn.Close()).To(Succeed())
			received <- content
		}()
		conn, err := network.Dial(t.Context(), sender, receiver+":80")
		g.Expect(err).NotTo(HaveOccurred())
		sent := bytes.Repeat([]byte("x"), 3*bytesPerSecond)
		_, err = conn.Write(sent)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.Close()).To(Succeed())
		g.Expect(len(<-received)).To(Equal(len(sent)))
	})
}
