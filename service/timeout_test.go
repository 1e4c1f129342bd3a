package service

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/claim"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/filter"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/sim/memnet"
	"github.com/reelrun/reelrun/timeline"
)

const (
	callTimeout    = 2 * time.Second
	heldAtMost     = 500 * time.Millisecond
	serviceAddress = "10.0.0.1:80"
	replicaAddress = "10.0.0.2:80"
	callerHost     = "10.0.0.3"
	replicaBytes   = 4 << 20
)

// inMemory runs a test in virtual time with a connection to the handler of a service whose replica sends long responses.
func inMemory(t *testing.T, run func(g Gomega, conn net.Conn, key string)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.NewNetwork(memnet.NewLinkFilter())
		transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, "10.0.0.1", address)
		}}
		handler := NewHandler(Options{
			Claims: &memoryClaims{granted: map[claim.Key]string{}}, Transport: transport, Metrics: metrics.NewSet(),
			Events: timeline.NewRing("node", timeline.NewClock(time.Now), 16), Leaving: func(string) bool { return false },
		})
		snapshot := configuration.NewSnapshot(configuration.Head{Version: 1}, &api.Configuration{
			Tenants: []api.Tenant{{Name: "tenant", Services: []string{"portal"}}},
			Services: []api.Service{{
				Name: "portal", Timeout: api.Duration(callTimeout), NonIdempotentMethods: []string{http.MethodPost},
				Backends: []api.Backend{{Name: "replica", Address: replicaAddress}},
			}},
		})
		tenant, _ := snapshot.Tenant("tenant")
		mux := http.NewServeMux()
		mux.Handle("/services/{name}/{path...}", filter.Chain(handler))
		id, err := uuid.NewV7()
		g.Expect(err).NotTo(HaveOccurred())
		exchange := &filter.Exchange{RequestID: id.String(), Snapshot: snapshot, Tenant: tenant}
		servers := []*http.Server{
			{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mux.ServeHTTP(w, filter.WithExchange(r, exchange))
			})},
			{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("r", replicaBytes))
			})},
		}
		ended := make(chan error)
		for i, address := range []string{serviceAddress, replicaAddress} {
			listener := network.Listen(address)
			go func() { ended <- servers[i].Serve(listener) }()
		}
		conn, err := network.Dial(t.Context(), callerHost, serviceAddress)
		g.Expect(err).NotTo(HaveOccurred())
		run(g, conn, id.String())
		g.Expect(conn.Close()).To(Succeed())
		for _, server := range servers {
			g.Expect(server.Close()).To(Succeed())
			g.Expect(<-ended).To(MatchError(http.ErrServerClosed))
		}
		transport.CloseIdleConnections()
	})
}

// TestStalledBodyOfCallIsHeldBeyondTimeout guards against calls whose bodies stop arriving.
func TestStalledBodyOfCallIsHeldBeyondTimeout(t *testing.T) {
	inMemory(t, func(g Gomega, conn net.Conn, key string) {
		began := time.Now()
		_, err := fmt.Fprintf(conn, "POST /services/portal/x HTTP/1.1\r\nHost: a\r\nIdempotency-Key: %s\r\nContent-Length: 10\r\n\r\nhalf", key)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.SetReadDeadline(began.Add(4 * callTimeout))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		g.Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		g.Expect(time.Since(began)).To(BeNumerically("<=", callTimeout+heldAtMost))
	})
}

// TestUnreadResponseOfCallIsHeldBeyondTimeout guards against calls whose callers do not read the response.
func TestUnreadResponseOfCallIsHeldBeyondTimeout(t *testing.T) {
	inMemory(t, func(g Gomega, conn net.Conn, _ string) {
		_, err := io.WriteString(conn, "GET /services/portal/x HTTP/1.1\r\nHost: a\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(callTimeout + heldAtMost)
		// The connection has no buffer: a byte would come from a write that is still blocked.
		_, err = conn.Read(make([]byte, 1))
		g.Expect(err).To(HaveOccurred(), "the connection is still open")
	})
}
