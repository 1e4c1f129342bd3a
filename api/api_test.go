package api

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestErrorSurvivesJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := &Error{
			Code: Code(rapid.String().Draw(t, "code")), Outcome: OutcomeUnknown, Message: rapid.String().Draw(t, "message"),
			RetryAfter: time.Duration(rapid.IntRange(0, 100000).Draw(t, "retry")) * time.Millisecond,
		}
		data, err := json.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		received := &Error{}
		if err := json.Unmarshal(data, received); err != nil {
			t.Fatal(err)
		}
		if *received != *sent {
			t.Fatalf("sent %+v, received %+v", sent, received)
		}
	})
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	g := NewWithT(t)
	recorder := httptest.NewRecorder()
	NewError(503, CodeNoCapacity, OutcomeNotRun, "full").WithRetryAfter(1100 * time.Millisecond).WriteHTTP(recorder)
	g.Expect(recorder.Code).To(Equal(503))
	g.Expect(recorder.Header().Get("Retry-After")).To(Equal("2"))
}

func TestAsError(t *testing.T) {
	g := NewWithT(t)
	apiErr := NewError(404, CodeNotFound, OutcomeNotRun, "gone")
	g.Expect(AsError(errors.Wrap(apiErr, "outer"), OutcomeUnknown)).To(Equal(apiErr))
	hidden := AsError(errors.New("address 10.0.0.1"), OutcomeUnknown)
	g.Expect(hidden.Code).To(Equal(CodeInternal))
	g.Expect(hidden.Message).NotTo(ContainSubstring("10.0.0.1"))
}

func TestValidateFindsEveryFault(t *testing.T) {
	g := NewWithT(t)
	faulty := Configuration{
		Tenants: []Tenant{
			{Name: "a", TokenHashes: []string{"short"}, Classes: []string{"missing"}, Weight: -1},
			{Name: "a"},
		},
		Pools: []Pool{{Name: "pool", Model: "m", Zone: "z", Engines: []Engine{
			{Name: "e", Address: "host:1", Role: RoleDecode}, {Name: "e", Address: "127.0.0.1:1", Role: RoleDecode, Slots: -1},
		}}},
		Services: []Service{{Name: "s", Backends: []Backend{{Name: "b", Address: "x"}}}},
	}
	text := faulty.Validate().String()
	for _, part := range []string{
		`tenants[a].token_hashes[0]`, `tenants[a].classes: "missing"`, `tenants[a].weight`, `tenants[a].name: "a" stands twice`,
		`pools[pool].engines[e].address`, `"e" stands twice`, `slots and kv_tokens`, `services[s].backends[b].address`,
	} {
		g.Expect(text).To(ContainSubstring(part))
	}
	valid := Configuration{}
	g.Expect(valid.Validate()).To(BeEmpty())
}

func FuzzValidate(f *testing.F) {
	f.Add([]byte(`{"tenants":[{"name":"a"}],"pools":[{"name":"p","engines":[{"name":"e"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var configuration Configuration
		if json.Unmarshal(data, &configuration) != nil {
			return
		}
		first := configuration.Validate().String()
		configuration.SetDefaults()
		if second := configuration.Validate().String(); len(second) > len(first) {
			t.Fatalf("defaults added findings: %s", second)
		}
	})
}
