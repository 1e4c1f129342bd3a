package enginesim

import (
	"container/list"
	"time"

	"github.com/reelrun/reelrun/engine"
)

// maxCacheEvents bounds the number of retained events. When there are more, only the
// newest maxCacheEvents/2 are kept.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt blocks; capacity is in blocks. Its events become
// visible after delay, and some are omitted. The engine's mutex guards it.
type prefixCache struct {
	capacity int
	delay    time.Duration
	// gapEvery omits each event whose sequence number is divisible by it; 0 omits none.
	gapEvery uint64

	order    *list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []cacheEvent
}

type cacheEvent struct {
	event     engine.CacheEvent
	visibleAt time.Time
}

func newPrefixCache(capacity int, delay time.Duration, gapEvery uint64) *prefixCache {
	return &prefixCache{
		capacity: capacity, delay: delay, gapEvery: gapEvery,
		order: list.New(), blocks: map[uint64]*list.Element{},
	}
}

// match returns the number of leading blocks that are cached, and marks them as
// recently used.
func (c *prefixCache) match(hashes []uint64) int {
	for i, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(hashes)
}

func (c *prefixCache) store(hashes []uint64, now time.Time) {
	for _, hash := range hashes {
		if element, ok := c.blocks[hash]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		c.publish(hash, false, now)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		hash := c.order.Remove(oldest).(uint64)
		delete(c.blocks, hash)
		c.publish(hash, true, now)
	}
}

func (c *prefixCache) publish(hash uint64, evicted bool, now time.Time) {
	c.sequence++
	if c.gapEvery > 0 && c.sequence%c.gapEvery == 0 {
		return
	}
	event := engine.CacheEvent{Sequence: c.sequence, Block: hash, Evicted: evicted}
	c.events = append(c.events, cacheEvent{event, now.Add(c.delay)})
	if len(c.events) > maxCacheEvents {
		c.events = append([]cacheEvent(nil), c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// visible returns the visible events with a higher sequence number than after.
func (c *prefixCache) visible(after uint64, now time.Time) []engine.CacheEvent {
	selected := []engine.CacheEvent{}
	for _, published := range c.events {
		if published.event.Sequence > after && !published.visibleAt.After(now) {
			selected = append(selected, published.event)
		}
	}
	return selected
}
