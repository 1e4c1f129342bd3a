package directory

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// retention is how long an ended request is remembered.
const retention = time.Minute

// Key returns the key whose owner holds the record of a request.
func Key(tenant, key string) string { return "directory/" + tenant + "/" + key }

type entry struct {
	running *peerpb.Running
	// touched is when the record last changed.
	touched time.Time
}

// Directory is the part of the directory that one node holds. It is safe for
// concurrent use.
type Directory struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[string]*entry
	swept   time.Time
}

// New returns an empty directory.
func New(now func() time.Time) *Directory {
	return &Directory{now: now, entries: map[string]*entry{}}
}

// Len returns the number of records.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

// Register applies a report and returns what stood before.
func (d *Directory) Register(register *peerpb.Register) (*peerpb.Registered, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep()
	// A caller on this node goes on using its message.
	running := proto.CloneOf(register.GetRunning())
	key := Key(running.GetTenant(), running.GetKey())
	standing, exists := d.entries[key]
	switch register.GetMode() {
	case peerpb.RegisterMode_REGISTER_MODE_ARRIVE:
		return d.arrive(key, standing, running)
	case peerpb.RegisterMode_REGISTER_MODE_UPDATE, peerpb.RegisterMode_REGISTER_MODE_RESTORE:
		if exists && !precedes(standing.running, running) {
			return &peerpb.Registered{Previous: standing.running}, nil
		}
		d.entries[key] = &entry{running: running, touched: d.now()}
		return &peerpb.Registered{}, nil
	default:
		return nil, api.NewError(http.StatusBadRequest, api.CodeInvalidRequest, api.OutcomeNotRun, "unknown mode")
	}
}

// precedes reports whether a report is newer than the standing record. Of two
// records with one turn, which two nodes have given while their views differed,
// the one that came first stays.
func precedes(standing, running *peerpb.Running) bool {
	if standing.GetTurn() != running.GetTurn() {
		return standing.GetTurn() < running.GetTurn()
	}
	return proto.Equal(standing.GetHolder(), running.GetHolder())
}

// arrive gives the next turn to an arriving request.
func (d *Directory) arrive(key string, standing *entry, running *peerpb.Running) (*peerpb.Registered, error) {
	if standing == nil {
		running.Turn = 1
		running.State = peerpb.RunState_RUN_STATE_RUNNING
		d.entries[key] = &entry{running: running, touched: d.now()}
		return &peerpb.Registered{Turn: running.GetTurn()}, nil
	}
	previous := standing.running
	if !bytes.Equal(previous.GetBodyDigest(), running.GetBodyDigest()) {
		return nil, api.NewError(http.StatusConflict, api.CodeKeyConflict, api.OutcomeNotRun, "the key belongs to a request with another body")
	}
	if previous.GetState() == peerpb.RunState_RUN_STATE_ANSWERED {
		return nil, api.NewError(http.StatusConflict, api.CodeAlreadyClaimed, api.OutcomeRan, "the request with this key has been answered")
	}
	running.Turn = previous.GetTurn() + 1
	running.State = peerpb.RunState_RUN_STATE_RUNNING
	if previous.GetState() == peerpb.RunState_RUN_STATE_RUNNING {
		running.RequestId = previous.GetRequestId()
		running.Pool = previous.GetPool()
		running.DecodeEngine = previous.GetDecodeEngine()
		running.Attempt = previous.GetAttempt()
	}
	d.entries[key] = &entry{running: running, touched: d.now()}
	return &peerpb.Registered{Previous: previous, Turn: running.GetTurn()}, nil
}

// sweep forgets ended requests, and running ones whose holder has not reported
// for long, at most once a second.
func (d *Directory) sweep() {
	const sweepInterval = time.Second
	const runningRetention = 10 * retention
	now := d.now()
	if now.Sub(d.swept) < sweepInterval {
		return
	}
	d.swept = now
	for key, held := range d.entries {
		limit := retention
		if held.running.GetState() == peerpb.RunState_RUN_STATE_RUNNING {
			limit = runningRetention
		}
		if now.Sub(held.touched) > limit {
			delete(d.entries, key)
		}
	}
}
