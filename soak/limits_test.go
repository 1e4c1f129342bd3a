package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	// limitStream numbers the random stream of the backends that limit their requests.
	limitStream = 8
	// limitedRate is the limit that they name, in requests per second.
	limitedRate = 3
	// heldTime is how long requests that a proxy has held still arrive after it.
	heldTime = time.Second
)

// injectLimits has one backend after the other limit its requests.
func (h *harness) injectLimits(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		live := h.registered()
		if len(live) == 0 {
			continue
		}
		limited := live[random.IntN(len(live))]
		limited.setLimit(limitedRate)
		time.Sleep(time.Duration(4000+random.IntN(3000)) * time.Millisecond)
		limited.setLimit(0)
	}
}

// setLimit has a backend name a limit of its requests, in requests per second; zero names none.
func (b *backend) setLimit(limit float64) {
	if b.engine != nil {
		b.engine.SetLimit(limit)
		return
	}
	b.server.SetLimit(limit)
}

// checkLimits returns the backends that got more requests than their limits allow, and the number of requests checked.
// Requests of nodes that were disturbed are left out, and so are those that a proxy held or whose responses were lost.
func checkLimits(record noticeRecord) (violations []string, checked int) {
	rule := standin.PlatformLimitRule
	for backend, arrivals := range record.arrivals {
		var counted []standin.Arrival
		for _, arrival := range arrivals {
			sender, known := record.senders[arrival.Request]
			from := arrival.At.Add(-rule.Window)
			span := observation{began: arrival.At.Add(-heldTime), ended: arrival.At}
			switch {
			case arrival.Limit == 0:
			case !known, !record.undisturbed(sender.node, from, arrival.At), interruptedDuring(span, record.interruptions[backend]),
				!record.sameIncarnation(backend, from, arrival.At):
				continue
			default:
				checked++
			}
			arrival.From = strconv.Itoa(sender.node)
			counted = append(counted, arrival)
		}
		if excess, exceeded := rule.Worst(counted); exceeded {
			violations = append(violations, fmt.Sprintf("%s limits its requests: %s", backend, excess))
		}
	}
	return violations, checked
}

// TestChecksDetectRequestsAboveALimit has two nodes send a backend as many requests as its limit allows, and one more.
func TestChecksDetectRequestsAboveALimit(t *testing.T) {
	g := NewWithT(t)
	began := time.Unix(100, 0)
	const allowed = 23 // 1.5 times the limit for 4 s, and 5
	record := func(requests int) noticeRecord {
		r := noticeRecord{senders: map[string]nodeEvent{}, arrivals: map[string][]standin.Arrival{}}
		arrive := func(index int, after time.Duration) {
			id := strconv.Itoa(index)
			r.senders[id] = nodeEvent{index % 2, began}
			r.arrivals["b"] = append(r.arrivals["b"], standin.Arrival{At: began.Add(after), Request: id, Limit: limitedRate})
		}
		arrive(0, 0)
		arrive(1, 0)
		for index := range requests {
			arrive(index+2, 3*time.Second+time.Duration(index)*100*time.Millisecond)
		}
		return r
	}
	violations, checked := checkLimits(record(allowed))
	g.Expect(violations).To(BeEmpty())
	g.Expect(checked).To(Equal(allowed + 2))
	violations, _ = checkLimits(record(allowed + 1))
	g.Expect(violations).To(HaveLen(1))
	exempt := record(allowed + 1)
	exempt.disturbances = []disturbance{{node: 1, from: began.Add(3 * time.Second), to: began.Add(3500 * time.Millisecond)}}
	violations, _ = checkLimits(exempt)
	g.Expect(violations).To(BeEmpty())
}
