package filter

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/timeline"
)

// HeaderRequestID carries the request's identifier in the response.
const HeaderRequestID = "Reelrun-Request-Id"

// Identify assigns each request its identifier and the active configuration, and
// counts requests by how they ended. It is the outermost filter.
type Identify struct {
	Configuration *configuration.Holder
	Metrics       *metrics.Set
	Events        *timeline.Ring
	Now           func() time.Time
}

// ServeHTTP implements Filter.
func (f *Identify) ServeHTTP(w http.ResponseWriter, r *http.Request, next Handler) error {
	id, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "generate request identifier")
	}
	exchange := &Exchange{RequestID: id.String(), Arrival: f.Now(), Snapshot: f.Configuration.Current()}
	w.Header().Set(HeaderRequestID, exchange.RequestID)
	f.Metrics.Add("requests", 1)
	f.Metrics.Add("requests_in_flight", 1)
	defer f.Metrics.Add("requests_in_flight", -1)
	err = next.ServeHTTP(w, WithExchange(r, exchange))
	f.count(exchange, err)
	return err
}

func (f *Identify) count(exchange *Exchange, err error) {
	event := timeline.Event{Kind: "request-ended", Request: exchange.RequestID}
	if exchange.Tenant != nil {
		event.Tenant = exchange.Tenant.Name
	}
	if err == nil {
		f.Metrics.Add("requests_answered", 1)
		event.Detail = "answered"
		f.Events.Record(event)
		return
	}
	apiErr := api.AsError(err, api.OutcomeUnknown)
	f.Metrics.Add("requests_refused_"+string(apiErr.Code), 1)
	event.Detail = string(apiErr.Code) + " " + string(apiErr.Outcome)
	f.Events.Record(event)
}
