package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/engine"
)

// Action is the kind of an intent.
type Action string

// The actions of an Intent.
const (
	// ActionApply creates or replaces the given objects.
	ActionApply Action = "apply"
	// ActionRemove removes the referenced objects.
	ActionRemove Action = "remove"
	// ActionEngine changes one engine's role, model version or adapters.
	ActionEngine Action = "engine"
)

// Intent is a change that an operator requests.
type Intent struct {
	Action Action `json:"action"`
	// Objects are the objects to apply.
	Objects api.Configuration `json:"objects,omitzero"`
	// References name objects to remove, such as "tenants/x".
	References []string `json:"references,omitempty"`
	// Engine is the engine to change. The fields below state what to change: a role or
	// a model version to set, and an adapter to add. Empty fields change nothing.
	Engine       string   `json:"engine,omitempty"`
	Role         api.Role `json:"role,omitempty"`
	ModelVersion string   `json:"model_version,omitempty"`
	Adapter      string   `json:"adapter,omitempty"`
}

// ChangeKind is the kind of a change.
type ChangeKind string

// The kinds of a Change.
const (
	ChangeCreate ChangeKind = "create"
	ChangeUpdate ChangeKind = "update"
	ChangeDelete ChangeKind = "delete"
)

// Change is one object that a plan changes, with its digests before and after.
type Change struct {
	Reference string     `json:"reference"`
	Kind      ChangeKind `json:"kind"`
	Before    string     `json:"before,omitempty"`
	After     string     `json:"after,omitempty"`
}

// PlannedOrder is an order that will be sent to an engine.
type PlannedOrder struct {
	Pool   string           `json:"pool"`
	Engine string           `json:"engine"`
	Kind   engine.OrderKind `json:"kind"`
	Value  string           `json:"value"`
	// ChecksFencingToken is set if the engine rejects orders of an earlier lease
	// holder by their fencing token. Otherwise a new holder waits before its first
	// order.
	ChecksFencingToken bool `json:"checks_fence"`
}

// Plan is the response to an intent.
type Plan struct {
	BaseVersion uint64         `json:"base_version"`
	Intent      Intent         `json:"intent"`
	Changes     []Change       `json:"changes"`
	Orders      []PlannedOrder `json:"orders,omitempty"`
	// Digest covers the fields above.
	Digest string `json:"digest"`
}

// FindingsError reports all findings of an intent.
type FindingsError struct{ Findings api.Findings }

// Error implements error.
func (e *FindingsError) Error() string { return e.Findings.String() }

// MakePlan computes the plan of an intent and the resulting configuration. It
// returns a *FindingsError if that configuration is invalid.
func MakePlan(current *configuration.Snapshot, intent Intent) (*Plan, *api.Configuration, error) {
	before := current.Merged()
	next, err := clone(before)
	if err != nil {
		return nil, nil, err
	}
	var findings api.Findings
	switch intent.Action {
	case ActionApply:
		apply(next, &intent.Objects)
	case ActionRemove:
		remove(next, intent.References, &findings)
	case ActionEngine:
		changeEngine(next, intent, &findings)
	default:
		findings.Addf("action", "%q is not one of apply, remove, engine", intent.Action)
	}
	next.SetDefaults()
	configuration.Sort(next)
	findings = append(findings, next.Validate()...)
	if len(findings) > 0 {
		return nil, nil, &FindingsError{findings}
	}
	plan := &Plan{BaseVersion: current.Version(), Intent: intent}
	if err := plan.addChanges(before, next); err != nil {
		return nil, nil, err
	}
	return plan, next, plan.setDigest()
}

func clone(original *api.Configuration) (*api.Configuration, error) {
	data, err := json.Marshal(original)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	copied := &api.Configuration{}
	return copied, errors.Wrap(json.Unmarshal(data, copied), "decode configuration")
}

func apply(next, objects *api.Configuration) {
	next.Tenants = merge(next.Tenants, objects.Tenants, func(t api.Tenant) string { return t.Name })
	next.Classes = merge(next.Classes, objects.Classes, func(c api.Class) string { return c.Name })
	next.Pools = merge(next.Pools, objects.Pools, func(p api.Pool) string { return p.Name })
	next.Services = merge(next.Services, objects.Services, func(s api.Service) string { return s.Name })
}

// merge replaces the objects of the same name and adds the others. An object
// that occurs twice in added is kept twice, so that the validation reports it.
func merge[T any](existing, added []T, name func(T) string) []T {
	replaced := map[string]bool{}
	for _, object := range added {
		replaced[name(object)] = true
	}
	merged := slices.DeleteFunc(existing, func(object T) bool { return replaced[name(object)] })
	return append(merged, added...)
}

func remove(next *api.Configuration, references []string, findings *api.Findings) {
	for _, reference := range references {
		kind, name, _ := strings.Cut(reference, "/")
		before := len(next.Tenants) + len(next.Classes) + len(next.Pools) + len(next.Services)
		switch kind {
		case "tenants":
			next.Tenants = slices.DeleteFunc(next.Tenants, func(t api.Tenant) bool { return t.Name == name })
		case "classes":
			next.Classes = slices.DeleteFunc(next.Classes, func(c api.Class) bool { return c.Name == name })
		case "pools":
			next.Pools = slices.DeleteFunc(next.Pools, func(p api.Pool) bool { return p.Name == name })
		case "services":
			next.Services = slices.DeleteFunc(next.Services, func(s api.Service) bool { return s.Name == name })
		}
		if before == len(next.Tenants)+len(next.Classes)+len(next.Pools)+len(next.Services) {
			findings.Addf("references", "%q does not exist", reference)
		}
	}
}

func changeEngine(next *api.Configuration, intent Intent, findings *api.Findings) {
	for i := range next.Pools {
		for j := range next.Pools[i].Engines {
			member := &next.Pools[i].Engines[j]
			if member.Name != intent.Engine {
				continue
			}
			if intent.Role != "" {
				member.Role = intent.Role
			}
			if intent.ModelVersion != "" {
				member.ModelVersion = intent.ModelVersion
			}
			if intent.Adapter != "" && !slices.Contains(member.Adapters, intent.Adapter) {
				member.Adapters = append(member.Adapters, intent.Adapter)
			}
			return
		}
	}
	findings.Addf("engine", "%q is not configured", intent.Engine)
}

// addChanges adds the changes and orders that lead from before to after.
func (p *Plan) addChanges(before, after *api.Configuration) error {
	old, err := configuration.Objects(before)
	if err != nil {
		return err
	}
	updated, err := configuration.Objects(after)
	if err != nil {
		return err
	}
	for reference, digest := range updated {
		switch previous, exists := old[reference]; {
		case !exists:
			p.Changes = append(p.Changes, Change{Reference: reference, Kind: ChangeCreate, After: digest})
		case previous != digest:
			p.Changes = append(p.Changes, Change{Reference: reference, Kind: ChangeUpdate, Before: previous, After: digest})
		}
	}
	for reference, digest := range old {
		if _, kept := updated[reference]; !kept {
			p.Changes = append(p.Changes, Change{Reference: reference, Kind: ChangeDelete, Before: digest})
		}
	}
	slices.SortFunc(p.Changes, func(a, b Change) int { return strings.Compare(a.Reference, b.Reference) })
	p.Orders = plannedOrders(before, after)
	return nil
}

func plannedOrders(before, after *api.Configuration) []PlannedOrder {
	old := map[string]api.Engine{}
	for _, pool := range before.Pools {
		for _, member := range pool.Engines {
			old[member.Name] = member
		}
	}
	var orders []PlannedOrder
	for _, pool := range after.Pools {
		for _, member := range pool.Engines {
			previous, existed := old[member.Name]
			add := func(kind engine.OrderKind, value string) {
				orders = append(orders, PlannedOrder{Pool: pool.Name, Engine: member.Name, Kind: kind, Value: value, ChecksFencingToken: pool.ChecksFencingToken})
			}
			if existed && previous.Role != member.Role {
				add(engine.OrderRole, string(member.Role))
			}
			if member.ModelVersion != "" && previous.ModelVersion != member.ModelVersion {
				add(engine.OrderModel, member.ModelVersion)
			}
			for _, adapter := range member.Adapters {
				if !slices.Contains(previous.Adapters, adapter) {
					add(engine.OrderAdapter, adapter)
				}
			}
		}
	}
	return orders
}

func (p *Plan) setDigest() error {
	p.Digest = ""
	data, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode plan")
	}
	sum := sha256.Sum256(data)
	p.Digest = hex.EncodeToString(sum[:])
	return nil
}

// ChangedReferences returns the references of the objects that the plan changes.
func (p *Plan) ChangedReferences() []string {
	references := make([]string, len(p.Changes))
	for i, change := range p.Changes {
		references[i] = change.Reference
	}
	return references
}
