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
	// noticeStream numbers the random stream of back ends that tell of themselves.
	noticeStream = 5
	// drainTime is how long after a node has passed on the word of a back end that leaves a caller's
	// request may still be sent there.
	drainTime = 2 * time.Second
	// backoffTime is the backoff that back ends ask for, as backoffText on the wire.
	backoffTime = 1500 * time.Millisecond
	backoffText = "1.5"
	// backoffNoticed is how long after that requests may still arrive which were on their way, and maxInBackoff
	// how many of one node may arrive later.
	backoffNoticed = 500 * time.Millisecond
	maxInBackoff   = 2
	// farewell is how long a back end that leaves serves on after its entry says so.
	farewell = 2500 * time.Millisecond
)

// setCondition replaces what a back end says of itself.
func (b *backEnd) setCondition(condition standin.Condition) {
	if b.engine != nil {
		b.engine.SetCondition(condition)
		return
	}
	b.server.SetCondition(condition)
}

// arrivals returns what has arrived at a back end.
func (b *backEnd) arrivals() []standin.Arrival {
	if b.engine != nil {
		return b.engine.Arrivals()
	}
	return b.server.Arrivals()
}

// noticeFaults has back ends leave by their own word, long before their entries say so, and ask for backoff:
// one, a share of what one is sent, or all of a service.
func (w *world) noticeFaults(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		live := w.registered()
		if len(live) == 0 {
			time.Sleep(farewell)
			continue
		}
		b := live[random.IntN(len(live))]
		lasting := time.Duration(500+random.IntN(3000)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			w.restarting.Go(func() { w.leaveByWord(b, drainTime+lasting) })
		case 1:
			w.restarting.Go(func() { w.askForBackoff([]*backEnd{b}, 0, lasting) })
		case 2:
			w.restarting.Go(func() { w.askForBackoff([]*backEnd{b}, 0.4, lasting) })
		default:
			w.restarting.Go(func() { w.askForBackoff(w.backEndsOf(b.service), 0, lasting/2) })
		}
		time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
	}
}

// registered returns the back ends that have an entry.
func (w *world) registered() []*backEnd {
	names := w.store.Names("servers")
	w.mu.Lock()
	defer w.mu.Unlock()
	var live []*backEnd
	for _, b := range w.backEnds {
		if slices.Contains(names, b.id) {
			live = append(live, b)
		}
	}
	return live
}

// backEndsOf returns the back ends of a service.
func (w *world) backEndsOf(service string) []*backEnd {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*backEnd
	for _, b := range w.backEnds {
		if b.service == service {
			found = append(found, b)
		}
	}
	return found
}

// leaveByWord has another back end come, and one say in its answers that it leaves; its entry says so
// after a while, and goes later.
func (w *world) leaveByWord(b *backEnd, unknown time.Duration) {
	stage := b.stage
	if b.engine != nil {
		stage = b.engine.Stage()
	}
	w.addBackEnd(b.service, stage)
	born := b.born.Load()
	b.setCondition(standin.Condition{Leaving: true})
	time.Sleep(unknown)
	if b.born.Load() != born {
		return // Its next life does not leave.
	}
	w.announce(b, "draining", stage)
	time.Sleep(farewell)
	if b.born.Load() == born {
		w.store.Remove("servers", b.id)
	}
}

// askForBackoff has back ends turn a share of their requests away for a time, zero for all, and ask for backoff.
func (w *world) askForBackoff(asking []*backEnd, share float64, lasting time.Duration) {
	for _, b := range asking {
		b.setCondition(standin.Condition{Backoff: backoffText, RejectShare: share})
	}
	time.Sleep(lasting)
	for _, b := range asking {
		b.setCondition(standin.Condition{})
	}
}

// nodeMoment is a moment in the life of a node.
type nodeMoment struct {
	node int
	at   time.Time
}

// noticeRecord is what the promises on back ends that tell of themselves are judged by.
type noticeRecord struct {
	// senders are the nodes that requests were sent to, and when, by the requests' identifiers.
	senders map[string]nodeMoment
	// arrivals are those at each back end, lives when its lives began.
	arrivals map[string][]standin.Arrival
	lives    map[string][]time.Time
	// starts are the starts of nodes, disturbances what befell them, and troubles the times in which
	// the connections of each back end were held, cut or silenced.
	starts       []nodeStart
	disturbances []disturbance
	troubles     map[string][]disturbance
}

// noticeRecord returns the record of this world.
func (w *world) noticeRecord(observations []observation, left []departure) noticeRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	record := noticeRecord{
		senders: map[string]nodeMoment{}, arrivals: map[string][]standin.Arrival{}, lives: map[string][]time.Time{},
		starts: w.starts, disturbances: w.disturbances, troubles: map[string][]disturbance{},
	}
	for _, o := range observations {
		record.senders[o.id] = nodeMoment{o.node, o.began}
	}
	for _, d := range left {
		record.senders[d.id] = nodeMoment{d.node, d.sent}
	}
	for _, b := range w.backEnds {
		record.arrivals[b.id] = b.arrivals()
		record.lives[b.id] = b.lives
		record.troubles[b.id] = b.proxy.troubled()
	}
	return record
}

// undisturbed reports whether a node ran on in a time, by the build that is tried: older ones may not know
// what back ends say of themselves.
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

// sameLife reports whether a back end did not start again in a time.
func (r *noticeRecord) sameLife(backEnd string, from, to time.Time) bool {
	for _, life := range r.lives[backEnd] {
		if life.After(from) && life.Before(to) {
			return false
		}
	}
	return true
}

// judgeWords returns what reached back ends from nodes that had passed on their word that they leave,
// and how many such words there were.
func judgeWords(observations []observation, record noticeRecord) (violations []string, words int) {
	type pair struct {
		backEnd string
		node    int
	}
	heard := map[pair]time.Time{}
	for _, o := range observations {
		if !o.leaving {
			continue
		}
		said := pair{strings.TrimPrefix(o.signature, "sig."), o.node}
		if first, known := heard[said]; !known || o.ended.Before(first) {
			heard[said] = o.ended
		}
	}
	for said, at := range heard {
		for _, arrival := range record.arrivals[said.backEnd] {
			sender, known := record.senders[arrival.Request]
			late := known && sender.node == said.node && sender.at.After(at.Add(drainTime))
			if late && record.sameLife(said.backEnd, at.Add(-drainTime), arrival.At) && record.undisturbed(said.node, at, sender.at) {
				violations = append(violations, fmt.Sprintf("%s reached %s from node %d %v after its word that it leaves",
					arrival.Request, said.backEnd, said.node, sender.at.Sub(at)))
			}
		}
	}
	return violations, len(heard)
}

// judgeBackoffs returns what reached back ends in the backoff that they had asked nodes for, and how many backoffs
// were looked at.
func judgeBackoffs(record noticeRecord) (violations []string, backoffs int) {
	for backEnd, arrivals := range record.arrivals {
		for i, asked := range arrivals {
			sender, known := record.senders[asked.Request]
			ends := asked.At.Add(backoffTime)
			// An answer that is held or lost is not heard, and a request that is held arrives late.
			span := observation{began: asked.At.Add(-backoffNoticed), ended: ends}
			if !asked.Rejected || !known || !record.undisturbed(sender.node, span.began, ends) ||
				!record.sameLife(backEnd, asked.At, ends) || touched(span, record.troubles[backEnd]) {
				continue
			}
			backoffs++
			within := 0
			for _, later := range arrivals[i+1:] {
				from, known := record.senders[later.Request]
				if known && from.node == sender.node && later.At.After(asked.At.Add(backoffNoticed)) && later.At.Before(ends) {
					within++
				}
			}
			if within > maxInBackoff {
				violations = append(violations, fmt.Sprintf("%s had asked node %d for backoff at %s and got %d requests from it",
					backEnd, sender.node, asked.At.Format(time.TimeOnly), within))
			}
		}
	}
	return violations, backoffs
}

// TestJudgeNoticesWords has a request reach a back end early and late after its word, and late where that
// is excused.
func TestJudgeNoticesWords(t *testing.T) {
	g := NewWithT(t)
	at := func(seconds float64) time.Time {
		return time.Unix(100, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	word := observation{id: "word", node: 1, leaving: true, signature: "sig.b", ended: at(0)}
	record := func(sent float64) noticeRecord {
		return noticeRecord{
			senders:  map[string]nodeMoment{"late": {1, at(sent)}, "other": {2, at(sent)}},
			arrivals: map[string][]standin.Arrival{"b": {{At: at(sent + 0.1), Request: "late"}, {At: at(sent + 0.1), Request: "other"}}},
			lives:    map[string][]time.Time{},
		}
	}
	judged := func(r noticeRecord) []string {
		violations, words := judgeWords([]observation{word}, r)
		g.Expect(words).To(Equal(1))
		return violations
	}
	g.Expect(judged(record(1.9))).To(BeEmpty())
	g.Expect(judged(record(2.1))).To(HaveLen(1))
	excused := record(2.1)
	excused.lives["b"] = []time.Time{at(1)}
	g.Expect(judged(excused)).To(BeEmpty(), "its next life")
	excused = record(2.1)
	excused.starts = []nodeStart{{nodeMoment: nodeMoment{1, at(1)}}}
	g.Expect(judged(excused)).To(BeEmpty(), "a node that started again")
	excused.starts[0].node = 2
	g.Expect(judged(excused)).To(HaveLen(1))
	excused.starts = []nodeStart{{nodeMoment{1, at(-9)}, true}}
	g.Expect(judged(excused)).To(BeEmpty(), "an older build")
	excused.starts = append(excused.starts, nodeStart{nodeMoment{1, at(-5)}, false})
	g.Expect(judged(excused)).To(HaveLen(1), "no longer")
	excused.disturbances = []disturbance{{node: 1, from: at(0.5), to: at(1)}}
	g.Expect(judged(excused)).To(BeEmpty(), "a node that stood still")
}

// TestJudgeNoticesBackoffs has requests of one node reach a back end after it has asked that for backoff.
func TestJudgeNoticesBackoffs(t *testing.T) {
	g := NewWithT(t)
	began := time.Unix(100, 0)
	record := noticeRecord{senders: map[string]nodeMoment{}, arrivals: map[string][]standin.Arrival{}}
	arrive := func(id string, node int, after time.Duration, turnedAway bool) {
		record.senders[id] = nodeMoment{node, began}
		record.arrivals["b"] = append(record.arrivals["b"], standin.Arrival{At: began.Add(after), Request: id, Rejected: turnedAway})
	}
	arrive("asked", 1, 0, true)
	arrive("early", 1, backoffNoticed, false)
	arrive("first", 1, backoffNoticed+time.Millisecond, false)
	arrive("second", 1, backoffNoticed+2*time.Millisecond, false)
	arrive("other", 2, backoffNoticed+3*time.Millisecond, false)
	arrive("after", 1, backoffTime, false)
	violations, backoffs := judgeBackoffs(record)
	g.Expect(violations).To(BeEmpty())
	g.Expect(backoffs).To(Equal(1))
	arrive("third", 1, backoffTime-time.Millisecond, false)
	violations, _ = judgeBackoffs(record)
	g.Expect(violations).To(HaveLen(1))
	record.troubles = map[string][]disturbance{"b": {{from: began, to: began.Add(time.Second)}}}
	violations, backoffs = judgeBackoffs(record)
	g.Expect(violations).To(BeEmpty())
	g.Expect(backoffs).To(BeZero())
}
