package rebalance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/api"
)

const step = 5 * time.Second

// observeConstant observes a constant load and returns the first advice and its time.
func observeConstant(advisor *Advisor, from time.Duration, load Load, length time.Duration) (Advice, time.Duration, bool) {
	for now := from; now < from+length; now += step {
		if advice, due := advisor.Observe(now, load); due {
			return advice, now, true
		}
	}
	return Advice{}, 0, false
}

func TestShortRoleGetsAnEngine(t *testing.T) {
	g := NewWithT(t)
	advice, at, due := observeConstant(New(Options{}), 0, Load{PrefillEngines: 4, DecodeEngines: 4, Prefill: 4.4, Decode: 2}, time.Minute)
	g.Expect(due).To(BeTrue())
	g.Expect(advice.From).To(Equal(api.RoleDecode))
	g.Expect(advice.To).To(Equal(api.RolePrefill))
	g.Expect(at).To(BeNumerically(">=", defaultSustain))
	advice, _, due = observeConstant(New(Options{}), 0, Load{PrefillEngines: 4, DecodeEngines: 4, Prefill: 2, Decode: 4.4}, time.Minute)
	g.Expect(due).To(BeTrue())
	g.Expect(advice.To).To(Equal(api.RoleDecode))
}

func TestBurstAndBalanceAreLeftAlone(t *testing.T) {
	g := NewWithT(t)
	quiet := Load{PrefillEngines: 4, DecodeEngines: 4, Prefill: 2, Decode: 2}
	burst := Load{PrefillEngines: 4, DecodeEngines: 4, Prefill: 6, Decode: 2}
	advisor := New(Options{})
	for now := time.Duration(0); now < 10*time.Minute; now += step {
		load := quiet
		if now%time.Minute < 10*time.Second {
			load = burst
		}
		_, due := advisor.Observe(now, load)
		g.Expect(due).To(BeFalse(), "at %s", now)
	}
	_, _, due := observeConstant(New(Options{}), 0, Load{PrefillEngines: 4, DecodeEngines: 4, Prefill: 5, Decode: 5}, time.Hour)
	g.Expect(due).To(BeFalse(), "both roles are short of engines")
}

func TestLastEngineOfARoleStays(t *testing.T) {
	g := NewWithT(t)
	_, _, due := observeConstant(New(Options{}), 0, Load{PrefillEngines: 1, DecodeEngines: 1, Prefill: 5, Decode: 0}, time.Hour)
	g.Expect(due).To(BeFalse())
}

// TestChangesConverge follows every advice under a constant load: each change lowers the highest
// utilization, none is reverted, and they come to an end.
func TestChangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := Load{
			PrefillEngines: rapid.IntRange(1, 12).Draw(t, "prefill engines"), DecodeEngines: rapid.IntRange(1, 12).Draw(t, "decode engines"),
			Prefill: rapid.Float64Range(0, 12).Draw(t, "prefill"), Decode: rapid.Float64Range(0, 12).Draw(t, "decode"),
		}
		advisor := New(Options{})
		var direction api.Role
		changes, changedAt := 0, -time.Hour
		for now := time.Duration(0); now < time.Hour; now += step {
			advice, due := advisor.Observe(now, load)
			if !due {
				continue
			}
			before := load.maxUtilization()
			change := 1
			if advice.To == api.RoleDecode {
				change = -1
			}
			load.PrefillEngines += change
			load.DecodeEngines -= change
			if load.maxUtilization() >= before {
				t.Fatalf("the highest utilization went from %f to %f", before, load.maxUtilization())
			}
			if direction != "" && direction != advice.To {
				t.Fatal("a change was reverted")
			}
			if now-changedAt < defaultCooldown {
				t.Fatalf("two changes within %s", now-changedAt)
			}
			direction, changedAt = advice.To, now
			changes++
		}
		if changes > 11 || load.PrefillEngines < 1 || load.DecodeEngines < 1 {
			t.Fatalf("%d changes, left with %+v", changes, load)
		}
	})
}
