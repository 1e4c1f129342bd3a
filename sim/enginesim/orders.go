package enginesim

import (
	"context"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
)

// ExecuteOrder carries out an order. Executing the same order again sets the same values
// and adds another ledger entry.
func (e *Engine) ExecuteOrder(ctx context.Context, order engine.Order) error {
	if err := e.verifyFencingToken(order); err != nil {
		return err
	}
	if order.Kind == engine.OrderModel && e.options.LoadModel != nil {
		if err := e.options.LoadModel(ctx, e.options.Model, order.Value); err != nil {
			return errors.Wrap(err, "load weights")
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch order.Kind {
	case engine.OrderRole:
		e.role = order.Role
	case engine.OrderModel:
		e.version = order.Value
	case engine.OrderAdapter:
		if !slices.Contains(e.adapters, order.Value) {
			e.adapters = append(e.adapters, order.Value)
		}
	}
	e.orders[order.ID] = true
	e.ledger.add(Entry{Kind: EntryOrderExecuted, Order: &order})
	return nil
}

func (e *Engine) verifyFencingToken(order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencingToken && order.FencingToken < e.fencingToken {
		e.ledger.add(Entry{Kind: EntryOrderRejected, Order: &order})
		return notRunError(http.StatusConflict, api.CodeConflict, "fencing token is stale")
	}
	e.fencingToken = max(e.fencingToken, order.FencingToken)
	return nil
}
