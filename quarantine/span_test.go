package quarantine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestSuccessiveRuns(t *testing.T) {
	second := func(began, ended int) span {
		return span{time.Duration(began) * time.Second, time.Duration(ended) * time.Second}
	}
	for name, c := range map[string]struct {
		runs []span
		want int
	}{
		"none":                           {nil, 0},
		"one":                            {[]span{second(0, 1)}, 1},
		"side by side":                   {[]span{second(0, 3), second(1, 3), second(2, 3)}, 1},
		"one after the other":            {[]span{second(4, 5), second(0, 1), second(2, 3)}, 3},
		"two side by side and a later":   {[]span{second(0, 1), second(0, 1), second(1, 2)}, 2},
		"a long one beside two in a row": {[]span{second(0, 9), second(1, 2), second(3, 4)}, 2},
		"within the tolerance":           {[]span{second(0, 1), {time.Second - clockTolerance, 2 * time.Second}}, 2},
		"beyond the tolerance":           {[]span{second(0, 1), {time.Second - clockTolerance - 1, 2 * time.Second}}, 1},
	} {
		t.Run(name, func(t *testing.T) { NewWithT(t).Expect(successive(c.runs)).To(Equal(c.want)) })
	}
}

// TestSuccessiveIsLargest compares the number with that of all selections of a few runs.
func TestSuccessiveIsLargest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := make([]span, rapid.IntRange(0, 6).Draw(t, "runs"))
		for i := range runs {
			began := time.Duration(rapid.IntRange(0, 10).Draw(t, "began")) * time.Second
			runs[i] = span{began, began + time.Duration(rapid.IntRange(1, 5).Draw(t, "length"))*time.Second}
		}
		largest := 0
		for chosen := range 1 << len(runs) {
			count, disjoint := 0, true
			for i, run := range runs {
				if chosen&(1<<i) == 0 {
					continue
				}
				count++
				for j, other := range runs[:i] {
					if chosen&(1<<j) != 0 && run.began < other.ended && other.began < run.ended {
						disjoint = false
					}
				}
			}
			if disjoint {
				largest = max(largest, count)
			}
		}
		if got := successive(runs); got != largest {
			t.Fatalf("%d, want %d", got, largest)
		}
	})
}
