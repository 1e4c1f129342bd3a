package model

import (
	"container/list"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/reelrun/reelrun/scheduler"
)

// promptBlocks returns the block hashes of a prompt: the shared part is the same
// for all requests of a kind and tenant, the rest is new.
func promptBlocks(random *rand.Rand, tenant string, chosen *kind, tokens int) []uint64 {
	count := tokens / scheduler.BlockTokens
	shared := chosen.shared / scheduler.BlockTokens
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

// prefixCache is an LRU of blocks.
type prefixCache struct {
	capacity int
	order    *list.List
	held     map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), held: map[uint64]*list.Element{}}
}

// match returns the cached leading tokens.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.held[block]
		if !ok {
			return i * scheduler.BlockTokens
		}
		c.order.MoveToFront(element)
	}
	return len(blocks) * scheduler.BlockTokens
}

// store adds blocks and returns those that were evicted.
func (c *prefixCache) store(blocks []uint64) []uint64 {
	for _, block := range blocks {
		if element, ok := c.held[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.held[block] = c.order.PushFront(block)
	}
	var evicted []uint64
	for c.order.Len() > c.capacity {
		block := c.order.Remove(c.order.Back()).(uint64)
		delete(c.held, block)
		evicted = append(evicted, block)
	}
	return evicted
}
