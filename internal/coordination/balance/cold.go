package balance

import (
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/membership"
)

// A cold instance has just started or was idle. It supports only a few requests per second from all
// nodes together, and fails well above that. The nodes share this rate without communicating:
// rendezvous hashing selects, for each cold instance, as many sender nodes as it supports requests
// per second, and each sender sends at most one request per second. All other nodes treat the
// instance as absent. The total rate is therefore bounded regardless of what the nodes know of each
// other's requests. While nodes disagree on the set of live nodes, only the few senders in which
// they differ add to it.

// coldInterval is the minimum time between two requests of one sender to a cold instance that
// supports at least one request per second.
const coldInterval = time.Second

// ColdPolicy limits the requests to a service's instances while they are cold.
type ColdPolicy struct {
	// Rate is the number of requests per second that one cold instance supports from all nodes
	// together; 0 means no limit.
	Rate float64
	// Time is how long an instance is cold after it started or its zone was restored.
	Time time.Duration
}

// coldSenders determines which cold instances this node may send to.
type coldSenders struct {
	self string
	// nodes are the addresses of all live entry nodes, including this one; empty until they are
	// known.
	nodes []string
	// ranks caches, by instance ID, this node's rank, from 0, in the order in which rendezvous hashing
	// selects the instance's senders from the nodes.
	ranks map[string]int
}

// SetEntryNodes sets the entry nodes that share the instances: this node and the other live ones.
// Until it is called, the node sends nothing to cold instances, because all nodes may have just
// started together.
func (t *Table) SetEntryNodes(self string, others []EntryNode) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	nodes := []string{self}
	for _, other := range others {
		nodes = append(nodes, other.Address)
	}
	t.senders = coldSenders{self: self, nodes: nodes, ranks: map[string]int{}}
}

// isSender reports whether this node is one of an instance's senders.
func (s *coldSenders) isSender(instance string, rate float64) bool {
	if len(s.nodes) == 0 {
		return false
	}
	rank, known := s.ranks[instance]
	if !known {
		rank = slices.Index(membership.Rank(instance, s.nodes), s.self)
		s.ranks[instance] = rank
	}
	return rank < max(1, int(rate))
}

// requestInterval returns the minimum time between two requests of one sender to a cold instance.
func (p ColdPolicy) requestInterval() time.Duration {
	if p.Rate >= 1 {
		return coldInterval
	}
	return time.Duration(float64(time.Second) / p.Rate)
}

// isCold reports whether an instance is cold, either by its own report or because its zone was
// restored recently. The instances of an evacuated zone were idle, and their own reports may come
// late.
func (m *member) isCold(now time.Duration, policy ColdPolicy) bool {
	if policy.Rate <= 0 {
		return false
	}
	return now < m.ColdUntil || m.isRestored && now < m.restoredAt+policy.Time
}

// acceptsWhileCold reports whether an instance is not cold, or this node may send it a request now
// although it is.
func (t *Table) acceptsWhileCold(now time.Duration, one *member, policy ColdPolicy) bool {
	if !one.isCold(now, policy) {
		return true
	}
	isPaced := one.hasColdRequest && now-one.coldRequestAt < policy.requestInterval()
	return !isPaced && t.senders.isSender(one.ID, policy.Rate)
}

// noteColdRequest records the time of a request if the instance is cold.
func (m *member) noteColdRequest(now time.Duration, policy ColdPolicy) {
	if m.isCold(now, policy) {
		m.hasColdRequest, m.coldRequestAt = true, now
	}
}
