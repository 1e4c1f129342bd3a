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
// has broken: hashing 5 KB costs some 10 microseconds.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.content == nil {
		fingerprint := quarantine.Of(quarantine.Content{
			Tenant: x.request.Tenant, Method: x.request.Method, Host: x.request.Host, URI: x.request.URI, Body: x.request.Body,
		})
		x.content = &fingerprint
	}
	return *x.content
}

// brokeOff takes note of a back end that broke the request off, so long after it was sent there. It
// looks whether the back end has ended, so that the log tells a crash from a broken connection.
func (x *exchange) brokeOff(ctx context.Context, entry *backend.Entry, age time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endedTimeout)
	defer cancel()
	crashed := entry.LeavingFor() == 0 && x.handler.options.Dialect.Ended(ctx, entry.Backend())
	x.handler.logBrokeOff(x, entry, age, crashed)
}
