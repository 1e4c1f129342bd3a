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

// retention is how long the record of an ended request is kept.
const retention = time.Minute

// Key returns the key whose owner holds the record of a request.
func Key(tenant, key string) string { return "directory/" + tenant + "/" + key }

type entry struct {
	running *peerpb.Running
	// changedAt is when the record last changed.
	changedAt time.Time
}

// Directory holds the records for which one node is responsible. It is safe for concurrent use.
type Directory struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[string]*entry
	sweptAt time.Time
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

// Register applies a report and returns the previous record.
func (d *Directory) Register(register *peerpb.Register) (*peerpb.Registered, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep()
	// A caller on this node passes its own message, and may still use it.
	running := proto.CloneOf(register.GetRunning())
	key := Key(running.GetTenant(), running.GetKey())
	existing, exists := d.entries[key]
	switch register.GetMode() {
	case peerpb.RegisterMode_REGISTER_MODE_ARRIVE:
		return d.arrive(key, existing, running)
	case peerpb.RegisterMode_REGISTER_MODE_UPDATE, peerpb.RegisterMode_REGISTER_MODE_RESTORE:
		if exists && !precedes(existing.running, running) {
			return &peerpb.Registered{Previous: existing.running}, nil
		}
		d.entries[key] = &entry{running: running, changedAt: d.now()}
		return &peerpb.Registered{}, nil
	default:
		return nil, api.NewError(http.StatusBadRequest, api.CodeInvalidRequest, api.OutcomeNotRun, "unknown mode")
	}
}

// precedes reports whether a report is newer than the existing record. If two records have the same turn, which
// two nodes may have assigned while their views differed, the first one is kept.
func precedes(existing, running *peerpb.Running) bool {
	if existing.GetTurn() != running.GetTurn() {
		return existing.GetTurn() < running.GetTurn()
	}
	return proto.Equal(existing.GetHolder(), running.GetHolder())
}

// arrive assigns the next turn to a request.
func (d *Directory) arrive(key string, existing *entry, running *peerpb.Running) (*peerpb.Registered, error) {
	if existing == nil {
		running.Turn = 1
		running.State = peerpb.RunState_RUN_STATE_RUNNING
		d.entries[key] = &entry{running: running, changedAt: d.now()}
		return &peerpb.Registered{Turn: running.GetTurn()}, nil
	}
	previous := existing.running
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
	d.entries[key] = &entry{running: running, changedAt: d.now()}
	return &peerpb.Registered{Previous: previous, Turn: running.GetTurn()}, nil
}

// sweep removes ended requests, and running ones whose holder has not reported for a long time, at most once a
// second.
func (d *Directory) sweep() {
	const sweepInterval = time.Second
	const runningRetention = 10 * retention
	now := d.now()
	if now.Sub(d.sweptAt) < sweepInterval {
		return
	}
	d.sweptAt = now
	for key, record := range d.entries {
		limit := retention
		if record.running.GetState() == peerpb.RunState_RUN_STATE_RUNNING {
			limit = runningRetention
		}
		if now.Sub(record.changedAt) > limit {
			delete(d.entries, key)
		}
	}
}
