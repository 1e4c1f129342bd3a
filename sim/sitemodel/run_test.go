package sitemodel

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// meanScore runs a policy with some seeds and returns the mean score.
func meanScore(g *WithT, site, policy string, prefill int) float64 {
	const seeds = 3
	total := 0.0
	for seed := range uint64(seeds) {
		outcome, err := Run(Options{Site: site, Policy: policy, Seed: seed, Load: 1, Length: time.Minute, Prefill: prefill})
		g.Expect(err).NotTo(HaveOccurred())
		total += outcome.Score
	}
	return total / seeds
}

// TestRankingOfPolicies checks that the model ranks policies in the order of the reference benchmark.
func TestRankingOfPolicies(t *testing.T) {
	for _, site := range Sites() {
		t.Run(site, func(t *testing.T) {
			g := NewWithT(t)
			coordinator := meanScore(g, site, PolicyCoordinator, 0)
			reservation := meanScore(g, site, PolicyReservation, 0)
			random := meanScore(g, site, PolicyRandom, 0)
			g.Expect(coordinator).To(BeNumerically(">", reservation+0.05))
			g.Expect(reservation).To(BeNumerically(">", random+0.05))
			const defaultPrefill = 4
			g.Expect(coordinator).To(BeNumerically(">", meanScore(g, site, PolicyCoordinator, defaultPrefill)+0.05))
		})
	}
}

func TestSameSeedSameOutcome(t *testing.T) {
	g := NewWithT(t)
	options := Options{Site: "amrc-site", Policy: PolicyCoordinator, Seed: 3, Load: 1.3, Length: 30 * time.Second}
	first, err := Run(options)
	g.Expect(err).NotTo(HaveOccurred())
	second, err := Run(options)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first).To(Equal(second))
}

// TestResumedStreamsAreLostBesideOtherVersions has callers break off and resume every fifth stream while two and three
// versions of the decode engines' software serve: about as many streams continue as new ones are served.
func TestResumedStreamsAreLostBesideOtherVersions(t *testing.T) {
	for _, site := range Sites() {
		for _, versions := range []int{1, 2, 3} {
			g := NewWithT(t)
			outcome, err := Run(Options{
				Site: site, Policy: PolicyCoordinator, Seed: 1, Load: 1.4, Length: 2 * time.Minute, Versions: versions, BreakShare: 0.2,
			})
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("%s, %d versions: worth %.3f, rejected %.3f, %d resumed, %.3f continued", site, versions, outcome.Score, outcome.Rejected, outcome.Resumed, outcome.Continued)
			g.Expect(outcome.Resumed).To(BeNumerically(">", 100))
			g.Expect(outcome.Continued).To(BeNumerically(">=", 0.9*(1-outcome.Rejected)))
		}
	}
}

// TestNothingIsLost checks that every request ends exactly once, at any load and with any policy.
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{
			Site: rapid.SampledFrom(Sites()).Draw(t, "site"), Policy: rapid.SampledFrom(Policies()).Draw(t, "policy"),
			Seed: rapid.Uint64().Draw(t, "seed"), Load: rapid.Float64Range(0.1, 3).Draw(t, "load"),
			Length: 5 * time.Second, Prefill: rapid.IntRange(1, 8).Draw(t, "prefill"),
			BreakShare: rapid.Float64Range(0, 1).Draw(t, "breaks"),
		}
		outcome, err := Run(options)
		if err != nil {
			t.Fatal(err)
		}
		if outcome.Failed != 0 {
			t.Fatalf("%v of the requests never ended", outcome.Failed)
		}
		const rounding = 1e-4
		if sum := outcome.InTime + outcome.Late + outcome.Rejected; sum < 1-rounding || sum > 1+rounding {
			if outcome.Offered > 0 {
				t.Fatalf("shares sum to %v", sum)
			}
		}
	})
}

func TestUnknownNames(t *testing.T) {
	g := NewWithT(t)
	_, err := Run(Options{Site: "elsewhere", Policy: PolicyRandom})
	g.Expect(err).To(MatchError(ContainSubstring("elsewhere")))
	_, err = Run(Options{Site: "amrc-site", Policy: "chance"})
	g.Expect(err).To(MatchError(ContainSubstring("chance")))
}
