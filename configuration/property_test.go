package configuration

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/sim/platformsim"
)

// change is one confirmation by an operator.
type change struct {
	// behind is how many versions the operator's plan is behind, usually none.
	behind int
	pause  time.Duration
	// effects determine how the platform handles the next calls.
	effects []platformsim.Effect
}

func drawChange(t *rapid.T) change {
	return change{
		behind:  rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "behind"),
		pause:   time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond,
		effects: rapid.SliceOfN(rapid.SampledFrom([]platformsim.Effect{platformsim.Pass, platformsim.Reject, platformsim.DropResponse}), 0, 5).Draw(t, "effects"),
	}
}

// oneWinnerAVersion runs concurrent changes against a platform that rejects calls and loses responses: each
// version must have at most one change that was reported as accepted, versions must increase one by one, and the
// version of a holder that follows the head must never decrease.
func oneWinnerAVersion(outer *testing.T) func(*rapid.T) {
	return func(t *rapid.T) {
		changes := rapid.SliceOfN(rapid.Custom(drawChange), 2, 15).Draw(t, "changes")
		for _, violation := range runConcurrently(outer, changes) {
			t.Errorf("%s", violation)
		}
	}
}

func runConcurrently(t *testing.T, changes []change) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var effects []platformsim.Effect
		flaky := platformsim.NewFaultyStore(platformsim.NewStore(platformsim.Options{}), func(bool) platformsim.Effect {
			mu.Lock()
			defer mu.Unlock()
			if len(effects) == 0 {
				return platformsim.Pass
			}
			first := effects[0]
			effects = effects[1:]
			return first
		})
		winners := map[uint64][]string{}
		holder := NewHolder()
		var running sync.WaitGroup
		for number, next := range changes {
			mu.Lock()
			effects = append(effects, next.effects...)
			mu.Unlock()
			base := holder.Current().Version()
			base -= min(base, uint64(next.behind))
			running.Add(1)
			go func() {
				defer running.Done()
				name := fmt.Sprintf("change-%d", number)
				configuration := api.Configuration{Tenants: []api.Tenant{{Name: name}}}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				head, err := Publish(ctx, flaky, base, name, nil, configuration)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					winners[head.Version] = append(winners[head.Version], name)
				}
			}()
			time.Sleep(next.pause)
			follow(flaky, holder, &violations)
		}
		running.Wait()
		for version, names := range winners {
			if len(names) > 1 {
				violations = append(violations, fmt.Sprintf("version %d was accepted from %v", version, names))
			}
		}
	})
	return violations
}

// follow advances the holder to the stored head, as a watcher does.
func follow(store *platformsim.FaultyStore, holder *Holder, violations *[]string) {
	before := holder.Current().Version()
	head, err := ReadHead(context.Background(), store)
	if err != nil {
		return
	}
	// A lagging peer may offer an older version.
	old := head
	old.Version = before / 2
	_ = holder.Advance(context.Background(), old, FromStore(store))
	_ = holder.Advance(context.Background(), head, FromStore(store))
	if after := holder.Current().Version(); after < before {
		*violations = append(*violations, fmt.Sprintf("the holder went from version %d to %d", before, after))
	}
}

func TestOneWinnerAVersion(t *testing.T) { rapid.Check(t, oneWinnerAVersion(t)) }

func FuzzOneWinnerAVersion(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) { rapid.MakeFuzz(oneWinnerAVersion(t))(t, data) })
}

func TestConflictListsChangedObjects(t *testing.T) {
	store := platformsim.NewStore(platformsim.Options{})
	ctx := context.Background()
	if _, err := Publish(ctx, store, 0, "first", []string{"tenants/a"}, api.Configuration{}); err != nil {
		t.Fatal(err)
	}
	_, err := Publish(ctx, store, 0, "second", []string{"tenants/b"}, api.Configuration{Tenants: []api.Tenant{{Name: "b"}}})
	var conflict *ErrConflict
	if !errors.As(err, &conflict) || conflict.Current != 1 || len(conflict.ChangedObjects) != 1 || conflict.ChangedObjects[0] != "tenants/a" {
		t.Fatalf("got %v", err)
	}
	// A repeated publication of a change whose response was lost reports that the change was accepted.
	head, err := Publish(ctx, store, 0, "first", []string{"tenants/a"}, api.Configuration{})
	if err != nil || head.Version != 1 {
		t.Fatalf("got version %d and %v", head.Version, err)
	}
}

func TestSplitAndJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 1500).Draw(t, "tenants")
		original := api.Configuration{Classes: []api.Class{{Name: "class", Model: "model"}}}
		for i := range count {
			original.Tenants = append(original.Tenants, api.Tenant{Name: fmt.Sprintf("tenant-%05d", i)})
		}
		parts, err := Split(original)
		if err != nil {
			t.Fatal(err)
		}
		var stored []*api.Configuration
		for _, part := range parts {
			if len(part.Data) > 1<<20 {
				t.Fatalf("a part has %d bytes", len(part.Data))
			}
			decoded, err := decodePart(part.Data)
			if err != nil {
				t.Fatal(err)
			}
			stored = append(stored, decoded)
		}
		joined := Join(3, stored)
		if !slices.IsSortedFunc(joined.Tenants, func(a, b api.Tenant) int { return strings.Compare(a.Name, b.Name) }) {
			t.Fatal("tenants are out of order")
		}
		if len(joined.Tenants) != count || len(joined.Classes) != 1 || joined.Version != 3 {
			t.Fatalf("joined %d tenants, %d classes, version %d", len(joined.Tenants), len(joined.Classes), joined.Version)
		}
	})
}

func TestHolderRejectsAlteredPart(t *testing.T) {
	holder := NewHolder()
	parts, err := Split(api.Configuration{})
	if err != nil {
		t.Fatal(err)
	}
	head := Head{Version: 1, Parts: []string{parts[0].Digest}}
	err = holder.Advance(context.Background(), head, func(context.Context, string) ([]byte, error) { return []byte(`{"tenants":[]}`), nil })
	if err == nil || holder.Current().Version() != 0 {
		t.Fatalf("an altered part was accepted: %v", err)
	}
}

func TestTenantByToken(t *testing.T) {
	snapshot := NewSnapshot(Head{}, &api.Configuration{Tenants: []api.Tenant{{Name: "a", TokenHashes: []string{HashToken("secret")}}}})
	if tenant, ok := snapshot.TenantByToken("secret"); !ok || tenant.Name != "a" {
		t.Fatal("the right token is not accepted")
	}
	if _, ok := snapshot.TenantByToken("other"); ok {
		t.Fatal("a wrong token is accepted")
	}
}
