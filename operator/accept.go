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
	// SeesHalf reports whether the node is in contact with at least half of the
	// fleet; nil means that it is. A node in contact with less cannot accept a
	// change, because most of the fleet would not learn of the change.
	SeesHalf func() bool
}

// errPartitioned rejects a change that most of the fleet would not learn of. While
// the platform does not answer, nodes in contact with more than half of the fleet
// keep serving their version of the configuration. A change may therefore only be
// accepted at a node in contact with at least half.
var errPartitioned = api.NewError(http.StatusServiceUnavailable, api.CodeUnavailable, api.OutcomeNotRun,
	"this node hears less than half of the fleet; confirm through a node that hears more, or when the fleet is whole again").WithRetryAfter(partitionRetryAfter)

// apiError converts an error of Accept to an error of the API.
func apiError(err error) error {
	var conflict *configuration.ErrConflict
	var apiErr *api.Error
	var found *FindingsError
	switch {
	case errors.As(err, &conflict):
		return api.NewError(http.StatusConflict, api.CodeConflict, api.OutcomeNotRun, "%s", conflict.Error())
	case errors.As(err, &apiErr), errors.As(err, &found):
		return err
	default:
		return api.NewError(http.StatusServiceUnavailable, api.CodeUnavailable, api.OutcomeUnknown,
			"the platform did not answer; confirm the same plan again to learn the outcome").WithRetryAfter(retryAfter)
	}
}

// Accept computes the plan again from the newest configuration and publishes the
// resulting configuration. The digest identifies the change, so a confirmation
// whose response was lost can be repeated.
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
		return configuration.Head{}, &configuration.ErrConflict{Planned: plan.BaseVersion, Current: head.Version, ChangedObjects: head.ChangedObjects}
	}
	if a.SeesHalf != nil && !a.SeesHalf() {
		return configuration.Head{}, errPartitioned
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
	// This node applies the new version at once. The other nodes learn of the version
	// through the watch, and so does this node if the call fails. The failure is not
	// returned, because the change has already been accepted.
	_ = a.Configuration.Advance(ctx, published, configuration.FromStore(a.Store))
	return published, nil
}
