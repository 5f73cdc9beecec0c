package ratelimit

import (
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/membership"
)

const (
	// TakeoverTime is how long a node must have been the holder in all that it knew before
	// it gives permits out: others learn within that time who is there, and what they
	// were granted elsewhere is used up.
	TakeoverTime = 3 * time.Second
	// AbsentMemory is how long a node that is not heard of counts as one that may still
	// use its part.
	AbsentMemory = 2 * time.Minute
	// viewsKept bounds the views of one zone's nodes that are compared.
	viewsKept = 64
)

// Node is an entry node.
type Node struct{ Address, Zone string }

// allZones stands for the nodes of all zones, who hold the limits of instances in whose
// zone no entry node was ever seen.
const allZones = ""

// view is who was live in a zone from a time on.
type view struct {
	since time.Duration
	nodes []string
}

// holders tells who holds the limits.
type holders struct {
	self string
	// views are those of each zone in the last TakeoverTime, the newest last.
	views map[string][]view
	// absent is when nodes that are not live any more were last seen, by zone.
	absent map[string]map[string]time.Duration
	// isSure tells that this node knows who is live, since sureSince.
	isSure    bool
	sureSince time.Duration
	// asked is when other nodes last asked this one for a permit.
	asked map[string]time.Duration
}

func newHolders(self string) holders {
	return holders{
		self: self, views: map[string][]view{}, absent: map[string]map[string]time.Duration{}, asked: map[string]time.Duration{},
	}
}

// SetNodes tells which entry nodes are live, this one included.
func (l *Limits) SetNodes(now time.Duration, nodes []Node) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	byZone := map[string][]string{allZones: nil}
	for _, node := range nodes {
		byZone[node.Zone] = append(byZone[node.Zone], node.Address)
		byZone[allZones] = append(byZone[allZones], node.Address)
	}
	for zone := range l.holders.views {
		if _, isLive := byZone[zone]; !isLive {
			byZone[zone] = nil
		}
	}
	for zone, live := range byZone {
		slices.Sort(live)
		l.holders.see(now, zone, live)
	}
}

// SetSure tells whether this node knows who is live: control nodes are heard, and they
// count this node in. One that is cut off from them can't tell whether the others count on
// it, or have taken its place.
func (l *Limits) SetSure(now time.Duration, isSure bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if isSure && !l.holders.isSure {
		l.holders.sureSince = now
	}
	l.holders.isSure = isSure
}

func (h *holders) see(now time.Duration, zone string, live []string) {
	views := h.views[zone]
	var before []string
	if len(views) > 0 {
		before = views[len(views)-1].nodes
		if slices.Equal(before, live) {
			return
		}
	}
	absent := h.absent[zone]
	if absent == nil {
		absent = map[string]time.Duration{}
		h.absent[zone] = absent
	}
	for _, node := range before {
		absent[node] = now
	}
	for _, node := range live {
		delete(absent, node)
	}
	for node, seen := range absent {
		if now-seen > AbsentMemory {
			delete(absent, node)
		}
	}
	for node, at := range h.asked {
		if now-at >= TakeoverTime {
			delete(h.asked, node)
		}
	}
	// A view that was replaced before the last TakeoverTime matters no more.
	for len(views) > 1 && (now-views[1].since >= TakeoverTime || len(views) >= viewsKept) {
		views = views[1:]
	}
	h.views[zone] = append(views, view{since: now, nodes: live})
}

// domain is the zone whose nodes hold the limits of an instance, "" if all do. It has none
// where the instance's zone had entry nodes of late and none is live: they may only be
// out of this node's reach.
func (h *holders) domain(now time.Duration, zone string) (domain string, hasAny bool) {
	if views := h.views[zone]; len(views) > 0 && len(views[len(views)-1].nodes) > 0 {
		return zone, true
	}
	for _, seen := range h.absent[zone] {
		if now-seen <= AbsentMemory {
			return zone, false
		}
	}
	return allZones, len(h.views[allZones]) > 0
}

// of returns the address of an instance's holder, "" if there is none.
func (h *holders) of(now time.Duration, instance, zone string) string {
	domain, hasAny := h.domain(now, zone)
	if !hasAny {
		return ""
	}
	views := h.views[domain]
	return membership.Highest(instance, views[len(views)-1].nodes)
}

// part is the part of an instance's rate that this node gives out, 0 if it is not the
// holder, or was not for long enough; then the wait tells when it may be.
func (h *holders) part(now time.Duration, instance, zone string) (part float64, wait time.Duration) {
	domain, hasAny := h.domain(now, zone)
	if !hasAny {
		return 0, 0
	}
	views := h.views[domain]
	if now-views[0].since < TakeoverTime {
		return 0, TakeoverTime - (now - views[0].since)
	}
	for position, one := range views {
		isOld := position+1 < len(views) && now-views[position+1].since >= TakeoverTime
		if isOld || membership.Highest(instance, one.nodes) == h.self {
			continue
		}
		if position+1 == len(views) {
			return 0, 0
		}
		return 0, TakeoverTime - (now - views[position+1].since)
	}
	known := views[len(views)-1].nodes
	live, all := len(known), len(known)
	for _, seen := range h.absent[domain] {
		if now-seen <= AbsentMemory {
			all++
		}
	}
	if !h.isSure || now-h.sureSince < TakeoverTime {
		// Others may have taken its place for the nodes that don't ask here.
		live = h.countAsking(now, known)
	}
	return float64(live) / float64(all), 0
}

// countAsking is how many of some nodes count on this one: itself, and those that asked it
// of late. A node asks one holder at a time.
func (h *holders) countAsking(now time.Duration, nodes []string) int {
	asking := 1
	for _, node := range nodes {
		if at, hasAsked := h.asked[node]; hasAsked && node != h.self && now-at < TakeoverTime {
			asking++
		}
	}
	return asking
}
