package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecide measures one decision for different numbers of engines.
func BenchmarkDecide(b *testing.B) {
	for _, engines := range []int{8, 32, 128, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			prefill, decode := testEngines(engines/2, engines/2)
			snapshot := &Snapshot{Prefill: prefill, Decode: decode, LinkTokensPerSecond: 200000, Index: NewPrefixIndex()}
			request := &Request{ID: "a", PromptTokens: 2000, MaxTokens: 100, FirstToken: time.Second, TokenInterval: 50 * time.Millisecond}
			b.ReportAllocs()
			for b.Loop() {
				Decide(snapshot, request, Options{})
			}
		})
	}
}

// BenchmarkGrantAmongTenants queues, grants and finishes a request, for different numbers of
// tenants with waiting requests.
func BenchmarkGrantAmongTenants(b *testing.B) {
	for _, tenants := range []int{10, 100, 1000, 13000} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			pool := NewPool(Options{NoAdmission: true}, 200000)
			pool.SetEngines(testEngines(4, 4))
			submit := func(number int) {
				pool.withDecode.push(&Request{
					ID: fmt.Sprintf("r%d", number), Tenant: fmt.Sprintf("t%d", number%tenants), Weight: 1, PromptTokens: 100, MaxTokens: 10,
					FirstToken: time.Hour, TokenInterval: 50 * time.Millisecond,
				})
			}
			for number := range tenants {
				submit(number)
			}
			number, now := tenants, time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += 50 * time.Millisecond
				submit(number)
				number++
				if decision, ok := pool.scheduleOne(now); ok && decision.Kind == KindPrefill {
					pool.Finished(now, decision.RequestID, 10)
				}
			}
		})
	}
}
