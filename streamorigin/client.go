package streamorigin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
)

const (
	// recordTimeout bounds a call that sends a record. No request waits for it.
	recordTimeout = 300 * time.Millisecond
	// findTimeout bounds the search for a record, for which a request waits.
	findTimeout = 150 * time.Millisecond
	// maxRecordCalls bounds the calls that send one record, failed ones included.
	maxRecordCalls = 2 * keeperCount
)

// SourceOwn is the source of a record that this node has itself.
const SourceOwn = "own"

// ErrNotOrigin is returned for a call that neither sends nor requests a record.
var ErrNotOrigin = errors.New("streamorigin: neither a record nor a request for one")

// Caller calls other nodes. It is implemented by peer.Client.
type Caller interface {
	Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error)
}

var _ Caller = (*peer.Client)(nil)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Own is the address of this node.
	Own string
	// Nodes returns the responsive nodes that keep records, in any order, with or without this one.
	Nodes func() []Node
	Peers Caller
	// Now reads a monotonic clock.
	Now func() time.Duration
}

// Client records and finds origins. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	table   *table
}

// NewClient returns a client without records.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, table: newTable(options.Now)}
}

// Size returns the number of records that this node keeps.
func (c *Client) Size() int { return c.table.size() }

// Keep records where a stream began at this node only.
func (c *Client) Keep(key Key, origin Origin) { c.table.put(key, origin) }

// Record records where a stream began, and sends the record to other nodes without waiting for them.
func (c *Client) Record(key Key, origin Origin) {
	c.table.put(key, origin)
	receivers := c.others(key, maxRecordCalls)
	next := make(chan string, len(receivers))
	for _, address := range receivers {
		next <- address
	}
	close(next)
	for range min(keeperCount, len(receivers)) {
		go c.sendRecord(next, key, origin)
	}
}

// sendRecord sends a record to one node, trying the next one after each failure.
func (c *Client) sendRecord(next <-chan string, key Key, origin Origin) {
	for address := range next {
		// Each call stamps its request, so none is shared between calls.
		request := &peerpb.Request{Body: &peerpb.Request_RecordStream{RecordStream: &peerpb.RecordStream{Key: key[:], Origin: encodeOrigin(origin)}}}
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		_, err := c.options.Peers.Call(ctx, address, request)
		cancel()
		if err == nil {
			return
		}
	}
}

// others returns the first other nodes that keep the record of a key.
func (c *Client) others(key Key, count int) []string {
	order := ordered(key, c.options.Nodes(), count+1)
	order = slices.DeleteFunc(order, func(address string) bool { return address == c.options.Own })
	return order[:min(count, len(order))]
}

// Find returns where a stream began, and the node that knew it: SourceOwn, or an address. It reports false if no node that
// answers in time knows it.
func (c *Client) Find(ctx context.Context, key Key) (origin Origin, source string, found bool) {
	if origin, found := c.table.find(key); found {
		return origin, SourceOwn, true
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := make(chan answer)
	var asking sync.WaitGroup
	for _, address := range c.others(key, maxAsked) {
		asking.Go(func() {
			if known, found := c.ask(ctx, address, key); found {
				select {
				case answers <- answer{known, address}:
				case <-ctx.Done():
				}
			}
		})
	}
	go func() {
		asking.Wait()
		close(answers)
	}()
	first, found := <-answers
	return first.origin, first.source, found
}

// answer is a record and the address of the node that has it.
type answer struct {
	origin Origin
	source string
}

// ask requests a record from another node.
func (c *Client) ask(ctx context.Context, address string, key Key) (Origin, bool) {
	response, err := c.options.Peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_FindStream{FindStream: &peerpb.FindStream{Key: key[:]}}})
	if err != nil {
		return Origin{}, false
	}
	encoded := response.GetFoundStream().GetOrigin()
	return decodeOrigin(encoded), encoded != nil
}

// Handle answers a call of another node.
func (c *Client) Handle(request *peerpb.Request) (*peerpb.Response, error) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_RecordStream:
		key, err := decodeKey(body.RecordStream.GetKey())
		if err != nil || body.RecordStream.GetOrigin() == nil {
			return nil, errors.CombineErrors(ErrNotOrigin, err)
		}
		c.table.put(key, decodeOrigin(body.RecordStream.GetOrigin()))
		return &peerpb.Response{Body: &peerpb.Response_Done{Done: &peerpb.Done{}}}, nil
	case *peerpb.Request_FindStream:
		key, err := decodeKey(body.FindStream.GetKey())
		if err != nil {
			return nil, err
		}
		answered := &peerpb.FoundStream{}
		if origin, found := c.table.find(key); found {
			answered.Origin = encodeOrigin(origin)
		}
		return &peerpb.Response{Body: &peerpb.Response_FoundStream{FoundStream: answered}}, nil
	default:
		return nil, ErrNotOrigin
	}
}
