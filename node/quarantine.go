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

// archiveInterval is how often the keeper of quarantines looks whether the platform has them all.
const archiveInterval = time.Second

// assembleQuarantine builds what knows of requests that crash engines.
func (c *Core) assembleQuarantine() {
	origin := c.options.LeaseNow()
	now := func() time.Duration { return c.options.LeaseNow().Sub(origin) }
	keeper := quarantine.NewCoordinator(quarantine.CoordinatorOptions{Announce: c.announceQuarantine, Now: now})
	c.quarantines = quarantine.NewClient(quarantine.ClientOptions{
		Coordinators: ownerChoice{c}, Peers: c.client, Local: keeper, Now: now,
	})
	c.quarantineArchive = quarantine.NewArchive(c.options.Store, keeper, slog.Default(), c.options.Now)
}

// announceQuarantine tells all live nodes of a request. One that misses it asks the keeper for all when
// it has found another keeper, or meets the keeper's word at the next crash.
func (c *Core) announceQuarantine(told quarantine.Announcement) {
	c.Events.Record(timeline.Event{Kind: "request-standing", Detail: told.Request.String()})
	go c.gather(context.Background(), func() *peerpb.Request {
		return &peerpb.Request{Body: &peerpb.Request_AnnounceCrashes{AnnounceCrashes: quarantine.EncodeAnnouncement(told)}}
	})
}

// keepArchive keeps the quarantines in the platform while this node is their keeper.
func (c *Core) keepArchive(ctx context.Context) {
	if !c.quarantines.IsCoordinator() {
		c.quarantineArchive.Reset()
		return
	}
	c.quarantineArchive.Reconcile(ctx)
}

// ownerChoice chooses who coordinates something for all nodes: the owner of its name.
type ownerChoice struct{ core *Core }

var _ coordinator.Locator = ownerChoice{}

// Coordinator implements coordinator.Locator.
func (o ownerChoice) Coordinator(scope string) (address string, found bool) {
	owner, err := o.core.Cluster.Owner("", scope)
	return owner.Address, err == nil
}

// Own implements coordinator.Locator.
func (o ownerChoice) Own() string { return o.core.options.PeerAddress }

// Answered implements coordinator.Locator. Heartbeats tell who lives.
func (o ownerChoice) Answered(string) {}

// Missed implements coordinator.Locator. Heartbeats tell who is gone.
func (o ownerChoice) Missed(string, error) {}
