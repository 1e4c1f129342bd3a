package backendpath_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/backendpath"
)

// simulation drives a tracker in simulated time: the node's own link and the links of another node fail by address.
type simulation struct {
	tracker  *backendpath.Tracker
	now      time.Time
	backends []string
	// cut are the addresses that this node does not reach, and down those that no node reaches.
	cut, down map[string]bool
	// alone is set if no other node can open tunnels.
	alone   bool
	changes []backendpath.Change
	// direct and tunnelled count the connections that were attempted.
	direct, tunnelled int
}

func newSimulation(backends int) *simulation {
	s := &simulation{now: time.Unix(1_700_000_000, 0), cut: map[string]bool{}, down: map[string]bool{}}
	for i := range backends {
		s.backends = append(s.backends, fmt.Sprintf("10.0.0.%d:80", i))
	}
	s.tracker = backendpath.New(backendpath.Options{
		Now: func() time.Time { return s.now }, Wake: func() {},
		MayTunnel: func() bool { return !s.alone },
		Changed:   func(change backendpath.Change) { s.changes = append(s.changes, change) },
		Others: func(count int) []string {
			order := rand.Perm(len(s.backends))
			var others []string
			for _, i := range order[:min(count, len(order))] {
				others = append(others, s.backends[i])
			}
			return others
		},
	})
	return s
}

// cutAll cuts the node's own link to all backends.
func (s *simulation) cutAll(isCut bool) {
	for _, address := range s.backends {
		s.cut[address] = isCut
	}
}

// dial connects over the node's own link, and through the other node if that fails. It reports whether it is connected.
func (s *simulation) dial(address string) bool {
	s.direct++
	if !s.cut[address] && !s.down[address] {
		s.tracker.DirectOpened(address)
		return true
	}
	s.tracker.DirectFailed(address)
	return !s.alone && s.dialTunnel(address)
}

// fail has a connection over the node's own link fail. It is not known whether another node reaches the backend.
func (s *simulation) fail(address string) { s.tracker.DirectFailed(address) }

func (s *simulation) dialTunnel(address string) bool {
	s.tunnelled++
	if s.down[address] {
		s.tracker.TunnelFailed(address)
		return false
	}
	s.tracker.TunnelOpened(address)
	return true
}

// request sends a request on a new connection. It reports whether it was sent.
func (s *simulation) request(address string) bool {
	if s.tracker.Choose(address) == backendpath.Tunnel {
		return s.dialTunnel(address)
	}
	return s.dial(address)
}

// advance lets time pass, with the checks that fall due.
func (s *simulation) advance(duration time.Duration) {
	const step = 10 * time.Millisecond
	for range duration / step {
		s.now = s.now.Add(step)
		for _, address := range s.tracker.Due().Addresses {
			s.dial(address)
		}
	}
}

func TestHealthyLinkIsUsedWithoutChecks(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(12)
	for i := range 1000 {
		address := s.backends[i%len(s.backends)]
		g.Expect(s.request(address)).To(BeTrue())
		s.tracker.Heard()
		s.advance(20 * time.Millisecond)
	}
	g.Expect(s.direct).To(Equal(1000))
	g.Expect(s.tunnelled).To(BeZero())
	g.Expect(s.changes).To(BeEmpty())
}

func TestNodeWithoutLinksCountsAsCutOff(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(12)
	s.cutAll(true)
	g.Expect(s.request(s.backends[0])).To(BeTrue())
	s.advance(20 * time.Millisecond)
	g.Expect(s.tracker.CutOff()).To(BeTrue(), "other backends are checked after the first fault")
	g.Expect(s.changes).To(HaveLen(1))
	for _, address := range s.backends {
		g.Expect(s.tracker.Choose(address)).To(Equal(backendpath.Tunnel))
	}
}

// TestCrashedBackendIsNoFault has a backend fail that no node reaches.
func TestCrashedBackendIsNoFault(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(12)
	s.down[s.backends[0]] = true
	for range 50 {
		g.Expect(s.request(s.backends[0])).To(BeFalse())
		g.Expect(s.request(s.backends[1])).To(BeTrue())
		s.advance(100 * time.Millisecond)
	}
	g.Expect(s.tracker.CutOff()).To(BeFalse())
	g.Expect(s.tracker.FaultyLinks()).To(BeZero())
}

// TestServiceThatRestartsIsNoCut has all backends refuse connections in turn, so that another node often connects a
// moment after this one has failed.
func TestServiceThatRestartsIsNoCut(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(6)
	for _, address := range s.backends {
		s.cut[address] = true
		s.request(address)
		s.cut[address] = false
		s.advance(300 * time.Millisecond)
	}
	s.advance(time.Second)
	g.Expect(s.tracker.CutOff()).To(BeFalse())
	g.Expect(s.tracker.FaultyLinks()).To(BeZero())
}

// TestLinkIsDoubtfulAfterFailuresInARow fails connections to several backends: until one is opened, or a backend sends something,
// the node's link is doubtful. Failures of a single backend are not enough, and old ones do not count.
func TestLinkIsDoubtfulAfterFailuresInARow(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(12)
	s.cutAll(true)
	s.fail(s.backends[0])
	s.fail(s.backends[0])
	g.Expect(s.tracker.Choose(s.backends[5])).To(Equal(backendpath.Direct))
	s.fail(s.backends[1])
	g.Expect(s.tracker.Choose(s.backends[5])).To(Equal(backendpath.Tunnel))
	s.now = s.now.Add(10 * time.Millisecond)
	s.tracker.Heard()
	g.Expect(s.tracker.Choose(s.backends[5])).To(Equal(backendpath.Direct), "an open connection lives on")
	s.now = s.now.Add(10 * time.Millisecond)
	s.fail(s.backends[0])
	s.fail(s.backends[1])
	s.cut[s.backends[2]] = false
	s.dial(s.backends[2])
	g.Expect(s.tracker.Choose(s.backends[5])).To(Equal(backendpath.Direct), "a connection was opened")
	s.fail(s.backends[0])
	s.now = s.now.Add(3 * time.Second)
	s.fail(s.backends[1])
	g.Expect(s.tracker.Choose(s.backends[5])).To(Equal(backendpath.Direct), "the first failure is old")
	s.fail(s.backends[0])
	g.Expect(s.tracker.Choose(s.backends[5])).To(Equal(backendpath.Tunnel))
	s.alone = true
	g.Expect(s.tracker.Choose(s.backends[5])).To(Equal(backendpath.Direct), "there is no other path")
}

// TestTunnelsEndSoonAfterTheLinkHasRecovered bounds how long tunnels outlast their cause.
func TestTunnelsEndSoonAfterTheLinkHasRecovered(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(1000)
	s.cutAll(true)
	s.request(s.backends[0])
	s.advance(12 * time.Second)
	g.Expect(s.tracker.CutOff()).To(BeTrue())
	s.cutAll(false)
	s.advance(time.Second)
	g.Expect(s.tracker.CutOff()).To(BeFalse())
	for _, address := range s.backends {
		g.Expect(s.tracker.Choose(address)).To(Equal(backendpath.Direct))
	}
	g.Expect(s.changes[len(s.changes)-1].Lasted).To(BeNumerically("~", 12*time.Second, time.Second))
}

// TestLostLinkToOneBackendIsTunnelledAlone loses the link to one backend of many.
func TestLostLinkToOneBackendIsTunnelledAlone(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(12)
	s.cut[s.backends[0]] = true
	for range 50 {
		g.Expect(s.request(s.backends[0])).To(BeTrue())
		g.Expect(s.request(s.backends[1])).To(BeTrue())
		s.advance(100 * time.Millisecond)
	}
	g.Expect(s.tracker.CutOff()).To(BeFalse())
	g.Expect(s.tracker.Choose(s.backends[0])).To(Equal(backendpath.Tunnel))
	g.Expect(s.tracker.Choose(s.backends[1])).To(Equal(backendpath.Direct))
	s.cut[s.backends[0]] = false
	s.advance(time.Second)
	g.Expect(s.tracker.Choose(s.backends[0])).To(Equal(backendpath.Direct))
}

// TestLossOfMostLinksSettles loses the links to most backends. Each success elsewhere ends the time in which the node counts as
// cut off; requests must not meet the same faults anew each time.
func TestLossOfMostLinksSettles(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(12)
	for _, address := range s.backends[:8] {
		s.cut[address] = true
	}
	failures := 0
	for i := range 600 {
		address := s.backends[i%len(s.backends)]
		isDirect := s.tracker.Choose(address) == backendpath.Direct
		g.Expect(s.request(address)).To(BeTrue())
		if isDirect && s.cut[address] {
			failures++
		}
		s.advance(50 * time.Millisecond)
	}
	g.Expect(failures).To(BeNumerically("<=", 2*8), "each fault is met once or twice")
}

func TestFailuresOfTheOwnLinkDoNotCount(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(12)
	began := s.now
	s.cutAll(true)
	s.advance(100 * time.Millisecond)
	g.Expect(s.tracker.FailureCounts(s.backends[0], began)).To(BeFalse(), "nothing was heard since")
	s.request(s.backends[0])
	s.advance(time.Second)
	s.dialTunnel(s.backends[1])
	s.tracker.Heard()
	g.Expect(s.tracker.FailureCounts(s.backends[0], began)).To(BeFalse(), "it was sent before the cut was known")
	g.Expect(s.tracker.FailureCounts(s.backends[0], s.now.Add(-time.Millisecond))).To(BeTrue(), "it was sent through another node, which hears others")
}

func TestFailuresThatAnotherNodeMeetsCount(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(12)
	s.down[s.backends[0]] = true
	began := s.now
	s.request(s.backends[0])
	g.Expect(s.tracker.FailureCounts(s.backends[0], began)).To(BeTrue())
}

func TestFailuresCountWithoutAnotherNode(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(12)
	s.alone = true
	g.Expect(s.tracker.FailureCounts(s.backends[0], s.now)).To(BeTrue())
}

// TestLinkStateFollowsTheLinks draws cuts, crashes and requests. As long as another node reaches a backend, requests to it
// are sent; and once the links have recovered, nothing is tunnelled.
func TestLinkStateFollowsTheLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 20).Draw(t, "backends"))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			address := rapid.SampledFrom(s.backends).Draw(t, "address")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s.cutAll(rapid.Bool().Draw(t, "all cut"))
			case 1:
				s.cut[address] = !s.cut[address]
			case 2:
				s.down[address] = !s.down[address]
			default:
				if sent := s.request(address); sent == s.down[address] {
					t.Fatalf("request to %s sent: %v, backend down: %v", address, sent, s.down[address])
				}
			}
			s.advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
		}
		s.cutAll(false)
		clear(s.down)
		s.advance(1500 * time.Millisecond)
		if s.tracker.CutOff() || slices.ContainsFunc(s.backends, func(address string) bool { return s.tracker.Choose(address) == backendpath.Tunnel }) {
			t.Fatalf("tunnels are used although all links work")
		}
	})
}
