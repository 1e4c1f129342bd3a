package completion

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/cluster"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/filter"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/timeline"
)

// Options configures a Service.
type Options struct {
	Cluster *cluster.Cluster
	Engines *engine.Client
	Metrics *metrics.Set
	Events  *timeline.Ring
	// Quarantine tracks which requests crash engines. Without it, crashes are not
	// recorded.
	Quarantine quarantine.Tracker
	// Now reads the clock. Default time.Now.
	Now func() time.Time
}

// Service serves completions. It is safe for concurrent use.
type Service struct {
	options Options
	grants  *grants
	cancels *canceller
	close   context.CancelFunc

	mu sync.Mutex
	// runs are the running requests that carry a key.
	runs map[string]*run
}

// NewService returns a service.
func NewService(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		options: options,
		grants:  newGrants(ctx, options.Cluster, options.Metrics),
		cancels: &canceller{ctx: ctx, engines: options.Engines, metrics: options.Metrics, events: options.Events},
		close:   cancel,
		runs:    map[string]*run{},
	}
}

// Close ends the background work. A planned stop calls WaitCancels first.
func (s *Service) Close() {
	s.close()
	s.cancels.running.Close()
	s.grants.running.Close()
}

// Completions returns the handler of POST /v1/completions.
func (s *Service) Completions() filter.Handler { return s.handler(false) }

// ChatCompletions returns the handler of POST /v1/chat/completions.
func (s *Service) ChatCompletions() filter.Handler { return s.handler(true) }

func (s *Service) handler(chat bool) filter.Handler {
	return filter.HandlerFunc(func(w http.ResponseWriter, r *http.Request) error {
		exchange := filter.ExchangeOf(r)
		request, err := parse(r, exchange, chat)
		if err != nil {
			return err
		}
		started := s.newRun(exchange, request)
		ident := identity{id: exchange.RequestID, model: request.class.Model, chat: chat}
		started.sink = &bufferedSink{identity: ident, w: w}
		if request.stream {
			started.sink = newStreamSink(w, ident)
		}
		return s.serve(r.Context(), started)
	})
}

// serve runs a request to its end and returns an error only if nothing has been
// sent to the caller.
func (s *Service) serve(ctx context.Context, started *run) error {
	err := s.executeRegistered(ctx, started)
	if err == nil {
		return nil
	}
	failure := started.failure(ctx, err)
	s.options.Metrics.Add("completions_failed_"+string(failure.Code), 1)
	if started.sink.fail(failure) {
		return nil
	}
	return failure
}

func (s *Service) executeRegistered(ctx context.Context, started *run) error {
	if started.request.key == "" {
		return started.execute(ctx)
	}
	if err := s.registerRun(ctx, started); err != nil {
		return err
	}
	defer s.unregisterRun(started)
	err := started.execute(ctx)
	started.reportEnd(err)
	return err
}

// Reconcile reports the grants and the runs of the node to new pool owners and
// directory nodes.
func (s *Service) Reconcile(ctx context.Context) {
	s.grants.reconcile(ctx)
	s.reconcileDirectory()
}

// HeldGrants returns the number of grants that the node holds.
func (s *Service) HeldGrants() int { return s.grants.count() }

// WaitCancels returns when every cancellation has been acknowledged or abandoned.
func (s *Service) WaitCancels() { s.cancels.wait() }

// holder identifies this incarnation of the node.
func (s *Service) holder() engine.Holder {
	self := s.options.Cluster.Self()
	return engine.Holder{Node: self.Name, Incarnation: self.Incarnation}
}

// failure returns the API error of a run that has ended without a response.
func (r *run) failure(ctx context.Context, err error) *api.Error {
	if ctx.Err() != nil {
		return api.NewError(statusClientClosedRequest, api.CodeCancelled, r.outcome(), "the caller has gone")
	}
	return api.AsError(err, r.outcome())
}

// statusClientClosedRequest is the conventional status for a request whose caller
// has disconnected; it appears in counters only.
const statusClientClosedRequest = 499
