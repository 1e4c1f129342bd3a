package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/placement"
)

const (
	// watchInterval is the interval, over the whole fleet, at which a watch of a kind is restarted. A watch that
	// the store has silently dropped is then detected, and the changes that it missed are pushed to the other
	// nodes.
	watchInterval = 800 * time.Millisecond
	// minWatch is the shortest wait of one watch: a node whose turn comes sooner takes its next turn.
	minWatch = watchInterval / 2
	// maxWatch is the longest wait of one watch.
	maxWatch = 20 * time.Second
)

// maxWatchers is the number of nodes that watch the store. The others receive changes from them, so that the
// number of calls does not grow with the fleet. It exceeds the number of watchers that an outage of a part of
// the nodes, or the loss of a zone, takes away.
const maxWatchers = 12

const (
	// nodePause is how long the watch of the nodes rests after a change. A starting node announces itself to the
	// others, so that the store is only needed by nodes that receive nothing from others.
	nodePause = 2 * time.Second
	// backendPause is the same for backends: the loss of a rack, or a release, changes many entries within
	// milliseconds.
	backendPause = 60 * time.Millisecond
	// backendPauseJitter is the greatest random extension of backendPause for each other watcher. Of twelve
	// watchers the first resumes after 85 ms on average and all after 225 ms. While backends keep changing, this
	// takes a quarter of the calls that they would make if all resumed after 60 ms.
	backendPauseJitter = 30 * time.Millisecond
)

// WatchTiming returns how long the next watch of a kind waits, and how long it rests after a change. Watchers
// restart their watches in turn.
func (r *Router) WatchTiming(kind objectapi.Kind) (wait, pause time.Duration) {
	if kind == kindNode {
		return maxWatch, nodePause
	}
	count, position := r.rank()
	watchers := min(count, maxWatchers)
	if kind == r.options.Environment.BackendKind {
		pause = backendPause + time.Duration(rand.Float64()*float64(watchers-1)*float64(backendPauseJitter))
	}
	return untilTurn(time.Now(), position%maxWatchers, watchers), pause
}

// untilTurn returns the time until the next turn of a watcher. Turns are derived from the time of day, which
// is about the same on all nodes, and not from the start of a watch: otherwise nodes that start, leave or are
// partitioned would leave gaps between the turns. A node whose clock is wrong has its turn at another moment, which
// costs the others nothing.
func untilTurn(now time.Time, position, watchers int) time.Duration {
	cycle := watchInterval * time.Duration(watchers)
	turn := watchInterval * time.Duration(position)
	wait := (turn - time.Duration(now.UnixNano())%cycle + cycle) % cycle
	if wait < minWatch {
		wait += cycle
	}
	return wait
}

// standbyWatchers is the number of nodes that monitor all watchers, in the order in which they would become
// watchers themselves: as many as a loss of machines may remove before they become watchers. All other nodes
// monitor a few watchers, because a node that is monitored by the whole fleet has a connection to each node.
const standbyWatchers = 4 * maxWatchers

// watchersPerNode is the number of watchers that any other node monitors.
const watchersPerNode = 2

// monitored returns the other nodes that this one monitors: nodes that watch the store. The first
// responsive node monitors all others, because it removes the lost ones.
func (r *Router) monitored() []string {
	view := r.fleet()
	switch {
	case view.position == 0:
		return view.addresses
	case view.position < standbyWatchers:
		return addressesOf(view.watchers)
	}
	sameZone := slices.DeleteFunc(slices.Clone(view.watchers), func(node knownNode) bool { return node.zone != r.options.Settings.Zone })
	if len(sameZone) == 0 {
		sameZone = view.watchers
	}
	return placement.Top(r.Own(), addressesOf(sameZone), watchersPerNode)
}

// remoteRelays returns a random zone relay of each other zone. What this node receives from the store, or
// announces itself, reaches the other zones through them.
func (r *Router) remoteRelays() []string {
	var remoteRelays []string
	for zone, zoneRelays := range r.fleet().zoneRelays {
		if zone != r.options.Settings.Zone {
			remoteRelays = append(remoteRelays, zoneRelays[rand.IntN(len(zoneRelays))].Address)
		}
	}
	return remoteRelays
}

func addressesOf(nodes []knownNode) []string {
	addresses := make([]string, len(nodes))
	for i, node := range nodes {
		addresses[i] = node.Address
	}
	return addresses
}

// isWatcher reports whether this node is a watcher: it is among the first responsive nodes.
func (r *Router) isWatcher() bool { return r.fleet().position < maxWatchers }

// isFirst reports whether this node performs the tasks that one node does for the fleet: it is the first
// responsive node, and has contact with most of the fleet.
func (r *Router) isFirst() bool { return r.fleet().position == 0 && r.hasMajority() }

// isZoneRelay reports whether this node exchanges objects with nodes of other zones.
func (r *Router) isZoneRelay() bool {
	return r.isWatcher() || r.fleet().isZoneRelay(r.options.Settings.Zone, r.Own())
}

// responsiveCount returns the number of responsive nodes, including this one.
func (r *Router) responsiveCount() int { return r.fleet().responsiveCount }

// rank returns the number of responsive nodes and the position of this one among them, in the order in which
// they watch the store.
func (r *Router) rank() (count, position int) {
	view := r.fleet()
	return view.responsiveCount, view.position
}
