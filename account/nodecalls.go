package account

import (
	"io"
	"maps"
	"slices"
)

// Bytes are the bytes transferred by calls of one kind.
type Bytes struct {
	InZone, BetweenZones int
}

func (b *builder) addNodeCalls(read line) {
	for kind, count := range read.BytesInZone {
		sum := b.bytes[kind]
		sum.InZone += count
		b.bytes[kind] = sum
	}
	for kind, count := range read.BytesBetweenZones {
		sum := b.bytes[kind]
		sum.BetweenZones += count
		b.bytes[kind] = sum
	}
}

func (a *Account) writeNodeCalls(table io.Writer) {
	row(table, "call between nodes", "bytes in a zone", "bytes between zones")
	for _, kind := range slices.Sorted(maps.Keys(a.NodeCalls)) {
		row(table, kind, a.NodeCalls[kind].InZone, a.NodeCalls[kind].BetweenZones)
	}
	row(table)
}
