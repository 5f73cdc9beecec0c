package emulator

import (
	"container/list"
	"time"

	"github.com/ravenway/ravenway/internal/protocol/engine"
)

// maximumCacheEvents is the number of cache events that are kept for readers.
const maximumCacheEvents = 8192

// prefixCache is a bounded LRU cache of prompt blocks. It publishes insertions and evictions as
// events, which readers receive late and some of which are lost.
type prefixCache struct {
	options      EngineOptions
	order        *list.List
	blocks       map[uint64]*list.Element
	events       []timedEvent
	nextSequence uint64
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

func newPrefixCache(options EngineOptions) *prefixCache {
	return &prefixCache{options: options, order: list.New(), blocks: map[uint64]*list.Element{}, nextSequence: 1}
}

func (c *prefixCache) length() int { return c.order.Len() }

// lookupAndInsert returns how many leading blocks of a prompt are cached, and caches all of its
// blocks.
func (c *prefixCache) lookupAndInsert(prompt string) uint64 {
	var hits uint64
	missed := false
	for _, block := range engine.PrefixBlocks(prompt) {
		if element, found := c.blocks[block]; found {
			c.order.MoveToFront(element)
			if !missed {
				hits++
			}
			continue
		}
		missed = true
		c.insert(block)
	}
	return hits
}

func (c *prefixCache) insert(block uint64) {
	c.blocks[block] = c.order.PushFront(block)
	c.publish(engine.CacheEvent{Block: block})
	for c.order.Len() > c.options.CacheBlocks {
		oldest := c.order.Back()
		evicted := c.order.Remove(oldest).(uint64)
		delete(c.blocks, evicted)
		c.publish(engine.CacheEvent{Block: evicted, Evicted: true})
	}
}

func (c *prefixCache) publish(event engine.CacheEvent) {
	event.Sequence = c.nextSequence
	c.nextSequence++
	if c.options.EventGap > 0 && event.Sequence%c.options.EventGap == 0 {
		return
	}
	c.events = append(c.events, timedEvent{at: time.Now(), event: event})
	if len(c.events) > maximumCacheEvents {
		c.events = c.events[len(c.events)-maximumCacheEvents:]
	}
}

// eventsSince returns the events from a sequence number on that are older than the event lag.
func (c *prefixCache) eventsSince(from uint64) engine.CacheEvents {
	page := engine.CacheEvents{Next: from}
	limit := time.Now().Add(-c.options.EventLag)
	for _, one := range c.events {
		if one.event.Sequence < from || one.at.After(limit) {
			continue
		}
		page.Events = append(page.Events, one.event)
		page.Next = one.event.Sequence + 1
	}
	return page
}

// cachedBlocks returns a prompt's leading blocks that are in the cache.
func (c *prefixCache) cachedBlocks(prompt string) []uint64 {
	var blocks []uint64
	for _, block := range engine.PrefixBlocks(prompt) {
		if _, found := c.blocks[block]; !found {
			break
		}
		blocks = append(blocks, block)
	}
	return blocks
}
