package follow

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sendWait is how long a version that was heard of may take to come without
	// a question: what its sender sent is about as old as the word of it.
	sendWait = 300 * time.Millisecond
	// firstPause is the time between the first question and the second; it
	// doubles with each up to lastPause. Each goes to another node.
	firstPause = 300 * time.Millisecond
	lastPause  = 1200 * time.Millisecond
	// wordAge is how old a node's word of its version may be: it is repeated each
	// 0.6 s.
	wordAge = 2500 * time.Millisecond
)

// source is a node that said which version it has.
type source struct {
	node    Node
	version uint64
	heardAt time.Duration
	// asked is how often it was asked since a version last came.
	asked int
}

// Follower is an entry node's way to the newest version.
type Follower struct {
	zone string
	have uint64
	// behindSince is when a version above the own one was first heard of.
	behindSince time.Duration
	isBehind    bool
	sources     map[string]*source
	// asks is the number of questions since a version last came, askedAt the time
	// of the last one.
	asks    int
	askedAt time.Duration
}

// NewFollower makes the follower of a node in a zone that has no version yet.
func NewFollower(zone string) *Follower { return &Follower{zone: zone, sources: map[string]*source{}} }

// Asks is the number of questions since a version last came.
func (f *Follower) Asks() int { return f.asks }

// Heard notes the version that a node says it has.
func (f *Follower) Heard(now time.Duration, from Node, version uint64) {
	known := f.sources[from.Address]
	if known == nil {
		known = &source{}
		f.sources[from.Address] = known
	}
	known.node, known.version, known.heardAt = from, version, now
	if version > f.have && !f.isBehind {
		f.isBehind, f.behindSince = true, now
	}
}

// Took notes that a version is in force here.
func (f *Follower) Took(now time.Duration, version uint64) {
	if version <= f.have {
		return
	}
	f.have, f.asks, f.isBehind = version, 0, false
	for address, known := range f.sources {
		known.asked = 0
		if now-known.heardAt > wordAge {
			delete(f.sources, address)
			continue
		}
		if known.version > version && !f.isBehind {
			f.isBehind, f.behindSince = true, now
		}
	}
}

// Next returns the node to be asked for its version now, or "" and the time
// until there may be one; 0 means that there is nothing to wait for.
func (f *Follower) Next(now time.Duration) (ask string, wait time.Duration) {
	if !f.isBehind {
		return "", 0
	}
	if left := f.dueAt() - now; left > 0 {
		return "", left
	}
	best := f.choose(now)
	if best == nil {
		// Whoever has it will say so again.
		return "", 0
	}
	best.asked++
	f.asks++
	f.askedAt = now
	return best.node.Address, 0
}

// dueAt is when the next question may go out. A node without any version asks
// at once.
func (f *Follower) dueAt() time.Duration {
	switch {
	case f.asks > 0:
		return f.askedAt + backoff(firstPause, lastPause, f.asks)
	case f.have == 0:
		return f.behindSince
	default:
		return f.behindSince + sendWait
	}
}

// choose returns the node to ask: of those who have a higher version one that
// was asked least, of the own zone if there is one.
func (f *Follower) choose(now time.Duration) *source {
	var candidates []*source
	for _, known := range f.sources {
		if known.version > f.have && now-known.heardAt <= wordAge {
			candidates = append(candidates, known)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	distance := func(one *source) int {
		if one.node.Zone == f.zone {
			return 0
		}
		return 1
	}
	return slices.MinFunc(candidates, func(a, b *source) int {
		return cmp.Or(cmp.Compare(a.asked, b.asked), cmp.Compare(distance(a), distance(b)),
			cmp.Compare(b.version, a.version), cmp.Compare(a.node.Address, b.node.Address))
	})
}
