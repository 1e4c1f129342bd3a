package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/placement"
)

const (
	// watchInterval is how often, over the whole fleet, a watch of a kind begins
	// anew. A watch that the store has silently forgotten is noticed then, and the
	// other nodes are told.
	watchInterval = 800 * time.Millisecond
	// shortestWatch bounds the wait of one watch from below: a node whose turn comes
	// sooner than that takes its next one.
	shortestWatch = watchInterval / 2
	// longestWatch bounds it from above.
	longestWatch = 20 * time.Second
)

// maxWatchers is how many nodes follow the store. The others hear from them: the
// calls of the fleet do not grow with it. It is above what an outage for a part of
// the nodes, or the loss of a zone, takes away.
const maxWatchers = 12

const (
	// nodePause is how long the watch of the nodes rests after a change. A node that starts
	// tells the others itself, so that the store's word is only for those that hear nobody.
	nodePause = 2 * time.Second
	// backendPause is the same for the back ends: a rack that is lost, or a release, changes
	// many entries within milliseconds.
	backendPause = 60 * time.Millisecond
	// backendPauseSpread is how much longer, for each other watcher, it may last by chance. Of
	// twelve the first is back after 85 ms on average and all of them after 225 ms, which takes a
	// quarter of the calls of twelve that are all back after 60 ms while back ends keep changing.
	backendPauseSpread = 30 * time.Millisecond
)

// WatchTiming returns how long the next watch of a kind waits, and how long it rests after a
// change. Watchers begin their watches anew one after the other.
func (r *Router) WatchTiming(kind objectapi.Kind) (wait, pause time.Duration) {
	if kind == kindNode {
		return longestWatch, nodePause
	}
	count, position := r.place()
	watchers := min(count, maxWatchers)
	if kind == r.options.Environment.BackendKind {
		pause = backendPause + time.Duration(rand.Float64()*float64(watchers-1)*float64(backendPauseSpread))
	}
	return untilTurn(time.Now(), position%maxWatchers, watchers), pause
}

// untilTurn returns how long it is until the next turn of a watcher. Turns go by the time of
// day, which is about the same on all nodes, and not by when a watch began: nodes that start,
// leave or are cut off at any moment would otherwise leave gaps between the turns. A node
// whose clock is wrong has its turn at another moment, and costs the others nothing.
func untilTurn(now time.Time, position, watchers int) time.Duration {
	cycle := watchInterval * time.Duration(watchers)
	turn := watchInterval * time.Duration(position)
	wait := (turn - time.Duration(now.UnixNano())%cycle + cycle) % cycle
	if wait < shortestWatch {
		wait += cycle
	}
	return wait
}

// nextWatchers is how many nodes look at all that follow the store, in the order in which they would do
// so themselves: as many as a loss of machines may take away before these do. All others look at a few,
// because each node that is looked at by the whole fleet has a connection to each node.
const nextWatchers = 4 * maxWatchers

// watchersOfOthers is how many of those that follow the store any other node looks at.
const watchersOfOthers = 2

// sources returns the other nodes that follow the store and are looked at, as far as this one knows.
// The first of all nodes looks at all others, because it removes the lost ones.
func (r *Router) sources() []string {
	view := r.fleet()
	switch {
	case view.position == 0:
		return view.addresses
	case view.position < nextWatchers:
		return addressesOf(view.watchers)
	}
	near := slices.DeleteFunc(slices.Clone(view.watchers), func(node knownNode) bool { return node.zone != r.options.Settings.Zone })
	if len(near) == 0 {
		near = view.watchers
	}
	return placement.Top(r.Own(), addressesOf(near), watchersOfOthers)
}

// relays returns a bridge of each other zone. What this node hears from the store, or makes known itself,
// reaches the other zones by these.
func (r *Router) relays() []string {
	var relays []string
	for zone, bridges := range r.fleet().bridges {
		if zone != r.options.Settings.Zone {
			relays = append(relays, bridges[rand.IntN(len(bridges))].Address)
		}
	}
	return relays
}

func addressesOf(nodes []knownNode) []string {
	addresses := make([]string, len(nodes))
	for i, node := range nodes {
		addresses[i] = node.Address
	}
	return addresses
}

// isWatcher reports whether this node follows the store: it is among the first of
// those that answer.
func (r *Router) isWatcher() bool { return r.fleet().position < maxWatchers }

// isFirst reports whether this node does what one does for all: it is the first of those that answer, and not
// itself cut off from most.
func (r *Router) isFirst() bool { return r.fleet().position == 0 && r.hasMajority() }

// isBridge reports whether this node exchanges objects with nodes of other zones.
func (r *Router) isBridge() bool {
	return r.isWatcher() || r.fleet().isBridge(r.options.Settings.Zone, r.Own())
}

// responsiveCount returns how many nodes answer, this one included.
func (r *Router) responsiveCount() int { return r.fleet().responsiveCount }

// place returns the number of nodes that answer and the position of this one among them, in the
// order in which they follow the store.
func (r *Router) place() (count, position int) {
	view := r.fleet()
	return view.responsiveCount, view.position
}
