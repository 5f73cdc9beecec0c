package routing

// maximumIndexedBlocks bounds the prefix index; the oldest blocks are removed first.
const maximumIndexedBlocks = 1 << 18

// CacheEvent reports that a prompt block entered or left a back end's cache.
type CacheEvent struct {
	// Sequence numbers the events of a back end without gaps.
	Sequence uint64
	Block    uint64
	Evicted  bool
}

// cacheCursor is the position in a back end's cache events; next is the sequence of the next event.
type cacheCursor struct {
	next uint64
}

// prefixIndex records which back ends are expected to have which prompt blocks cached, according to
// this node's own dispatches and to cache events.
type prefixIndex struct {
	// holders holds, for each block, the names of the back ends that have it cached.
	holders map[uint64]map[string]struct{}
	// byBackend holds each back end's blocks, for the removal of all of them.
	byBackend map[string]map[uint64]struct{}
	// order is a ring buffer of the blocks, oldest at first.
	order []uint64
	first int
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: map[uint64]map[string]struct{}{}, byBackend: map[string]map[uint64]struct{}{}}
}

func (p *prefixIndex) add(backend string, blocks []uint64) {
	own := p.byBackend[backend]
	if own == nil {
		own = map[uint64]struct{}{}
		p.byBackend[backend] = own
	}
	for _, block := range blocks {
		if _, known := own[block]; known {
			continue
		}
		own[block] = struct{}{}
		if p.holders[block] == nil {
			p.holders[block] = map[string]struct{}{}
			p.recordBlock(block)
		}
		p.holders[block][backend] = struct{}{}
	}
}

func (p *prefixIndex) recordBlock(block uint64) {
	if len(p.order) < maximumIndexedBlocks {
		p.order = append(p.order, block)
		return
	}
	p.dropBlock(p.order[p.first])
	p.order[p.first] = block
	p.first = (p.first + 1) % len(p.order)
}

func (p *prefixIndex) dropBlock(block uint64) {
	for backend := range p.holders[block] {
		delete(p.byBackend[backend], block)
	}
	delete(p.holders, block)
}

func (p *prefixIndex) remove(backend string, block uint64) {
	delete(p.byBackend[backend], block)
	delete(p.holders[block], backend)
}

func (p *prefixIndex) removeBackend(backend string) {
	for block := range p.byBackend[backend] {
		delete(p.holders[block], backend)
	}
	delete(p.byBackend, backend)
}

// longestMatches returns, for each back end with a cached prefix, the number of leading blocks that
// it has cached.
func (p *prefixIndex) longestMatches(blocks []uint64) map[string]int {
	if len(blocks) == 0 {
		return nil
	}
	matches := map[string]int{}
	for position, block := range blocks {
		found := false
		for backend := range p.holders[block] {
			if matches[backend] == position {
				matches[backend] = position + 1
				found = true
			}
		}
		if !found {
			break
		}
	}
	return matches
}

// ApplyCacheEvents applies a back end's cache events. A gap in the sequence means that events were
// lost. What is known of the back end's cache is then unreliable and is dropped.
func (t *Table) ApplyCacheEvents(name string, events []CacheEvent) {
	state := t.backends[name]
	if state == nil {
		return
	}
	for _, event := range events {
		if event.Sequence < state.cache.next {
			continue
		}
		if event.Sequence > state.cache.next && state.cache.next != 0 {
			t.prefixes.removeBackend(name)
		}
		state.cache.next = event.Sequence + 1
		if event.Evicted {
			t.prefixes.remove(name, event.Block)
		} else {
			t.prefixes.add(name, []uint64{event.Block})
		}
	}
}

// NextCacheEvent returns the sequence number of the first cache event that this node has not yet
// received from a back end.
func (t *Table) NextCacheEvent(name string) uint64 {
	if state := t.backends[name]; state != nil {
		return max(1, state.cache.next)
	}
	return 1
}
