package router

import "github.com/reelrun/reelrun/streamorigin"

// streamKeepers returns the responsive nodes that keep records of where streams began, this one included. Nodes that are
// cut off from the majority keep records as well: a record is right wherever it is found.
func (r *Router) streamKeepers() []streamorigin.Node {
	view := r.fleet()
	keepers := make([]streamorigin.Node, 0, len(view.others)+1)
	keepers = append(keepers, streamorigin.Node{Address: r.Own(), Zone: r.options.Settings.Zone})
	for _, node := range view.others {
		if node.hasCapability(capabilityStreams) && r.syncer.Responsive(node.Address) {
			keepers = append(keepers, streamorigin.Node{Address: node.Address, Zone: node.zone})
		}
	}
	return keepers
}
