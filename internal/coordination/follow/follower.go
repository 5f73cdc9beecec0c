package follow

import (
	"cmp"
	"slices"
	"time"
)

const (
	// deliveryWait is how long an announced version may take to arrive before it is requested: its
	// sender sends it at about the same time as the announcement arrives.
	deliveryWait = 300 * time.Millisecond
	// initialRequestInterval is the time between the first and the second request for a version. It doubles
	// with each request, up to maximumRequestInterval. Each request goes to another node if there
	// is one.
	initialRequestInterval = 300 * time.Millisecond
	maximumRequestInterval = 1200 * time.Millisecond
	// maximumAnnouncementAge is the maximum age of a node's announcement of its version.
	// Announcements are repeated every 0.6 s.
	maximumAnnouncementAge = 2500 * time.Millisecond
)

// source is a node that announced which version it has.
type source struct {
	node        Node
	version     uint64
	announcedAt time.Duration
	// requests is the number of requests to the node since a version was last applied.
	requests int
}

// Follower decides when an entry node requests the newest version, and from which node.
type Follower struct {
	zone       string
	ownVersion uint64
	// behindSince is when a version above the own one was first announced.
	behindSince time.Duration
	isBehind    bool
	sources     map[string]*source
	// requestCount is the number of requests since a version was last applied, requestedAt the
	// time of the last one.
	requestCount int
	requestedAt  time.Duration
}

// NewFollower returns the follower of a node in a zone that has no version yet.
func NewFollower(zone string) *Follower { return &Follower{zone: zone, sources: map[string]*source{}} }

// RequestCount returns the number of requests since a version was last applied.
func (f *Follower) RequestCount() int { return f.requestCount }

// RecordAnnouncement records the version that a node announces.
func (f *Follower) RecordAnnouncement(now time.Duration, from Node, version uint64) {
	known := f.sources[from.Address]
	if known == nil {
		known = &source{}
		f.sources[from.Address] = known
	}
	known.node, known.version, known.announcedAt = from, version, now
	if version > f.ownVersion && !f.isBehind {
		f.isBehind, f.behindSince = true, now
	}
}

// RecordApplied records that a version is in effect here.
func (f *Follower) RecordApplied(now time.Duration, version uint64) {
	if version <= f.ownVersion {
		return
	}
	f.ownVersion, f.requestCount, f.isBehind = version, 0, false
	for address, known := range f.sources {
		known.requests = 0
		if now-known.announcedAt > maximumAnnouncementAge {
			delete(f.sources, address)
			continue
		}
		if known.version > version && !f.isBehind {
			f.isBehind, f.behindSince = true, now
		}
	}
}

// Next returns the address of the node from which to request its version now, and records the
// request. Otherwise it returns "" and the time until a request may be due; 0 means that none is
// pending.
func (f *Follower) Next(now time.Duration) (address string, wait time.Duration) {
	if !f.isBehind {
		return "", 0
	}
	if remaining := f.dueAt() - now; remaining > 0 {
		return "", remaining
	}
	best := f.choose(now)
	if best == nil {
		// A node that has the version will announce it again.
		return "", 0
	}
	best.requests++
	f.requestCount++
	f.requestedAt = now
	return best.node.Address, 0
}

// dueAt returns when the next request may be sent. A node without any version sends its first
// request immediately.
func (f *Follower) dueAt() time.Duration {
	switch {
	case f.requestCount > 0:
		return f.requestedAt + backoff(initialRequestInterval, maximumRequestInterval, f.requestCount)
	case f.ownVersion == 0:
		return f.behindSince
	default:
		return f.behindSince + deliveryWait
	}
}

// choose returns the node to which the next request goes: among those with a higher version one
// with the fewest requests so far, preferably of the same zone.
func (f *Follower) choose(now time.Duration) *source {
	var candidates []*source
	for _, known := range f.sources {
		if known.version > f.ownVersion && now-known.announcedAt <= maximumAnnouncementAge {
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
		return cmp.Or(cmp.Compare(a.requests, b.requests), cmp.Compare(distance(a), distance(b)),
			cmp.Compare(b.version, a.version), cmp.Compare(a.node.Address, b.node.Address))
	})
}
