package gateway

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/quarantine"
)

// endedTimeout is how long a node looks whether the back end of a broken answer has ended. A
// connection to a living one comes up within some milliseconds; the request waits meanwhile.
const endedTimeout = 100 * time.Millisecond

// fingerprint names the content of the request. It is worked out once, and only where something
// has broken or is known of any request: 5 KB take 5 microseconds (quarantine.BenchmarkOf).
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.content == nil {
		fingerprint := quarantine.NewFingerprint(quarantine.Content{
			Tenant: x.request.Tenant, Method: x.request.Method, Host: x.request.Host, URI: x.request.URI, Body: x.request.Body,
		})
		x.content = &fingerprint
	}
	return *x.content
}

// admissible returns why a request may not be sent any more: its time is over, or it has crashed too
// many back ends. It is asked before each send. Another node may have seen the last crash while the
// request waited; and the timer of its context stands still while the machine is suspended, so that a
// back end would be given more time than is left.
func (x *exchange) admissible() error {
	if x.left() <= 0 {
		return expired(context.DeadlineExceeded)
	}
	return x.keptAway()
}

// keptAway returns the refusal of a request that has crashed too many back ends.
func (x *exchange) keptAway() error {
	known := x.handler.options.Quarantine
	if known == nil || known.Empty() {
		return nil
	}
	if left := known.Status(x.fingerprint()).Quarantined; left > 0 {
		return notRun(ReasonQuarantined, left, nil)
	}
	return nil
}

// brokeOff takes note of a back end that broke the request off, so long after it was sent there. One
// that has ended counts against the request; a broken connection does not, nor does the end of a
// back end that was leaving. A request that is held responsible for no crash yet goes on at once
// meanwhile: this one cannot be the last that it may have.
func (x *exchange) brokeOff(ctx context.Context, entry *backend.Entry, age time.Duration) {
	if entry.LeavingFor() > 0 {
		return
	}
	broken := brokenSend{request: x.request.ID, service: x.service, content: x.fingerprint(), backend: entry.Backend(), age: age}
	if known := x.handler.options.Quarantine; known != nil && known.Status(broken.content).Crashes > 0 {
		x.handler.noteBreak(ctx, broken)
		return
	}
	go x.handler.noteBreak(ctx, broken)
}

// brokenSend is a request that a back end broke off.
type brokenSend struct {
	request, service string
	content          quarantine.Fingerprint
	backend          backend.Backend
	// age is how long after it was sent there.
	age time.Duration
}

// noteBreak looks whether the back end has ended, and reports that.
func (h *Handler) noteBreak(ctx context.Context, broken brokenSend) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endedTimeout)
	defer cancel()
	var standing quarantine.Status
	crashed := h.options.Dialect.Ended(ctx, broken.backend)
	if known := h.options.Quarantine; crashed && known != nil {
		standing = known.Crashed(ctx, broken.content, broken.backend.ID)
	}
	h.logBrokeOff(broken, crashed, standing)
}

// ranToEnd takes note of a back end that has answered the request whole. A failure of the back end's
// own says nothing: one that fails a share of its requests may not have begun to run it.
func (x *exchange) ranToEnd() {
	known := x.handler.options.Quarantine
	if known == nil || known.Empty() {
		return
	}
	known.Answered(x.fingerprint())
}
