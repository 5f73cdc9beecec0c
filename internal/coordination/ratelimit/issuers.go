package ratelimit

import (
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/membership"
)

const (
	// TakeoverTime is how long a node must have been the issuer in all its views before it
	// grants permits. Within that time other nodes learn which nodes are live, and the permits
	// that they were granted by an earlier issuer are used up.
	TakeoverTime = 3 * time.Second
	// AbsentRetention is how long a node counts as one that may still use its share of the rate
	// after it was last live.
	AbsentRetention = 2 * time.Minute
	// maximumViews bounds the number of views that are kept of one zone.
	maximumViews = 64
)

// Node is an entry node.
type Node struct{ Address, Zone string }

// allZones stands for the nodes of all zones. They issue the permits of instances in whose zone
// no entry node was seen recently.
const allZones = ""

// view is the set of nodes that were live in a zone from a time on.
type view struct {
	since time.Duration
	nodes []string
}

// issuers determines which node is the issuer of an instance's permits.
type issuers struct {
	self string
	// views are the views of each zone within the last TakeoverTime, the newest last.
	views map[string][]view
	// absent is when nodes that are no longer live were last seen, by zone and address.
	absent map[string]map[string]time.Duration
	// isReliable reports whether this node reliably knows which nodes are live, since reliableSince.
	isReliable    bool
	reliableSince time.Duration
	// requestedAt is when each node last requested a permit from this one, by address.
	requestedAt map[string]time.Duration
}

func newIssuers(self string) issuers {
	return issuers{
		self: self, views: map[string][]view{}, absent: map[string]map[string]time.Duration{}, requestedAt: map[string]time.Duration{},
	}
}

// SetNodes sets the live entry nodes, including this one.
func (l *Limits) SetNodes(now time.Duration, nodes []Node) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	byZone := map[string][]string{allZones: nil}
	for _, node := range nodes {
		byZone[node.Zone] = append(byZone[node.Zone], node.Address)
		byZone[allZones] = append(byZone[allZones], node.Address)
	}
	for zone := range l.issuers.views {
		if _, isLive := byZone[zone]; !isLive {
			byZone[zone] = nil
		}
	}
	for zone, live := range byZone {
		slices.Sort(live)
		l.issuers.addView(now, zone, live)
	}
}

// SetReliable sets whether this node reliably knows which nodes are live: it is in contact with
// control nodes, and they list it as live. A node that is partitioned from them can't tell
// whether the others still use it as the issuer or have replaced it.
func (l *Limits) SetReliable(now time.Duration, isReliable bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if isReliable && !l.issuers.isReliable {
		l.issuers.reliableSince = now
	}
	l.issuers.isReliable = isReliable
}

func (i *issuers) addView(now time.Duration, zone string, live []string) {
	views := i.views[zone]
	var before []string
	if len(views) > 0 {
		before = views[len(views)-1].nodes
		if slices.Equal(before, live) {
			return
		}
	}
	absent := i.absent[zone]
	if absent == nil {
		absent = map[string]time.Duration{}
		i.absent[zone] = absent
	}
	for _, node := range before {
		absent[node] = now
	}
	for _, node := range live {
		delete(absent, node)
	}
	for node, seen := range absent {
		if now-seen > AbsentRetention {
			delete(absent, node)
		}
	}
	for node, at := range i.requestedAt {
		if now-at >= TakeoverTime {
			delete(i.requestedAt, node)
		}
	}
	// A view that was replaced more than TakeoverTime ago has no effect any more.
	for len(views) > 1 && (now-views[1].since >= TakeoverTime || len(views) >= maximumViews) {
		views = views[1:]
	}
	i.views[zone] = append(views, view{since: now, nodes: live})
}

// domain returns the zone whose nodes issue the permits of an instance, allZones if the nodes
// of all zones do. hasAny is false if no node may: the instance's zone had entry nodes recently
// but none is live, so they may only be unreachable from this node.
func (i *issuers) domain(now time.Duration, zone string) (domain string, hasAny bool) {
	if views := i.views[zone]; len(views) > 0 && len(views[len(views)-1].nodes) > 0 {
		return zone, true
	}
	for _, seen := range i.absent[zone] {
		if now-seen <= AbsentRetention {
			return zone, false
		}
	}
	return allZones, len(i.views[allZones]) > 0
}

// of returns the address of an instance's issuer, "" if there is none.
func (i *issuers) of(now time.Duration, instance, zone string) string {
	domain, hasAny := i.domain(now, zone)
	if !hasAny {
		return ""
	}
	views := i.views[domain]
	return membership.Highest(instance, views[len(views)-1].nodes)
}

// share returns the fraction of an instance's rate that this node grants. It is 0 if the node is
// not the issuer, or has not been the issuer for TakeoverTime; in the latter case wait is the time
// until it may grant permits.
func (i *issuers) share(now time.Duration, instance, zone string) (share float64, wait time.Duration) {
	domain, hasAny := i.domain(now, zone)
	if !hasAny {
		return 0, 0
	}
	views := i.views[domain]
	if now-views[0].since < TakeoverTime {
		return 0, TakeoverTime - (now - views[0].since)
	}
	for position, one := range views {
		isOld := position+1 < len(views) && now-views[position+1].since >= TakeoverTime
		if isOld || membership.Highest(instance, one.nodes) == i.self {
			continue
		}
		if position+1 == len(views) {
			return 0, 0
		}
		return 0, TakeoverTime - (now - views[position+1].since)
	}
	known := views[len(views)-1].nodes
	live, all := len(known), len(known)
	for _, seen := range i.absent[domain] {
		if now-seen <= AbsentRetention {
			all++
		}
	}
	if !i.isReliable || now-i.reliableSince < TakeoverTime {
		// Another node may be the issuer for the nodes that request no permits here.
		live = i.countRequesting(now, known)
	}
	return float64(live) / float64(all), 0
}

// countRequesting returns how many of some nodes use this one as the issuer: itself and those that
// requested a permit from it within the last TakeoverTime. A node uses one issuer at a time.
func (i *issuers) countRequesting(now time.Duration, nodes []string) int {
	requesting := 1
	for _, node := range nodes {
		if at, hasRequested := i.requestedAt[node]; hasRequested && node != i.self && now-at < TakeoverTime {
			requesting++
		}
	}
	return requesting
}
