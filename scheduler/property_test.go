package scheduler

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawOptions(t *rapid.T) Options {
	return Options{
		Ordering:    Ordering(rapid.IntRange(0, 3).Draw(t, "ordering")),
		Reservation: Reservation(rapid.IntRange(0, 2).Draw(t, "reservation")),
		NoAdmission: rapid.Bool().Draw(t, "noAdmission"),
	}
}

func drawRequest(t *rapid.T, number int, now time.Duration) *Request {
	return &Request{
		ID: fmt.Sprintf("request-%d", number), Tenant: fmt.Sprintf("tenant-%d", rapid.IntRange(0, 3).Draw(t, "tenant")),
		Weight: 1, Arrival: now, PromptTokens: rapid.IntRange(1, 30000).Draw(t, "prompt"), MaxTokens: rapid.IntRange(1, 500).Draw(t, "max"),
		FirstToken: time.Duration(rapid.IntRange(100, 5000).Draw(t, "target")) * time.Millisecond, TokenInterval: 50 * time.Millisecond,
		LateAllowed: rapid.Bool().Draw(t, "late"), Prefixes: rapid.SliceOfN(rapid.Uint64Range(0, 20), 0, 8).Draw(t, "prefixes"),
	}
}

func testEngines(prefill, decode int) ([]PrefillState, []DecodeState) {
	var prefills []PrefillState
	var decodes []DecodeState
	for i := range prefill {
		prefills = append(prefills, PrefillState{Name: fmt.Sprintf("p%d", i), Ready: true, TokensPerSecond: 20000})
	}
	for i := range decode {
		decodes = append(decodes, DecodeState{
			Name: fmt.Sprintf("d%d", i), Ready: true, Slots: 4, KVTokens: 60000, Step: StepModel{Base: 10 * time.Millisecond, PerRequest: time.Millisecond},
		})
	}
	return prefills, decodes
}

// checkAccounting compares a pool's accounting with its active requests, and both with the capacity
// of its engines.
func checkAccounting(t *rapid.T, pool *Pool) {
	for i := range pool.decode {
		state := &pool.decode[i]
		slots, memory := 0, 0
		for _, granted := range pool.active {
			if granted.phase == phaseDecode && granted.decode == state.Name {
				slots++
				memory += requestKV(granted.request)
			}
		}
		if slots != state.SlotsUsed || memory != state.KVUsed {
			t.Fatalf("%s: pool counts %d slots and %d tokens, requests use %d and %d", state.Name, state.SlotsUsed, state.KVUsed, slots, memory)
		}
		if state.SlotsUsed > state.Slots || state.KVUsed > state.KVTokens {
			t.Fatalf("%s: granted beyond capacity: %d of %d slots, %d of %d tokens", state.Name, state.SlotsUsed, state.Slots, state.KVUsed, state.KVTokens)
		}
	}
	if pool.reserved < 0 {
		t.Fatalf("negative reservation %d", pool.reserved)
	}
}

// TestNeverGrantsBeyondCapacity runs random operations on a pool, and checks its accounting and the
// capacity of its engines after each.
func TestNeverGrantsBeyondCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := NewPool(drawOptions(t), 200000)
		pool.SetEngines(testEngines(rapid.IntRange(0, 3).Draw(t, "prefills"), rapid.IntRange(0, 3).Draw(t, "decodes")))
		now := time.Duration(0)
		submitted := []string{}
		for number := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "advance")) * time.Millisecond
			pick := func() string { return submitted[rapid.IntRange(0, len(submitted)-1).Draw(t, "pick")] }
			switch action := rapid.IntRange(0, 5).Draw(t, "action"); {
			case action <= 1 || len(submitted) == 0:
				request := drawRequest(t, number, now)
				submitted = append(submitted, request.ID)
				pool.Submit(now, request)
			case action == 2:
				pool.PrefillDone(now, pick())
			case action == 3:
				pool.Finished(now, pick(), rapid.IntRange(-1, 500).Draw(t, "output"))
			case action == 4:
				pool.DecodeFailed(pick(), "d0")
			default:
				pool.SetReady("d1", rapid.Bool().Draw(t, "ready"))
			}
			pool.Schedule(now)
			checkAccounting(t, pool)
		}
	})
}

func TestDecideIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefill, decode := testEngines(3, 3)
		for i := range prefill {
			prefill[i].FreeAt = time.Duration(rapid.IntRange(0, 500).Draw(t, "free")) * time.Millisecond
		}
		index := NewPrefixIndex()
		index.Store("p1", []uint64{1, 2, 3})
		snapshot := &Snapshot{Now: time.Second, Prefill: prefill, Decode: decode, LinkTokensPerSecond: 200000, Index: index}
		request, options := drawRequest(t, 1, time.Second), drawOptions(t)
		first := Decide(snapshot, request, options)
		if second := Decide(snapshot, request, options); !reflect.DeepEqual(first, second) {
			t.Fatalf("%+v and then %+v", first, second)
		}
	})
}

func TestEmptySnapshotIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		decision := Decide(&Snapshot{}, drawRequest(t, 1, 0), drawOptions(t))
		if decision.Kind != KindReject || decision.RetryAfter <= 0 {
			t.Fatalf("got %+v", decision)
		}
		if name := DecideDecode(&Snapshot{}, drawRequest(t, 2, 0), drawOptions(t)); name != "" {
			t.Fatalf("got engine %q", name)
		}
	})
}

// TestNoTenantStarves has one tenant flood the pool. Another tenant's request must be granted after
// a bounded number of the flood's requests.
func TestNoTenantStarves(t *testing.T) {
	for _, ordering := range []Ordering{OrderDeficit, OrderVTC} {
		rapid.Check(t, func(t *rapid.T) {
			pool := NewPool(Options{Ordering: ordering, NoAdmission: true}, 200000)
			pool.SetEngines(testEngines(1, 2))
			floodTokens := rapid.IntRange(500, 4000).Draw(t, "flood")
			flood := func(number int, now time.Duration) {
				pool.Submit(now, &Request{ID: fmt.Sprintf("flood-%d", number), Tenant: "flood", Weight: 1, Arrival: now, PromptTokens: floodTokens, MaxTokens: 50, FirstToken: time.Second, TokenInterval: 50 * time.Millisecond})
			}
			for number := range 50 {
				flood(number, 0)
			}
			// The victim's deadline is later than any of the flood's.
			pool.Submit(0, &Request{ID: "victim", Tenant: "victim", Weight: 1, PromptTokens: 1000, MaxTokens: 50, FirstToken: time.Hour, TokenInterval: 50 * time.Millisecond})
			now := time.Duration(0)
			for step := range 60 {
				for _, decision := range pool.Schedule(now) {
					if decision.Kind == KindPrefill && decision.RequestID == "victim" {
						return
					}
					if decision.Kind == KindPrefill {
						pool.PrefillDone(now, decision.RequestID)
					}
				}
				for id := range pool.active {
					pool.Finished(now, id, 50)
				}
				now += time.Second
				flood(1000+step, now)
			}
			t.Fatal("the victim was not granted within 60 rounds of the flood")
		})
	}
}

func TestRejectionPrecedesPrefill(t *testing.T) {
	pool := NewPool(Options{}, 200000)
	pool.SetEngines(testEngines(1, 1))
	late := &Request{ID: "late", Tenant: "a", Weight: 1, PromptTokens: 40000, MaxTokens: 10, FirstToken: time.Second, TokenInterval: 50 * time.Millisecond}
	rejected := pool.Submit(0, late)
	if rejected == nil || rejected.Kind != KindReject || rejected.Reason != ReasonDeadline || rejected.RetryAfter <= 0 {
		t.Fatalf("got %+v", rejected)
	}
	late.LateAllowed = true
	if rejected := pool.Submit(0, late); rejected != nil {
		t.Fatalf("a class that may be late was rejected: %+v", rejected)
	}
}

func TestPrefixAffinityWeighsAgainstLoad(t *testing.T) {
	prefill, decode := testEngines(2, 1)
	index := NewPrefixIndex()
	blocks := make([]uint64, 100)
	for i := range blocks {
		blocks[i] = uint64(i)
	}
	index.Store("p1", blocks)
	request := &Request{ID: "a", PromptTokens: 6400, MaxTokens: 10, FirstToken: 5 * time.Second, TokenInterval: 50 * time.Millisecond, Prefixes: blocks}
	snapshot := &Snapshot{Prefill: prefill, Decode: decode, LinkTokensPerSecond: 200000, Index: index}
	if decision := Decide(snapshot, request, Options{}); decision.Prefill != "p1" || decision.CachedTokens != 6400 {
		t.Fatalf("the cache was not used: %+v", decision)
	}
	prefill[1].FreeAt = 4 * time.Second
	if decision := Decide(snapshot, request, Options{}); decision.Prefill != "p0" {
		t.Fatalf("the loaded engine was chosen: %+v", decision)
	}
}
