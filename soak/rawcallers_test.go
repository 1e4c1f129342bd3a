package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	// rawStream numbers the random streams of the callers on raw connections, and rawCallerCount is how many there are.
	rawStream      = 12_000
	rawCallerCount = 6
	// rawRequests is the number of requests after which a caller that does not keep its connections closes them.
	rawRequests = 3
	// rawChunk is the length of the chunks of a body.
	rawChunk = 5
)

// early is when a caller sends the first bytes of its next request.
type early int

// The moments at which a caller sends the first bytes of its next request.
const (
	earlyNever early = iota
	earlyAfterRequest
	earlyAfterHead
)

// rawManner is how a caller uses its connections.
type rawManner struct {
	early early
	// keeps is set if the caller uses a connection until it is closed, and chunked if it sends its bodies in chunks.
	keeps, chunked bool
}

// drawRawManner draws the manner of a connection.
func drawRawManner(random *rand.Rand) rawManner {
	return rawManner{early: early(random.IntN(3)), keeps: random.IntN(2) == 0, chunked: random.IntN(2) == 0}
}

// rawCallers are callers that write their requests to connections themselves.
type rawCallers struct {
	harness  *harness
	stopping chan struct{}
	done     sync.WaitGroup

	mu       sync.Mutex
	observed []observation
}

func startRawCallers(h *harness, seed uint64) *rawCallers {
	c := &rawCallers{harness: h, stopping: make(chan struct{})}
	for i := range rawCallerCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)+rawStream))
		prefix := fmt.Sprintf("raw%d-%d-%d", seed, os.Getpid(), i)
		c.done.Go(func() { c.run(prefix, random) })
	}
	return c
}

// run uses one connection after the other.
func (c *rawCallers) run(prefix string, random *rand.Rand) {
	repeatUntil(c.stopping, random, func(number int) {
		n := c.harness.nodes[random.IntN(len(c.harness.nodes))]
		how := drawRawManner(random)
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("127.0.0.1:%d", n.ports[0]), time.Second)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		r := &rawConnection{
			harness: c.harness, node: n, how: how, random: random, prefix: fmt.Sprintf("%s-%d", prefix, number),
			conn: conn, reader: bufio.NewReader(conn),
		}
		r.sendUntil(c.stopping, func(o observation) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.observed = append(c.observed, o)
		})
	})
}

// endRequests has the callers send no more requests.
func (c *rawCallers) endRequests() { close(c.stopping) }

// stop waits for the callers, which have been told to send no more requests, and returns what they have observed.
func (c *rawCallers) stop() []observation {
	c.done.Wait()
	return c.observed
}

// rawConnection is one connection of a caller.
type rawConnection struct {
	harness *harness
	node    *node
	how     rawManner
	random  *rand.Rand
	prefix  string
	conn    net.Conn
	reader  *bufio.Reader
	// composed is the number of requests that have been composed.
	composed int
}

// rawRequest is a request on a raw connection.
type rawRequest struct {
	kind       kind
	id         string
	timeout    time.Duration
	eventCount int
	// unsent are the bytes that have not been sent yet, and early is the number of those to be sent before the previous response
	// is complete.
	unsent []byte
	early  int
	// firstBytes is when these were sent.
	firstBytes time.Time
	err        error
}

// sendUntil sends requests until the connection ends, the caller closes it, or the channel closes.
func (r *rawConnection) sendUntil(stopping <-chan struct{}, observe func(observation)) {
	next := r.compose()
	for isLast := false; !isLast; {
		current := next
		next = r.compose()
		isLast = !r.how.keeps && r.composed > rawRequests
		o, isOpen := r.exchange(current, next)
		observe(o)
		select {
		case <-stopping:
			return
		case <-time.After(time.Duration(r.random.IntN(300)) * time.Millisecond):
		}
		if !isOpen {
			return
		}
	}
}

// compose draws the next request of the connection.
func (r *rawConnection) compose() *rawRequest {
	r.composed++
	id := fmt.Sprintf("%s-%d", r.prefix, r.composed)
	k := []kind{kindNonIdempotent, kindIdempotent, kindStream, kindResumable, kindLong, kindLongResumable}[r.random.IntN(6)]
	request := &rawRequest{kind: k, id: id}
	headers := standin.CallerHeaders{ID: id, Wait: routeTimeout, PromptTokens: 3000, MaxOutputTokens: 2000, LengthHint: 600, Key: keyOf(steadyTenant)}
	if k == kindLong || k == kindLongResumable {
		runs := drawLongStream(r.random)
		r.harness.planned.add(id, runs)
		headers, request.timeout, request.eventCount = longHeaders(id), longTimeout, runs[0].EventCount
	}
	head := r.head(k, headers)
	request.unsent = slices.Concat(head, r.body(id))
	request.early = 1 + r.random.IntN(len(head)-1)
	return request
}

// head returns the head of a request.
func (r *rawConnection) head(k kind, headers standin.CallerHeaders) []byte {
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST /%s/x HTTP/1.1\r\nHost: %s\r\n", k, routeHost)
	header := http.Header{}
	headers.Set(header)
	if r.how.chunked {
		header.Set("Transfer-Encoding", "chunked")
	} else {
		header.Set("Content-Length", strconv.Itoa(len(bodyOf(headers.ID))))
	}
	_ = header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}

// bodyOf returns the body of a request.
func bodyOf(id string) string { return "body of " + id }

// body returns the body of a request as it is sent.
func (r *rawConnection) body(id string) []byte {
	if !r.how.chunked {
		return []byte(bodyOf(id))
	}
	var body bytes.Buffer
	for rest := bodyOf(id); rest != ""; {
		length := min(rawChunk, len(rest))
		fmt.Fprintf(&body, "%x\r\n%s\r\n", length, rest[:length])
		rest = rest[length:]
	}
	body.WriteString("0\r\n\r\n")
	return body.Bytes()
}

// send sends the given number of bytes of a request.
func (r *rawConnection) send(request *rawRequest, length int) {
	if request.err != nil {
		return
	}
	_, request.err = r.conn.Write(request.unsent[:length])
	request.unsent = request.unsent[length:]
}

// sendEarly sends the first bytes of a request.
func (r *rawConnection) sendEarly(request *rawRequest) {
	request.firstBytes = time.Now()
	r.send(request, request.early)
}

// exchange sends what is left of a request and receives its response, while it may send the first bytes of the next one.
func (r *rawConnection) exchange(current, next *rawRequest) (o observation, isOpen bool) {
	o = observation{
		id: current.id, kind: current.kind, node: r.node.index, tenant: steadyTenant, timeout: current.timeout, eventCount: current.eventCount,
		firstBytes: current.firstBytes, began: time.Now(),
	}
	r.node.requests.add(o.kind, o.began)
	r.send(current, len(current.unsent))
	o.sent = current.err == nil
	if r.how.early == earlyAfterRequest {
		r.sendEarly(next)
	}
	if err := r.conn.SetReadDeadline(o.began.Add(o.timeoutOrDefault() + 2*time.Second)); err != nil {
		return withEnd(o), false
	}
	response, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return withEnd(o), false
	}
	if r.how.early == earlyAfterHead {
		r.sendEarly(next)
	}
	body, err := io.ReadAll(response.Body)
	received := standin.ReadStream(string(body))
	o.sent, o.status, o.complete, o.body = true, response.StatusCode, err == nil, received.Text
	o.events, o.versions = received.Events, received.Versions
	o.requestID, o.signature = standin.ResponseIdentity(response.Header)
	o.leaving = standin.AnnouncesLeaving(response.Header)
	return withEnd(o), o.complete && !response.Close
}
