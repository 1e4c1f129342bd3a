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

// Options are the parts of a Service.
type Options struct {
	Cluster *cluster.Cluster
	Engines *engine.Client
	Metrics *metrics.Set
	Events  *timeline.Ring
	// Quarantine knows which requests crash engines. Without it, nothing is remembered.
	Quarantine quarantine.Judge
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

// Close ends what goes on in the background. A planned stop calls WaitCancels first.
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
		who := identity{id: exchange.RequestID, model: request.class.Model, chat: chat}
		started.sink = &wholeSink{identity: who, w: w}
		if request.stream {
			started.sink = newStreamSink(w, who)
		}
		return s.serve(r.Context(), started)
	})
}

// serve follows a run to its end and returns an error only if nothing has been
// sent to the caller.
func (s *Service) serve(ctx context.Context, started *run) error {
	err := s.follow(ctx, started)
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

func (s *Service) follow(ctx context.Context, started *run) error {
	if started.request.key == "" {
		return started.execute(ctx)
	}
	if err := s.arrive(ctx, started); err != nil {
		return err
	}
	defer s.leave(started)
	err := started.execute(ctx)
	started.reportEnd(err)
	return err
}

// Reconcile tells new pool owners and directory nodes of what the node holds.
func (s *Service) Reconcile(ctx context.Context) {
	s.grants.reconcile(ctx)
	s.reconcileDirectory()
}

// HeldGrants returns the number of grants that the node holds.
func (s *Service) HeldGrants() int { return s.grants.count() }

// WaitCancels returns when every cancellation has been acknowledged or given up.
func (s *Service) WaitCancels() { s.cancels.wait() }

// holder names this start of the node.
func (s *Service) holder() engine.Holder {
	self := s.options.Cluster.Self()
	return engine.Holder{Node: self.Name, Incarnation: self.Incarnation}
}

// failure returns the typed error of a run that has ended without an answer.
func (r *run) failure(ctx context.Context, err error) *api.Error {
	if ctx.Err() != nil {
		return api.NewError(statusClientGone, api.CodeCancelled, r.outcome(), "the caller has gone")
	}
	return api.AsError(err, r.outcome())
}

// statusClientGone is the customary status for a request whose caller has gone;
// it appears in counters only.
const statusClientGone = 499
