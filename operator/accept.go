package operator

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/objectapi"
)

// Acceptor accepts confirmed plans.
type Acceptor struct {
	// Configuration is the node's configuration, which an accepted plan advances.
	Configuration *configuration.Holder
	Store         objectapi.Store
	// SeesHalf reports whether the node hears at least half of the fleet; nil
	// means that it does. The others could not be told of a change.
	SeesHalf func() bool
}

// errParted refuses a change that most of the fleet would not learn of. Nodes that
// hear more than half of the fleet go on by their version when the platform does
// not answer them, so a change may only be accepted where at least half is heard.
var errParted = api.NewError(http.StatusServiceUnavailable, api.CodeUnavailable, api.OutcomeNotRun,
	"this node hears less than half of the fleet; confirm through a node that hears more, or when the fleet is whole again").WithRetryAfter(partedRetryAfter)

// typed turns the errors of an acceptance into those of the API.
func typed(err error) error {
	var conflict *configuration.ErrConflict
	var known *api.Error
	var found *FindingsError
	switch {
	case errors.As(err, &conflict):
		return api.NewError(http.StatusConflict, api.CodeConflict, api.OutcomeNotRun, "%s", conflict.Error())
	case errors.As(err, &known), errors.As(err, &found):
		return err
	default:
		return api.NewError(http.StatusServiceUnavailable, api.CodeUnavailable, api.OutcomeUnknown,
			"the platform did not answer; confirm the same plan again to learn the outcome").WithRetryAfter(retryAfter)
	}
}

// Accept computes the plan again from the newest configuration and publishes
// what it leads to. The digest identifies the change, so a confirmation whose
// reply was lost can be repeated.
func (a Acceptor) Accept(ctx context.Context, plan *Plan) (configuration.Head, error) {
	head, err := configuration.ReadHead(ctx, a.Store)
	if err != nil {
		return configuration.Head{}, err
	}
	if head.Accepted(plan.Digest) {
		return configuration.Head{Version: plan.BaseVersion + 1}, nil
	}
	if err := a.Configuration.Advance(ctx, head, configuration.FromStore(a.Store)); err != nil {
		return configuration.Head{}, err
	}
	if head.Version != plan.BaseVersion {
		return configuration.Head{}, &configuration.ErrConflict{Planned: plan.BaseVersion, Current: head.Version, Moved: head.Moved}
	}
	if a.SeesHalf != nil && !a.SeesHalf() {
		return configuration.Head{}, errParted
	}
	current := a.Configuration.Current()
	computed, next, err := MakePlan(current, plan.Intent)
	if err != nil {
		return configuration.Head{}, err
	}
	if computed.Digest != plan.Digest {
		return configuration.Head{}, api.NewError(http.StatusConflict, api.CodeConflict, api.OutcomeNotRun, "the digest does not fit the plan")
	}
	published, err := configuration.Publish(ctx, a.Store, plan.BaseVersion, plan.Digest, computed.ChangedReferences(), *next)
	if err != nil {
		return configuration.Head{}, err
	}
	// The node serves the new version at once; the others learn it from the watch.
	// So does this one if it fails here: the change stands.
	_ = a.Configuration.Advance(ctx, published, configuration.FromStore(a.Store))
	return published, nil
}
