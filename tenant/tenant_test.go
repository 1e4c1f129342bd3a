package tenant_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/tenant"
)

// TestIdentify compares a directory with a map of plaintext keys.
func TestIdentify(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		directory := tenant.NewDirectory()
		oracle := map[string]string{}
		for i := range rapid.IntRange(0, 6).Draw(t, "tenants") {
			added := &tenant.Tenant{Name: fmt.Sprintf("tenant-%d", i)}
			g.Expect(directory.Add(added)).To(BeTrue())
			for _, key := range rapid.SliceOfN(rapid.StringMatching(`[a-c]{1,3}`), 0, 4).Draw(t, "keys") {
				other := directory.AddKey(added, tenant.DigestKey(key))
				if name, taken := oracle[key]; taken {
					g.Expect(other.Name).To(Equal(name))
					continue
				}
				g.Expect(other).To(BeNil())
				oracle[key] = added.Name
			}
		}
		presented := rapid.StringMatching(`[a-c]{0,3}`).Draw(t, "presented")
		found, known := directory.Identify(tenant.NewCredential(presented))
		name, expected := oracle[presented]
		g.Expect(known).To(Equal(expected))
		if known {
			g.Expect(found.Name).To(Equal(name))
		}
	})
}

func TestNamesAreUnique(t *testing.T) {
	g := NewWithT(t)
	directory := tenant.NewDirectory()
	g.Expect(directory.Add(&tenant.Tenant{Name: "a"})).To(BeTrue())
	g.Expect(directory.Add(&tenant.Tenant{Name: "a", Priority: 3})).To(BeFalse())
	g.Expect(directory.Lookup("a").Priority).To(BeZero())
	g.Expect(directory.Len()).To(Equal(1))
}

func TestCost(t *testing.T) {
	g := NewWithT(t)
	g.Expect(tenant.Quota{}.Cost(500)).To(Equal(1.0), "requests are the unit")
	tokens := tenant.Quota{CountsTokens: true, PlainCost: 200}
	g.Expect(tokens.Cost(500)).To(Equal(500.0))
	g.Expect(tokens.Cost(0)).To(Equal(200.0))
	g.Expect(tokens.Limited()).To(BeFalse())
}

// BenchmarkIdentify measures a node's work per key: under 2 µs, no allocation.
func BenchmarkIdentify(b *testing.B) {
	directory := tenant.NewDirectory()
	const tenants = 13000
	for i := range tenants {
		added := &tenant.Tenant{Name: fmt.Sprintf("tenant-%d", i)}
		directory.Add(added)
		directory.AddKey(added, tenant.DigestKey(fmt.Sprintf("key-%d", i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, known := directory.Identify(tenant.NewCredential("key-7000")); !known {
			b.Fatal("unknown key")
		}
	}
}
