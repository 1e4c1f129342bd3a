package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/timeline"
)

// archiveInterval is how often the quarantine coordinator checks that the platform has all quarantines.
const archiveInterval = time.Second

// assembleQuarantine builds the components that track requests which crash engines.
func (c *Core) assembleQuarantine() {
	origin := c.options.LeaseNow()
	now := func() time.Duration { return c.options.LeaseNow().Sub(origin) }
	local := quarantine.NewCoordinator(quarantine.CoordinatorOptions{Announce: c.announceQuarantine, Now: now})
	c.quarantines = quarantine.NewClient(quarantine.ClientOptions{
		Coordinators: ownerLocator{c}, Peers: c.client, LocalCoordinator: local, Now: now,
	})
	c.quarantineArchive = quarantine.NewArchive(c.options.Store, local, slog.Default(), c.options.Now)
}

// announceQuarantine sends a request's quarantine status to all live nodes. A node that misses the call receives
// the status at the next crash, or when it requests all announcements after another coordinator was chosen.
func (c *Core) announceQuarantine(announcement quarantine.Announcement) {
	c.Events.Record(timeline.Event{Kind: "request-standing", Detail: announcement.Request.String()})
	go c.gather(context.Background(), func() *peerpb.Request {
		return &peerpb.Request{Body: &peerpb.Request_AnnounceCrashes{AnnounceCrashes: quarantine.EncodeAnnouncement(announcement)}}
	})
}

// reconcileArchive persists the quarantines in the platform while this node is the quarantine coordinator.
func (c *Core) reconcileArchive(ctx context.Context) {
	if !c.quarantines.IsCoordinator() {
		c.quarantineArchive.Reset()
		return
	}
	c.quarantineArchive.Reconcile(ctx)
}

// ownerLocator locates the coordinator of a scope: the node that owns the scope's name.
type ownerLocator struct{ core *Core }

var _ coordinator.Locator = ownerLocator{}

// Coordinator implements coordinator.Locator.
func (o ownerLocator) Coordinator(scope string) (address string, found bool) {
	owner, err := o.core.Cluster.Owner("", scope)
	return owner.Address, err == nil
}

// Own implements coordinator.Locator.
func (o ownerLocator) Own() string { return o.core.options.PeerAddress }

// Answered implements coordinator.Locator. Heartbeats already detect live nodes.
func (o ownerLocator) Answered(string) {}

// Missed implements coordinator.Locator. Heartbeats already detect failed nodes.
func (o ownerLocator) Missed(string, error) {}
