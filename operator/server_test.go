package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/sim/platformsim"
	"github.com/reelrun/reelrun/timeline"
)

// stubFleet is a fleet of one node with an empty status and one event.
type stubFleet struct{}

func (stubFleet) Status(context.Context) []json.RawMessage { return []json.RawMessage{[]byte(`{}`)} }
func (stubFleet) Timeline(context.Context, timeline.Filter) []timeline.Event {
	return []timeline.Event{{Kind: "event"}}
}

func pool(role api.Role) api.Configuration {
	return api.Configuration{Pools: []api.Pool{{
		Name: "pool", Model: "model", Zone: "zone", Engines: []api.Engine{{Name: "engine", Address: "127.0.0.1:1", Role: role}},
	}}}
}

var _ = Describe("the operators' API", func() {
	var (
		store  *platformsim.Store
		flaky  *platformsim.FaultyStore
		effect platformsim.Effect
		client *Client
		ctx    context.Context
	)

	newClient := func() *Client {
		ring := timeline.NewRing("node", timeline.NewClock(time.Now), 16)
		handler, err := NewHandler(Options{
			Configuration: configuration.NewHolder(), Store: flaky, Fleet: stubFleet{}, TokenHash: configuration.HashToken("operator"), Events: ring,
		})
		Expect(err).NotTo(HaveOccurred())
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		return &Client{BaseURL: server.URL, Token: "operator", HTTP: server.Client()}
	}

	BeforeEach(func() {
		ctx = context.Background()
		effect = platformsim.Pass
		store = platformsim.NewStore(platformsim.Options{})
		flaky = platformsim.NewFaultyStore(store, func(write bool) platformsim.Effect {
			if !write {
				return platformsim.Pass
			}
			next := effect
			effect = platformsim.Pass
			return next
		})
		client = newClient()
	})

	It("changes nothing before a plan is confirmed", func() {
		plan, err := client.Plan(ctx, Intent{Action: ActionApply, Objects: pool(api.RoleDecode)})
		Expect(err).NotTo(HaveOccurred())
		Expect(plan.Changes).To(HaveLen(1))
		Expect(store.Snapshot("configurations")).To(BeEmpty())
		confirmed, err := client.Confirm(ctx, plan)
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmed.Version).To(BeEquivalentTo(1))
		current, err := client.Configuration(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(current.Pools).To(HaveLen(1))
	})

	It("reports every finding of an intent with its place", func() {
		invalid := pool("nonsense")
		invalid.Pools[0].Zone = ""
		invalid.Classes = []api.Class{{Name: "No Label", Model: "unknown"}}
		_, err := client.Plan(ctx, Intent{Action: ActionApply, Objects: invalid})
		var found *FindingsError
		Expect(errors.As(err, &found)).To(BeTrue())
		places := map[string]bool{}
		for _, finding := range found.Findings {
			places[finding.Place] = true
		}
		Expect(places).To(HaveKey("pools[pool].zone"))
		Expect(places).To(HaveKey("pools[pool].engines[engine].role"))
		Expect(places).To(HaveKey("classes[No Label].name"))
		Expect(places).To(HaveKey("classes[No Label].model"))
		Expect(places).To(HaveKey("classes[No Label].first_token"))
	})

	It("accepts exactly one of two concurrent plans and lists the changed objects", func() {
		other := newClient()
		first, err := client.Plan(ctx, Intent{Action: ActionApply, Objects: pool(api.RoleDecode)})
		Expect(err).NotTo(HaveOccurred())
		second, err := other.Plan(ctx, Intent{Action: ActionApply, Objects: pool(api.RolePrefill)})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Confirm(ctx, first)
		Expect(err).NotTo(HaveOccurred())
		_, err = other.Confirm(ctx, second)
		Expect(api.IsCode(err, api.CodeConflict)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring("pools/pool"))
	})

	It("accepts a plan once although its response was lost and the plan is confirmed again", func() {
		plan, err := client.Plan(ctx, Intent{Action: ActionApply, Objects: pool(api.RoleDecode)})
		Expect(err).NotTo(HaveOccurred())
		effect = platformsim.DropResponse
		for range 2 {
			confirmed, err := client.Confirm(ctx, plan)
			Expect(err).NotTo(HaveOccurred())
			Expect(confirmed.Version).To(BeEquivalentTo(1))
		}
	})

	It("rejects a plan that was altered", func() {
		plan, err := client.Plan(ctx, Intent{Action: ActionApply, Objects: pool(api.RoleDecode)})
		Expect(err).NotTo(HaveOccurred())
		plan.Intent.Objects.Pools[0].Engines[0].Role = api.RolePrefill
		_, err = client.Confirm(ctx, plan)
		Expect(api.IsCode(err, api.CodeConflict)).To(BeTrue())
	})

	It("plans the order for a role change", func() {
		plan, err := client.Plan(ctx, Intent{Action: ActionApply, Objects: pool(api.RoleDecode)})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Confirm(ctx, plan)
		Expect(err).NotTo(HaveOccurred())
		plan, err = client.Plan(ctx, Intent{Action: ActionEngine, Engine: "engine", Role: api.RolePrefill, Adapter: "knee"})
		Expect(err).NotTo(HaveOccurred())
		Expect(plan.Orders).To(HaveLen(2))
		Expect(plan.Orders[0].Kind).To(Equal(engine.OrderRole))
		Expect(plan.Orders[0].Value).To(Equal(string(api.RolePrefill)))
	})

	It("rejects a wrong token and an empty body", func() {
		client.Token = "other"
		_, err := client.Status(ctx)
		Expect(api.IsCode(err, api.CodeUnauthenticated)).To(BeTrue())
		client.Token = "operator"
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, client.BaseURL+PathPlan, http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer operator")
		response, err := client.HTTP.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	})

	It("removes objects and reports references that do not exist", func() {
		plan, err := client.Plan(ctx, Intent{Action: ActionApply, Objects: pool(api.RoleDecode)})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Confirm(ctx, plan)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Plan(ctx, Intent{Action: ActionRemove, References: []string{"pools/other"}})
		var found *FindingsError
		Expect(errors.As(err, &found)).To(BeTrue())
		plan, err = client.Plan(ctx, Intent{Action: ActionRemove, References: []string{"pools/pool"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(plan.Changes[0].Kind).To(Equal(ChangeDelete))
	})

	It("shows status and timeline", func() {
		statuses, err := client.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(statuses).To(HaveLen(1))
		events, err := client.Timeline(ctx, timeline.Filter{})
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(1))
	})
})
