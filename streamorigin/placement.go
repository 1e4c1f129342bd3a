package streamorigin

import (
	"encoding/hex"

	"github.com/reelrun/reelrun/placement"
)

const (
	// keeperCount is how many other nodes receive a record.
	keeperCount = 2
	// maxAsked bounds how many nodes are asked for a record. It exceeds keeperCount because nodes that have joined since
	// the record was written may come first in the order.
	maxAsked = 12
)

// Node is a node that keeps records.
type Node struct{ Address, Zone string }

// ordered returns the addresses of the first nodes that keep the record of a key, in an order that all nodes agree on: the
// first node of each zone, then the second one of each zone, and so on.
func ordered(key Key, nodes []Node, count int) []string {
	name := hex.EncodeToString(key[:])
	zones := map[string][]string{}
	for _, node := range nodes {
		zones[node.Zone] = append(zones[node.Zone], node.Address)
	}
	for zone, addresses := range zones {
		zones[zone] = placement.Top(name, addresses, count)
	}
	var order []string
	for position := 0; len(order) < count; position++ {
		var round []string
		for _, addresses := range zones {
			if position < len(addresses) {
				round = append(round, addresses[position])
			}
		}
		if len(round) == 0 {
			break
		}
		order = append(order, placement.Top(name, round, count-len(order))...)
	}
	return order
}
