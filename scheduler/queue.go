package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

// tenantQueue is the queue of one tenant, ordered by key.
type tenantQueue struct {
	tenant   string
	weight   float64
	requests []*Request
	// keys are the sort keys of the requests.
	keys []time.Duration
	// credit is the deficit counter of OrderDeficit, in cost units, and counter the service counter
	// of OrderVTC, in cost units divided by the weight.
	credit  float64
	counter float64
	// position is the index in the heap, or -1.
	position int
	// idleSince is the arrival time of the request that left the queue last. It is meant for
	// dropping idle tenants, but nothing reads it.
	idleSince time.Duration
}

// fairQueue orders waiting requests between tenants.
type fairQueue struct {
	ordering Ordering
	quantum  float64
	// stretchPerToken is added to a request's deadline for each prompt token.
	stretchPerToken time.Duration
	tenants         map[string]*tenantQueue
	order           tenantHeap
	length          int
	tokens          int
}

func newFairQueue(options *Options) *fairQueue {
	return &fairQueue{
		ordering: options.Ordering, quantum: options.Quantum, tenants: map[string]*tenantQueue{},
		order:           tenantHeap{ordering: options.Ordering},
		stretchPerToken: seconds(options.Stretch / nominalPrefillRate),
	}
}

// nominalPrefillRate converts prompt tokens to time for the order of requests, in tokens a second.
// Only its product with the stretch matters.
const nominalPrefillRate = 20000

// key is the sort key of a request; the lowest goes first.
func (q *fairQueue) key(request *Request) time.Duration {
	switch q.ordering {
	case OrderDeficit:
		return request.Deadline() + time.Duration(request.PromptTokens)*q.stretchPerToken
	case OrderDeadline:
		return request.Deadline()
	default:
		return request.Arrival
	}
}

// tenantHeap holds the tenants that have waiting requests.
type tenantHeap struct {
	ordering Ordering
	tenants  []*tenantQueue
}

// headKey is the key of the tenant's first request.
func (t *tenantQueue) headKey() time.Duration { return t.keys[0] }

// Len implements heap.Interface.
func (h *tenantHeap) Len() int { return len(h.tenants) }

// Less implements heap.Interface.
func (h *tenantHeap) Less(i, j int) bool {
	a, b := h.tenants[i], h.tenants[j]
	switch h.ordering {
	case OrderVTC:
		if a.counter != b.counter {
			return a.counter < b.counter
		}
	case OrderDeficit:
		if (a.credit > 0) != (b.credit > 0) {
			return a.credit > 0
		}
	default:
	}
	if a.headKey() != b.headKey() {
		return a.headKey() < b.headKey()
	}
	return a.tenant < b.tenant
}

// Swap implements heap.Interface.
func (h *tenantHeap) Swap(i, j int) {
	h.tenants[i], h.tenants[j] = h.tenants[j], h.tenants[i]
	h.tenants[i].position = i
	h.tenants[j].position = j
}

// Push implements heap.Interface.
func (h *tenantHeap) Push(value any) {
	added := value.(*tenantQueue)
	added.position = len(h.tenants)
	h.tenants = append(h.tenants, added)
}

// Pop implements heap.Interface.
func (h *tenantHeap) Pop() any {
	last := len(h.tenants) - 1
	removed := h.tenants[last]
	h.tenants[last] = nil
	h.tenants = h.tenants[:last]
	removed.position = -1
	return removed
}

func (q *fairQueue) tenant(name string, weight float64) *tenantQueue {
	found, ok := q.tenants[name]
	if !ok {
		found = &tenantQueue{tenant: name, position: -1, credit: q.quantum * max(weight, minWeight)}
		q.tenants[name] = found
	}
	found.weight = max(weight, minWeight)
	return found
}

// minWeight keeps a weight usable as a divisor.
const minWeight = 0.001

func (q *fairQueue) push(request *Request) {
	tenant := q.tenant(request.Tenant, request.Weight)
	if len(tenant.requests) == 0 {
		q.raiseCounter(tenant)
	}
	key := q.key(request)
	at, _ := slices.BinarySearch(tenant.keys, key)
	for at < len(tenant.keys) && tenant.keys[at] == key && tenant.requests[at].ID < request.ID {
		at++
	}
	tenant.requests = slices.Insert(tenant.requests, at, request)
	tenant.keys = slices.Insert(tenant.keys, at, key)
	q.length++
	q.tokens += request.PromptTokens
	q.updateHeap(tenant)
}

// raiseCounter raises the counter of a tenant that was idle to the lowest one of the waiting
// tenants, so that the tenant cannot use its idle time as credit.
func (q *fairQueue) raiseCounter(tenant *tenantQueue) {
	if q.ordering != OrderVTC || q.order.Len() == 0 {
		return
	}
	tenant.counter = max(tenant.counter, q.order.tenants[0].counter)
}

// updateHeap restores the heap after a change of the tenant.
func (q *fairQueue) updateHeap(tenant *tenantQueue) {
	switch {
	case len(tenant.requests) == 0 && tenant.position >= 0:
		heap.Remove(&q.order, tenant.position)
	case len(tenant.requests) == 0:
	case tenant.position < 0:
		heap.Push(&q.order, tenant)
	default:
		heap.Fix(&q.order, tenant.position)
	}
}

func (q *fairQueue) remove(request *Request) bool {
	tenant, ok := q.tenants[request.Tenant]
	if !ok {
		return false
	}
	at := slices.Index(tenant.requests, request)
	if at < 0 {
		return false
	}
	tenant.requests = slices.Delete(tenant.requests, at, at+1)
	tenant.keys = slices.Delete(tenant.keys, at, at+1)
	tenant.idleSince = request.Arrival
	q.length--
	q.tokens -= request.PromptTokens
	q.updateHeap(tenant)
	return true
}

// charge deducts the cost of work from a tenant's credit; a negative cost is refunded.
func (q *fairQueue) charge(name string, cost float64) {
	tenant, ok := q.tenants[name]
	if !ok {
		return
	}
	tenant.credit -= cost
	tenant.counter += cost / tenant.weight
	q.updateHeap(tenant)
}

// refill adds credit if no waiting tenant has any.
func (q *fairQueue) refill() {
	if q.ordering != OrderDeficit || q.order.Len() == 0 || q.order.tenants[0].credit > 0 {
		return
	}
	rounds := q.roundsToCredit()
	for _, tenant := range q.order.tenants {
		tenant.credit = min(tenant.credit+rounds*q.quantum*tenant.weight, q.quantum*tenant.weight)
	}
	heap.Init(&q.order)
}

// roundsToCredit is the number of refills after which some tenant has credit.
func (q *fairQueue) roundsToCredit() float64 {
	fewest := -1.0
	for _, tenant := range q.order.tenants {
		needed := -tenant.credit/(q.quantum*tenant.weight) + 1
		if fewest < 0 || needed < fewest {
			fewest = needed
		}
	}
	return float64(int(fewest))
}

// heads returns the first requests of up to limit tenants, in order.
func (q *fairQueue) heads(limit int) []*Request {
	q.refill()
	limit = min(limit, q.order.Len())
	popped := make([]*tenantQueue, 0, limit)
	heads := make([]*Request, 0, limit)
	for range limit {
		tenant := heap.Pop(&q.order).(*tenantQueue)
		popped = append(popped, tenant)
		heads = append(heads, tenant.requests[0])
	}
	for _, tenant := range popped {
		heap.Push(&q.order, tenant)
	}
	return heads
}

// headsOf returns the first requests of two queues, merged by their keys.
func headsOf(a, b *fairQueue, limit int) []*Request {
	first, second := a.heads(limit), b.heads(limit)
	merged := make([]*Request, 0, len(first)+len(second))
	for len(first) > 0 && len(second) > 0 {
		if a.key(first[0]) <= b.key(second[0]) {
			merged, first = append(merged, first[0]), first[1:]
			continue
		}
		merged, second = append(merged, second[0]), second[1:]
	}
	return append(append(merged, first...), second...)
}

// ahead predicts the work that is granted before a new request of the tenant: the tenant's own
// waiting requests and, for each other tenant, up to the same number of tokens.
func (q *fairQueue) ahead(name string, tokens int) Backlog {
	own := tokens
	var backlog Backlog
	if tenant, ok := q.tenants[name]; ok {
		for _, request := range tenant.requests {
			own += request.PromptTokens
			backlog.Requests++
			backlog.PrefillTokens += request.PromptTokens
		}
	}
	others := q.tokens - (own - tokens)
	share := own * max(q.order.Len()-1, 0)
	backlog.PrefillTokens += min(others, share)
	return backlog
}
