package retrybudget_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/retrybudget"
)

func members(names ...string) []retrybudget.Member {
	var all []retrybudget.Member
	for _, name := range names {
		all = append(all, retrybudget.Member{Name: name, Incarnation: "1"})
	}
	return all
}

func units(a retrybudget.Allocation) map[string]int {
	byNode := map[string]int{}
	for name, share := range a.Shares {
		byNode[name] = share.Units
	}
	return byNode
}

// TestSharesGrowAfterOthersConfirm checks that a new node gets units only once another node has confirmed that
// it has given them up, and that a remaining node gets the units of removed ones.
func TestSharesGrowAfterOthersConfirm(t *testing.T) {
	g := NewWithT(t)
	const total = 12
	first, changed := retrybudget.Allocation{}.Next(members("a", "b"), total)
	g.Expect(changed).To(BeTrue())
	g.Expect(units(first)).To(Equal(map[string]int{"a": 6, "b": 6}))
	_, changed = first.Next(members("a", "b"), total)
	g.Expect(changed).To(BeFalse())

	four := members("a", "b", "c", "d")
	grown, _ := first.Next(four, total)
	g.Expect(units(grown)).To(Equal(map[string]int{"a": 3, "b": 3}), "nothing is free yet")
	four[0].Confirmed = grown.Generation
	grown, _ = grown.Next(four, total)
	g.Expect(units(grown)).To(Equal(map[string]int{"a": 3, "b": 3, "c": 3}), "a has confirmed")
	four[1].Confirmed = grown.Generation
	grown, _ = grown.Next(four, total)
	g.Expect(units(grown)).To(Equal(map[string]int{"a": 3, "b": 3, "c": 3, "d": 3}))

	shrunk, _ := grown.Next(four[:1], total)
	g.Expect(units(shrunk)).To(Equal(map[string]int{"a": 12}))
}

// TestRemainderIsDistributed checks that shares are about equal and add up to the total, for totals that are not
// a multiple of the number of nodes.
func TestRemainderIsDistributed(t *testing.T) {
	g := NewWithT(t)
	for _, total := range []int{2, 5, 13} {
		allocation, _ := retrybudget.Allocation{}.Next(members("a", "b", "c", "d"), total)
		sum := 0
		for _, share := range units(allocation) {
			g.Expect(share).To(BeNumerically("~", total/4, 1))
			sum += share
		}
		g.Expect(sum).To(Equal(total))
	}
}

// TestBriefAbsenceChangesNoOtherShare checks that an absent node's share is kept for it: with eight nodes, the
// others would get only a seventh more.
func TestBriefAbsenceChangesNoOtherShare(t *testing.T) {
	g := NewWithT(t)
	all := members("a", "b", "c", "d", "e", "f", "g", "h")
	before, _ := retrybudget.Allocation{}.Next(all, 48)
	_, changed := before.Next(all[1:], 48)
	g.Expect(changed).To(BeFalse())
	all[0].Incarnation = "2"
	after, changed := before.Next(all, 48)
	g.Expect(changed).To(BeTrue())
	g.Expect(units(after)).To(Equal(units(before)))
	for name, share := range after.Shares {
		g.Expect(share.Unconfirmed).To(BeZero(), name)
	}
}

// TestNextIncarnationInheritsShare checks that a restarted node gets the share of its previous start, which no
// other node has had in between.
func TestNextIncarnationInheritsShare(t *testing.T) {
	g := NewWithT(t)
	first, _ := retrybudget.Allocation{}.Next(members("a"), 4)
	again, changed := first.Next([]retrybudget.Member{{Name: "a", Incarnation: "2"}}, 4)
	g.Expect(changed).To(BeTrue())
	g.Expect(again.Shares["a"]).To(Equal(retrybudget.Share{Incarnation: "2", Units: 4, Initial: true}))
}

// TestIncreaseIsUsableOneWindowLater checks that an increase is usable one window later, and a reduction applies
// immediately.
func TestIncreaseIsUsableOneWindowLater(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	holder := retrybudget.NewHolder(window, func() time.Time { return now })
	holder.SetShare(retrybudget.Share{Units: 5})
	now = now.Add(window - 1)
	g.Expect(holder.Usable()).To(BeZero())
	now = now.Add(1)
	g.Expect(holder.Usable()).To(Equal(5))
	holder.SetShare(retrybudget.Share{Units: 8})
	g.Expect(holder.Usable()).To(Equal(5))
	holder.SetShare(retrybudget.Share{Units: 2})
	g.Expect(holder.Usable()).To(Equal(2))
	holder.SetShare(retrybudget.Share{Units: 8})
	now = now.Add(window - 1)
	g.Expect(holder.Usable()).To(Equal(2))
	now = now.Add(1)
	g.Expect(holder.Usable()).To(Equal(8))
}

// TestDecodeRejectsInvalidAllocations checks that another writer of the object cannot raise what nodes spend.
func TestDecodeRejectsInvalidAllocations(t *testing.T) {
	g := NewWithT(t)
	const total = 8
	valid, err := retrybudget.DecodeAllocation([]byte(`{"generation":3,"shares":{"a":{"start":"1","units":5},"b":{"start":"1","units":2,"unconfirmed":1}}}`), total)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(units(valid)).To(Equal(map[string]int{"a": 5, "b": 2}))
	for _, invalid := range []string{
		``, `[]`, `{}`, `{"generation":3,"shares":{"a":{"units":"5"}}}`, `{"generation":3,"shares":{"a":{"start":"1","units":9}}}`,
		`{"generation":3,"shares":{"a":{"start":"1","units":9},"b":{"start":"1","units":-5}}}`, "\xff",
	} {
		_, err := retrybudget.DecodeAllocation([]byte(invalid), total)
		g.Expect(err).To(HaveOccurred(), invalid)
	}
}

// TestInitialShareIsUsableImmediately checks that an initial share is usable immediately, stays usable when
// another node's share is added, and is no longer usable once given up.
func TestInitialShareIsUsableImmediately(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	holder := retrybudget.NewHolder(window, func() time.Time { return now })
	first, _ := retrybudget.Allocation{}.Next(members("a", "b"), 8)
	holder.SetShare(first.Shares["a"])
	g.Expect(holder.Usable()).To(Equal(4))
	grown, _ := first.Next(members("a"), 8)
	holder.SetShare(grown.Shares["a"])
	g.Expect(holder.Usable()).To(Equal(4), "the rest was b's")
	holder.SetShare(retrybudget.Share{})
	holder.SetShare(first.Shares["a"])
	g.Expect(holder.Usable()).To(BeZero(), "it had been given up")
}

// spender is one start of a node that spends all it may.
type spender struct {
	member retrybudget.Member
	holder *retrybudget.Holder
	budget *retrybudget.Budget
}

func newSpender(name string, start int, now func() time.Time) *spender {
	holder := retrybudget.NewHolder(window, now)
	return &spender{
		member: retrybudget.Member{Name: name, Incarnation: strconv.Itoa(start)}, holder: holder,
		budget: retrybudget.New(retrybudget.Options{
			Window: window, Now: now, Burst: func() float64 { return float64(holder.Usable()) },
		}),
	}
}

// receive applies the node's share of an allocation.
func (s *spender) receive(allocation retrybudget.Allocation) {
	share := allocation.Shares[s.member.Name]
	if share.Incarnation != s.member.Incarnation {
		share = retrybudget.Share{}
	}
	s.holder.SetShare(share)
	s.member.Confirmed = allocation.Generation
}

// TestAllSharesStayWithinTotal has nodes start, restart and leave while they spend all they may. They receive
// allocations late and miss some, and the allocating node learns of nodes from the store. The retries of all
// nodes in any window stay within the total.
func TestAllSharesStayWithinTotal(t *testing.T) {
	const total, nodes = 9, 5
	rapid.Check(t, func(t *rapid.T) {
		// rapid draws small numbers more often than others, so only the seed is drawn.
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, seed))
		chance := func(share float64) bool { return random.Float64() < share }
		now := time.Unix(0, 0)
		clock := func() time.Time { return now }
		live, registered := map[string]*spender{}, map[string]retrybudget.Member{}
		starts := 0
		var allocation retrybudget.Allocation
		var spent []time.Time
		const steps, pause = 200, 2 * time.Second
		for range steps {
			now = now.Add(time.Duration(random.Int64N(int64(pause))))
			name := strconv.Itoa(random.IntN(nodes))
			if live[name] == nil || chance(0.05) {
				starts++
				live[name] = newSpender(name, starts, clock)
			} else if chance(0.15) {
				delete(live, name)
			}
			for _, name := range slices.Sorted(maps.Keys(live)) {
				node := live[name]
				if chance(0.1) {
					node.receive(allocation)
				}
				for spends := chance(0.5); spends && sendRetries(node.budget, 1); {
					spent = append(spent, now)
				}
				// A start registers some time after it began, in place of the previous one.
				if registered[name].Incarnation == node.member.Incarnation || chance(0.4) {
					registered[name] = node.member
				}
			}
			for _, name := range slices.Sorted(maps.Keys(registered)) {
				if live[name] == nil && chance(0.4) {
					delete(registered, name)
				}
			}
			members := slices.Collect(maps.Values(registered))
			if next, changed := allocation.Next(members, total); changed && chance(0.7) {
				allocation = next
			}
		}
		expectNoWindowAbove(t, nil, spent, total)
	})
}
