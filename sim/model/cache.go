package model

import (
	"container/list"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/reelrun/reelrun/scheduler"
)

// promptBlocks returns the block hashes of a prompt. The shared prefix is the same
// for all requests of a kind and tenant; the remaining hashes are random.
func promptBlocks(random *rand.Rand, tenant string, chosen *requestKind, tokens int) []uint64 {
	count := tokens / scheduler.BlockTokens
	shared := chosen.sharedTokens / scheduler.BlockTokens
	seed := xxhash.Sum64String(tenant + "/" + chosen.name)
	blocks := make([]uint64, count)
	for i := range blocks {
		if i < shared {
			blocks[i] = seed + uint64(i)
			continue
		}
		blocks[i] = random.Uint64()
	}
	return blocks
}

// prefixCache is an LRU cache of prompt blocks. Its capacity is in blocks.
type prefixCache struct {
	capacity int
	order    *list.List
	entries  map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// match returns the number of leading prompt tokens that are cached, and marks their
// blocks as recently used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.entries[block]
		if !ok {
			return i * scheduler.BlockTokens
		}
		c.order.MoveToFront(element)
	}
	return len(blocks) * scheduler.BlockTokens
}

// store adds blocks and returns those evicted to make space.
func (c *prefixCache) store(blocks []uint64) []uint64 {
	for _, block := range blocks {
		if element, ok := c.entries[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.entries[block] = c.order.PushFront(block)
	}
	var evicted []uint64
	for c.order.Len() > c.capacity {
		block := c.order.Remove(c.order.Back()).(uint64)
		delete(c.entries, block)
		evicted = append(evicted, block)
	}
	return evicted
}
