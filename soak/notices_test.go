package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	// noticeStream numbers the random stream of the backends that send notices.
	noticeStream = 5
	// leavingGrace is how long a node may still send callers' requests to a backend after it has forwarded the
	// backend's leaving notice.
	leavingGrace = 2 * time.Second
	// backoffTime is the backoff that backends ask for, and backoffText the same on the wire.
	backoffTime = 1500 * time.Millisecond
	backoffText = "1.5"
	// inFlightTime is how long requests in flight may still arrive after a backend has asked for backoff, and
	// maxInBackoff how many requests of one node may arrive later.
	inFlightTime = 500 * time.Millisecond
	maxInBackoff = 2
	// drainingTime is how long a leaving backend still serves after its entry has the state "draining".
	drainingTime = 2500 * time.Millisecond
)

// setCondition replaces the condition that controls a backend's notices.
func (b *backend) setCondition(condition standin.Condition) {
	if b.engine != nil {
		b.engine.SetCondition(condition)
		return
	}
	b.server.SetCondition(condition)
}

// arrivals returns the requests that have arrived at a backend.
func (b *backend) arrivals() []standin.Arrival {
	if b.engine != nil {
		return b.engine.Arrivals()
	}
	return b.server.Arrivals()
}

// injectNoticeFaults has backends announce in their responses that they leave, long before their entries state it,
// and has others ask for backoff: one backend for all or for a share of its requests, or all backends of a service.
func (h *harness) injectNoticeFaults(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		live := h.registered()
		if len(live) == 0 {
			time.Sleep(drainingTime)
			continue
		}
		b := live[random.IntN(len(live))]
		faultDuration := time.Duration(500+random.IntN(3000)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			h.backendFaults.Go(func() { h.announceLeaving(b, leavingGrace+faultDuration) })
		case 1:
			h.backendFaults.Go(func() { h.requestBackoff([]*backend{b}, 0, faultDuration) })
		case 2:
			h.backendFaults.Go(func() { h.requestBackoff([]*backend{b}, 0.4, faultDuration) })
		default:
			h.backendFaults.Go(func() { h.requestBackoff(h.backendsOf(b.service), 0, faultDuration/2) })
		}
		time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
	}
}

// registered returns the backends that have an entry.
func (h *harness) registered() []*backend {
	names := h.store.Names("servers")
	h.mu.Lock()
	defer h.mu.Unlock()
	var live []*backend
	for _, b := range h.backends {
		if slices.Contains(names, b.id) {
			live = append(live, b)
		}
	}
	return live
}

// backendsOf returns the backends of a service.
func (h *harness) backendsOf(service string) []*backend {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []*backend
	for _, b := range h.backends {
		if b.service == service {
			found = append(found, b)
		}
	}
	return found
}

// announceLeaving adds a backend and has another one announce in its responses that it leaves. The entry of the
// leaving one follows after untilEntry, and is removed after drainingTime.
func (h *harness) announceLeaving(b *backend, untilEntry time.Duration) {
	stage := b.stage
	if b.engine != nil {
		stage = b.engine.Stage()
	}
	h.addBackend(b.service, stage)
	started := b.startedMillis.Load()
	b.setCondition(standin.Condition{Leaving: true})
	time.Sleep(untilEntry)
	if b.startedMillis.Load() != started {
		return // Its next incarnation is not leaving.
	}
	h.announce(b, "draining", stage)
	time.Sleep(drainingTime)
	if b.startedMillis.Load() == started {
		h.store.Remove("servers", b.id)
	}
}

// requestBackoff has backends ask for backoff while they reject a share of their requests, zero for all.
func (h *harness) requestBackoff(requesting []*backend, share float64, faultDuration time.Duration) {
	for _, b := range requesting {
		b.setCondition(standin.Condition{Backoff: backoffText, BackoffShare: share})
	}
	time.Sleep(faultDuration)
	for _, b := range requesting {
		b.setCondition(standin.Condition{})
	}
}

// nodeEvent is the time of an event at a node.
type nodeEvent struct {
	node int
	at   time.Time
}

// noticeRecord is the input of the checks on backends that send notices.
type noticeRecord struct {
	// senders are the nodes that callers sent requests to, with the times, by request identifier.
	senders map[string]nodeEvent
	// arrivals are the requests that reached each backend, incarnations the starts of its incarnations.
	arrivals     map[string][]standin.Arrival
	incarnations map[string][]time.Time
	// starts are the starts of nodes, disturbances their disturbances, and interruptions the times in which
	// the connections of each backend were held, closed or stalled.
	starts        []nodeStart
	disturbances  []disturbance
	interruptions map[string][]disturbance
}

// noticeRecord returns the record of this harness.
func (h *harness) noticeRecord(observations []observation, disconnects []disconnect) noticeRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	record := noticeRecord{
		senders: map[string]nodeEvent{}, arrivals: map[string][]standin.Arrival{}, incarnations: map[string][]time.Time{},
		starts: h.starts, disturbances: h.disturbances, interruptions: map[string][]disturbance{},
	}
	for _, o := range observations {
		record.senders[o.id] = nodeEvent{o.node, o.began}
	}
	for _, d := range disconnects {
		record.senders[d.id] = nodeEvent{d.node, d.sent}
	}
	for _, b := range h.backends {
		record.arrivals[b.id] = b.arrivals()
		record.incarnations[b.id] = b.incarnations
		record.interruptions[b.id] = b.proxy.interruptions()
	}
	return record
}

// undisturbed reports whether a node ran without interruption in a period, with the build under test: older builds
// may not support backends' notices.
func (r *noticeRecord) undisturbed(node int, from, to time.Time) bool {
	span := observation{node: node, began: from, ended: to}
	older := false
	for _, start := range r.starts {
		if start.node != node || !start.at.Before(to) {
			continue
		}
		if start.at.After(from) {
			return false
		}
		older = start.older
	}
	return !older && !disturbed(span, r.disturbances)
}

// sameIncarnation reports whether a backend did not restart in a period.
func (r *noticeRecord) sameIncarnation(backend string, from, to time.Time) bool {
	for _, start := range r.incarnations[backend] {
		if start.After(from) && start.Before(to) {
			return false
		}
	}
	return true
}

// incarnationAt returns the number of the incarnation of a backend at a time.
func (r *noticeRecord) incarnationAt(backend string, at time.Time) int {
	number := 0
	for _, start := range r.incarnations[backend] {
		if !start.After(at) {
			number++
		}
	}
	return number
}

// checkLeaving returns the requests that reached backends from nodes that had already forwarded their leaving
// notice, and the number of such notices. A notice is at the head of a response, which may end long after its backend has
// restarted: it is one of the incarnation at the beginning of its request.
func checkLeaving(observations []observation, record noticeRecord) (violations []string, notices int) {
	type noticeSource struct {
		backend           string
		incarnation, node int
	}
	firstForwarded := map[noticeSource]observation{}
	for _, o := range observations {
		if !o.leaving {
			continue
		}
		backend := strings.TrimPrefix(o.signature, "sig.")
		source := noticeSource{backend, record.incarnationAt(backend, o.began), o.node}
		if first, known := firstForwarded[source]; !known || o.ended.Before(first.ended) {
			firstForwarded[source] = o
		}
	}
	for source, first := range firstForwarded {
		at, from := first.ended, first.ended.Add(-leavingGrace)
		if first.began.Before(from) {
			from = first.began
		}
		for _, arrival := range record.arrivals[source.backend] {
			sender, known := record.senders[arrival.Request]
			ignored := known && sender.node == source.node && sender.at.After(at.Add(leavingGrace))
			if ignored && record.sameIncarnation(source.backend, from, arrival.At) && record.undisturbed(source.node, at, sender.at) {
				violations = append(violations, fmt.Sprintf("%s reached %s from node %d %v after its leaving notice",
					arrival.Request, source.backend, source.node, sender.at.Sub(at)))
			}
		}
	}
	return violations, len(firstForwarded)
}

// checkBackoffs returns the backends that got too many requests during a backoff that they had asked a node for, and
// the number of backoffs checked.
func checkBackoffs(record noticeRecord) (violations []string, backoffs int) {
	for backend, arrivals := range record.arrivals {
		for i, asked := range arrivals {
			sender, known := record.senders[asked.Request]
			ends := asked.At.Add(backoffTime)
			// A node does not see a response that is held or lost, and a request that is held arrives late.
			span := observation{began: asked.At.Add(-inFlightTime), ended: ends}
			if !asked.RejectedWithBackoff || !known || !record.undisturbed(sender.node, span.began, ends) ||
				!record.sameIncarnation(backend, asked.At, ends) || interruptedDuring(span, record.interruptions[backend]) {
				continue
			}
			backoffs++
			within := 0
			for _, later := range arrivals[i+1:] {
				from, known := record.senders[later.Request]
				if known && from.node == sender.node && later.At.After(asked.At.Add(inFlightTime)) && later.At.Before(ends) {
					within++
				}
			}
			if within > maxInBackoff {
				violations = append(violations, fmt.Sprintf("%s had asked node %d for backoff at %s and got %d requests from it",
					backend, sender.node, asked.At.Format(time.TimeOnly), within))
			}
		}
	}
	return violations, backoffs
}

// TestChecksDetectRequestsToLeavingBackends has a request reach a backend soon and late after its notice. Late
// requests are violations, except in the cases that are exempt.
func TestChecksDetectRequestsToLeavingBackends(t *testing.T) {
	g := NewWithT(t)
	at := func(seconds float64) time.Time {
		return time.Unix(100, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	notice := observation{id: "word", node: 1, leaving: true, signature: "sig.b", began: at(-0.1), ended: at(0)}
	record := func(sent float64) noticeRecord {
		return noticeRecord{
			senders:      map[string]nodeEvent{"late": {1, at(sent)}, "other": {2, at(sent)}},
			arrivals:     map[string][]standin.Arrival{"b": {{At: at(sent + 0.1), Request: "late"}, {At: at(sent + 0.1), Request: "other"}}},
			incarnations: map[string][]time.Time{},
		}
	}
	check := func(r noticeRecord) []string {
		violations, notices := checkLeaving([]observation{notice}, r)
		g.Expect(notices).To(Equal(1))
		return violations
	}
	g.Expect(check(record(1.9))).To(BeEmpty())
	g.Expect(check(record(2.1))).To(HaveLen(1))
	exempt := record(2.1)
	exempt.incarnations["b"] = []time.Time{at(1)}
	g.Expect(check(exempt)).To(BeEmpty(), "its next incarnation")
	exempt = record(2.1)
	exempt.starts = []nodeStart{{nodeEvent: nodeEvent{1, at(1)}}}
	g.Expect(check(exempt)).To(BeEmpty(), "a restarted node")
	exempt.starts[0].node = 2
	g.Expect(check(exempt)).To(HaveLen(1))
	exempt.starts = []nodeStart{{nodeEvent{1, at(-9)}, true}}
	g.Expect(check(exempt)).To(BeEmpty(), "an older build")
	exempt.starts = append(exempt.starts, nodeStart{nodeEvent{1, at(-5)}, false})
	g.Expect(check(exempt)).To(HaveLen(1), "the older build was replaced")
	exempt.disturbances = []disturbance{{node: 1, from: at(0.5), to: at(1)}}
	g.Expect(check(exempt)).To(BeEmpty(), "a frozen node")
	// The response of an earlier incarnation ends long after the restart; the later one sends a notice of its own.
	restarted := record(2.1)
	restarted.incarnations["b"] = []time.Time{at(-60), at(-3)}
	held := notice
	held.began = at(-3.5)
	violations, notices := checkLeaving([]observation{held}, restarted)
	g.Expect(notices).To(Equal(1))
	g.Expect(violations).To(BeEmpty(), "a notice of an earlier incarnation")
	violations, notices = checkLeaving([]observation{held, notice}, restarted)
	g.Expect(notices).To(Equal(2))
	g.Expect(violations).To(HaveLen(1), "notices of both incarnations")
}

// TestChecksDetectIgnoredBackoffs has requests of one node reach a backend that has asked the node for backoff.
func TestChecksDetectIgnoredBackoffs(t *testing.T) {
	g := NewWithT(t)
	began := time.Unix(100, 0)
	record := noticeRecord{senders: map[string]nodeEvent{}, arrivals: map[string][]standin.Arrival{}}
	arrive := func(id string, node int, after time.Duration, rejectedWithBackoff bool) {
		record.senders[id] = nodeEvent{node, began}
		record.arrivals["b"] = append(record.arrivals["b"], standin.Arrival{At: began.Add(after), Request: id, RejectedWithBackoff: rejectedWithBackoff})
	}
	arrive("asked", 1, 0, true)
	arrive("early", 1, inFlightTime, false)
	arrive("first", 1, inFlightTime+time.Millisecond, false)
	arrive("second", 1, inFlightTime+2*time.Millisecond, false)
	arrive("other", 2, inFlightTime+3*time.Millisecond, false)
	arrive("after", 1, backoffTime, false)
	violations, backoffs := checkBackoffs(record)
	g.Expect(violations).To(BeEmpty())
	g.Expect(backoffs).To(Equal(1))
	arrive("third", 1, backoffTime-time.Millisecond, false)
	violations, _ = checkBackoffs(record)
	g.Expect(violations).To(HaveLen(1))
	record.interruptions = map[string][]disturbance{"b": {{from: began, to: began.Add(time.Second)}}}
	violations, backoffs = checkBackoffs(record)
	g.Expect(violations).To(BeEmpty())
	g.Expect(backoffs).To(BeZero())
}
