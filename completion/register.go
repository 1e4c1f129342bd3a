package completion

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/directory"
	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// directoryTimeout bounds a call to a directory node.
const directoryTimeout = 500 * time.Millisecond

// errNoDirectory means that neither the directory node nor its successor answered.
var errNoDirectory = api.NewError(http.StatusServiceUnavailable, api.CodeUnavailable, api.OutcomeNotRun, "the request could not be registered").WithRetryAfter(time.Second)

// errAnswered means that the request with the key has been answered.
var errAnswered = api.NewError(http.StatusConflict, api.CodeAlreadyClaimed, api.OutcomeRan, "the request with this key has been answered")

// registerArrival takes the next turn of a request and returns the previous turn.
//
// The record is kept at two nodes: the owner of the key and the one that would
// succeed it. While the membership changes, two nodes may determine different
// owners for a moment, but the two pairs still have a node in common. The first
// node assigns the turn. The turn is then reported to the second node, which
// responds with another holder if it has a record of one.
func (s *Service) registerArrival(ctx context.Context, started *run) (*peerpb.Running, error) {
	running := started.running()
	nodes := s.directoryNodes(running)
	var registered *peerpb.Registered
	answeredBy := -1
	for i, node := range nodes {
		response, err := s.register(ctx, node, peerpb.RegisterMode_REGISTER_MODE_ARRIVE, running)
		var rejected *api.Error
		if errors.As(err, &rejected) {
			return nil, rejected
		}
		if err == nil {
			registered, answeredBy = response, i
			break
		}
	}
	if registered == nil {
		return nil, errNoDirectory
	}
	started.turn.number = registered.GetTurn()
	started.turn.setDirectoryNodes(names(nodes))
	previous := registered.GetPrevious()
	for _, node := range nodes[answeredBy+1:] {
		other, err := s.register(ctx, node, peerpb.RegisterMode_REGISTER_MODE_RESTORE, started.running())
		if err != nil || other.GetPrevious() == nil {
			continue
		}
		if other.GetPrevious().GetState() == peerpb.RunState_RUN_STATE_ANSWERED {
			return nil, errAnswered
		}
		previous = other.GetPrevious()
		started.turn.number = previous.GetTurn() + 1
		started.report()
	}
	return previous, nil
}

// directoryNodes returns the nodes that keep the record of a request.
func (s *Service) directoryNodes(running *peerpb.Running) []membership.Member {
	return s.options.Cluster.Holders(directory.Key(running.GetTenant(), running.GetKey()))
}

func names(members []membership.Member) string {
	return strings.Join(membership.Names(members), " ")
}

func (s *Service) register(ctx context.Context, node membership.Member, mode peerpb.RegisterMode, running *peerpb.Running) (*peerpb.Registered, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	response, err := s.options.Cluster.Call(ctx, node, &peerpb.Request{Body: &peerpb.Request_Register{
		Register: &peerpb.Register{Mode: mode, Running: running},
	}})
	return response.GetRegistered(), err
}

// report sends the run's current state to the directory nodes.
func (r *run) report() { r.reportAs(r.running()) }

func (r *run) reportAs(running *peerpb.Running) {
	nodes := r.service.directoryNodes(running)
	for _, node := range nodes {
		if _, err := r.service.register(context.Background(), node, peerpb.RegisterMode_REGISTER_MODE_UPDATE, running); err != nil {
			r.service.options.Metrics.Add("directory_errors", 1)
		}
	}
	r.turn.setDirectoryNodes(names(nodes))
}

func (t *turnState) setDirectoryNodes(nodes string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.directoryNodes = nodes
}

func (t *turnState) isRegisteredAt(nodes string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.directoryNodes == nodes
}

// reconcileDirectory reports the runs whose directory nodes have changed.
func (s *Service) reconcileDirectory() {
	s.mu.Lock()
	all := make([]*run, 0, len(s.runs))
	for _, started := range s.runs {
		all = append(all, started)
	}
	s.mu.Unlock()
	for _, started := range all {
		if !started.turn.isRegisteredAt(names(s.directoryNodes(started.running()))) {
			started.report()
		}
	}
}
