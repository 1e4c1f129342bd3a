package enginesim

import (
	"container/list"
	"time"

	"github.com/reelrun/reelrun/engine"
)

// maxCacheEvents bounds the events that are kept for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU of prompt blocks. Its events become visible late, and
// some never do. The engine's lock guards it.
type prefixCache struct {
	capacity int
	delay    time.Duration
	// gapEvery hides each event with a sequence number divisible by it.
	gapEvery uint64

	order    *list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []cacheEvent
}

type cacheEvent struct {
	event   engine.CacheEvent
	visible time.Time
}

func newPrefixCache(capacity int, delay time.Duration, gapEvery uint64) *prefixCache {
	return &prefixCache{
		capacity: capacity, delay: delay, gapEvery: gapEvery,
		order: list.New(), blocks: map[uint64]*list.Element{},
	}
}

// match returns how many leading blocks are cached, and refreshes them.
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

func (c *prefixCache) visible(after uint64, now time.Time) []engine.CacheEvent {
	selected := []engine.CacheEvent{}
	for _, recorded := range c.events {
		if recorded.event.Sequence > after && !recorded.visible.After(now) {
			selected = append(selected, recorded.event)
		}
	}
	return selected
}
