package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	// slowCallerCount is how many callers send their requests slowly.
	slowCallerCount = 8
	// routeTimeout is the timeout of all routes.
	routeTimeout = 4 * time.Second
	// heldTimeout is how long after the timeout of its route a request may have no response.
	heldTimeout = 500 * time.Millisecond
	// maxHeldShare is the maximum share of requests that may be held for longer, and minExpired the number of requests that
	// reached their timeout below which the share is not checked.
	maxHeldShare = 0.25
	minExpired   = 8
	// slowCallerBody is the length of the body that slow callers announce.
	slowCallerBody = 1000
)

// manner is how a slow caller sends its request: after which parts it pauses, and whether it sends the rest of its body.
type manner struct {
	pausesInHead, pausesInBody, stallsInBody bool
}

// manners are the manners that slow callers draw.
var manners = []manner{{stallsInBody: true}, {pausesInBody: true}, {pausesInHead: true}, {pausesInHead: true, stallsInBody: true}}

// slowCallers are callers whose requests arrive in parts.
type slowCallers struct {
	harness  *harness
	stopping chan struct{}
	done     sync.WaitGroup

	mu       sync.Mutex
	observed []observation
}

func startSlowCallers(h *harness, seed uint64) *slowCallers {
	c := &slowCallers{harness: h, stopping: make(chan struct{})}
	for i := range slowCallerCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)+2000))
		prefix := fmt.Sprintf("slow%d-%d-%d", seed, os.Getpid(), i)
		c.done.Go(func() { c.run(prefix, random) })
	}
	return c
}

func (c *slowCallers) run(prefix string, random *rand.Rand) {
	repeatUntil(c.stopping, random, func(number int) {
		n := c.harness.nodes[random.IntN(len(c.harness.nodes))]
		k := []kind{kindNonIdempotent, kindIdempotent, kindStream, kindResumable}[random.IntN(4)]
		pause := time.Duration(random.IntN(3000)) * time.Millisecond
		o := sendSlowly(n, k, fmt.Sprintf("%s-%d", prefix, number), manners[random.IntN(len(manners))], pause)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.observed = append(c.observed, o)
	})
}

// stop stops the callers and returns what they have observed.
func (c *slowCallers) stop() []observation {
	close(c.stopping)
	c.done.Wait()
	return c.observed
}

// sendSlowly sends one request in a manner, and returns what its caller sees until the connection ends or the response is
// complete.
func sendSlowly(n *node, k kind, id string, how manner, pause time.Duration) observation {
	o := observation{id: id, kind: k, node: n.index, tenant: steadyTenant, began: time.Now()}
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("127.0.0.1:%d", n.ports[0]), time.Second)
	if err != nil {
		return withEnd(o)
	}
	defer func() { _ = conn.Close() }()
	header := http.Header{}
	standin.CallerHeaders{ID: id, Wait: 2 * routeTimeout, PromptTokens: 3000, MaxOutputTokens: 2000, LengthHint: 600, Key: keyOf(steadyTenant)}.Set(header)
	body := make([]byte, slowCallerBody)
	head := &headWriter{conn: conn}
	head.printf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", k, routeHost, slowCallerBody)
	if how.pausesInHead {
		time.Sleep(pause)
	}
	for name := range header {
		head.printf("%s: %s\r\n", name, header.Get(name))
	}
	head.printf("\r\n")
	if head.err != nil {
		return withEnd(o)
	}
	n.requests.add(k, time.Now())
	half := slowCallerBody / 2
	_, err = conn.Write(body[:half])
	if how.pausesInBody {
		time.Sleep(pause)
	}
	if err == nil && !how.stallsInBody {
		_, err = conn.Write(body[half:])
		o.sent = err == nil
	}
	return receiveSlowly(conn, o)
}

// headWriter writes the parts of a head and keeps the first error.
type headWriter struct {
	conn net.Conn
	err  error
}

func (w *headWriter) printf(format string, arguments ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.conn, format, arguments...)
	}
}

// receiveSlowly reads the response to a request.
func receiveSlowly(conn net.Conn, o observation) observation {
	if err := conn.SetReadDeadline(o.began.Add(3 * routeTimeout)); err != nil {
		return withEnd(o)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return withEnd(o)
	}
	body, err := io.ReadAll(response.Body)
	o.status, o.complete, o.body = response.StatusCode, err == nil, string(body)
	return withEnd(o)
}

// heldRequests returns the requests that were held beyond heldTimeout after the timeout of their route, and the number of all
// that reached that timeout. It leaves out requests whose node was disturbed meanwhile, or shortly before, and those of an
// older build, which may not bound the time of what callers send.
func heldRequests(observed []observation, disturbances []disturbance, starts []nodeStart) (held []observation, expired int) {
	for _, o := range observed {
		during := o
		during.began = o.began.Add(-time.Second)
		if o.took() < routeTimeout || disturbed(during, disturbances) || ranOlderBuild(o, starts) {
			continue
		}
		expired++
		if o.took() > routeTimeout+heldTimeout {
			held = append(held, o)
		}
	}
	return held, expired
}

// ranOlderBuild reports whether the node of a request ran an older build at any moment of the request. Starts are in the
// order of time.
func ranOlderBuild(o observation, starts []nodeStart) bool {
	older := false
	for _, start := range starts {
		switch {
		case start.node != o.node || start.at.After(o.ended):
		case start.at.Before(o.began):
			older = start.older
		default:
			older = older || start.older
		}
	}
	return older
}

// took returns how long a request took.
func (o observation) took() time.Duration { return o.ended.Sub(o.began) }

// checkHeld returns a violation if too many requests were held beyond the timeout of their route.
func checkHeld(held []observation, expired int) []string {
	if len(held) < minExpired || float64(len(held)) <= maxHeldShare*float64(expired) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d requests that reached the timeout of their route were held on: %s", len(held), expired, describeHeld(held))}
}

// describeHeld describes requests that were held, for the log.
func describeHeld(held []observation) string {
	var text strings.Builder
	for _, o := range held {
		fmt.Fprintf(&text, "%s (%s, node %d, status %d, %v) ", o.id, o.kind, o.node, o.status, o.took().Round(time.Millisecond))
	}
	return text.String()
}

// checkSlowRejections returns a violation for each request that ran although its caller was told that it has not and never will.
func checkSlowRejections(observed []observation, runs map[string]int) []string {
	var violations []string
	for _, o := range observed {
		if notRunStatuses[o.status] && runs[o.id] > 0 {
			violations = append(violations, fmt.Sprintf("slow request %s got %d and ran", o.id, o.status))
		}
	}
	return violations
}

// TestChecksDetectHeldRequests counts requests that are held, and some that are exempt.
func TestChecksDetectHeldRequests(t *testing.T) {
	g := NewWithT(t)
	began := time.Unix(100, 0)
	var observed []observation
	for range minExpired {
		observed = append(observed, observation{node: 1, began: began, ended: began.Add(routeTimeout + 2*heldTimeout)})
		observed = append(observed, observation{node: 2, began: began, ended: began.Add(routeTimeout + 2*heldTimeout)})
		observed = append(observed, observation{node: 1, began: began, ended: began.Add(routeTimeout - time.Millisecond)})
	}
	for range minExpired {
		observed = append(observed, observation{node: 3, began: began, ended: began.Add(routeTimeout + 2*heldTimeout)})
	}
	starts := []nodeStart{
		{nodeEvent{1, began.Add(-time.Minute)}, true}, {nodeEvent{1, began.Add(-time.Second)}, false}, {nodeEvent{3, began.Add(time.Second)}, true},
	}
	held, expired := heldRequests(observed, []disturbance{{node: 2, from: began, to: began.Add(time.Second)}}, starts)
	g.Expect(held).To(HaveLen(minExpired))
	g.Expect(expired).To(Equal(minExpired))
	g.Expect(checkHeld(held, expired)).To(HaveLen(1))
	g.Expect(checkHeld(held[1:], expired)).To(BeEmpty())
	g.Expect(checkHeld(held, 4*minExpired)).To(BeEmpty())
	g.Expect(checkSlowRejections([]observation{{id: "a", status: 408}, {id: "b", status: 408}}, map[string]int{"a": 1})).To(HaveLen(1))
}

// TestWaitOfPausedProcessIsHeldBeyondTimeout guards against requests whose wait for the node's processor is not part of their
// time: they arrive while the process is paused, and their backends do not answer.
func TestWaitOfPausedProcessIsHeldBeyondTimeout(t *testing.T) {
	const (
		callers = 10
		pause   = 1500 * time.Millisecond
	)
	h := newHarness(t, 69, 1, "")
	defer h.close()
	h.awaitReady()
	g := NewWithT(t)
	for _, b := range h.backends {
		if b.server != nil {
			b.server.SetFaults(standin.ServerFaults{Unresponsive: 4 * callers})
		}
	}
	n := h.nodes[0]
	h.signal(n, syscall.SIGSTOP)
	observed := make([]observation, callers)
	var sending sync.WaitGroup
	for i := range observed {
		sending.Go(func() {
			observed[i] = sendSlowly(n, kindNonIdempotent, fmt.Sprintf("paused%d-%d", os.Getpid(), i), manner{}, 0)
		})
	}
	time.Sleep(pause)
	h.signal(n, syscall.SIGCONT)
	sending.Wait()
	for _, o := range observed {
		g.Expect(o.status).To(Equal(http.StatusGatewayTimeout), o.id)
		g.Expect(o.took()).To(BeNumerically("<=", routeTimeout+heldTimeout), o.id)
	}
}
