package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func members(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("node-%d", i)
	}
	return names
}

// TestOnlyKeysOfRemovedMemberMove removes one member: a key keeps its owner
// unless the owner is the removed member; then the second member owns it.
func TestOnlyKeysOfRemovedMemberMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(2, 60).Draw(t, "members"))
		key := rapid.String().Draw(t, "key")
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "removed")
		before := Top(key, all, 2)
		if Owner(key, all) != before[0] {
			t.Fatalf("owner %q, first %q", Owner(key, all), before[0])
		}
		remaining := append(append([]string{}, all[:removed]...), all[removed+1:]...)
		want := before[0]
		if want == all[removed] {
			want = before[1]
		}
		if after := Owner(key, remaining); after != want {
			t.Fatalf("owner %q became %q, want %q", before[0], after, want)
		}
	})
}

func TestKeysAreDistributedEvenly(t *testing.T) {
	const nodes, keys = 8, 8000
	counts := map[string]int{}
	for i := range keys {
		counts[Owner(fmt.Sprintf("pool/%d", i), members(nodes))]++
	}
	for name, count := range counts {
		if count < keys/nodes*8/10 || count > keys/nodes*12/10 {
			t.Errorf("%s owns %d of %d keys", name, count, keys)
		}
	}
	if Owner("key", nil) != "" || len(Top("key", nil, 3)) != 0 {
		t.Error("an owner was returned although there are no members")
	}
}

// TestTopMatchesRepeatedOwner compares Top with the order in which Owner
// returns the members as the first is removed each time.
func TestTopMatchesRepeatedOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		remaining := members(rapid.IntRange(0, 30).Draw(t, "members"))
		key := rapid.String().Draw(t, "key")
		count := rapid.IntRange(0, 32).Draw(t, "count")
		top := Top(key, remaining, count)
		if len(top) != min(count, len(remaining)) {
			t.Fatalf("%d of %d members, want %d", len(top), len(remaining), count)
		}
		for _, chosen := range top {
			if owner := Owner(key, remaining); owner != chosen {
				t.Fatalf("got %q, want %q", chosen, owner)
			}
			remaining = slices.DeleteFunc(remaining, func(name string) bool { return name == chosen })
		}
	})
}
