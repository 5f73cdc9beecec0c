package balance

import (
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/membership"
)

// A cold instance bears few requests a second from all nodes together, and falls over
// at well above that. The nodes share them without any talk: for each cold instance
// rendezvous hashing names as many senders as it bears requests a second, and each of
// them sends one a second at most. All others take the instance for absent. So the sum
// holds in each second whatever the nodes know of each other's requests, and where
// nodes disagree for a moment on who is there, only the few senders that differ add to it.

// coldInterval is the least time between two requests of one sender to a cold instance.
const coldInterval = time.Second

// ColdPolicy is what a service's instances bear while they are cold.
type ColdPolicy struct {
	// Rate is the requests a second that one instance bears from all nodes; 0 means
	// that being cold makes no difference.
	Rate float64
	// Time is how long an instance is cold after it started.
	Time time.Duration
}

// coldSenders tells which node may send to which cold instance.
type coldSenders struct {
	self string
	// nodes are all live entry nodes, this one included; none before they are known.
	nodes []string
	// ranks are this node's places among the senders of instances, from 0.
	ranks map[string]int
}

// SetEntryNodes tells the table who shares the instances: this node and the other
// live entry nodes. Before it is told, the node sends nothing to cold instances: all
// nodes may have just started together.
func (t *Table) SetEntryNodes(self string, others []EntryNode) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	nodes := []string{self}
	for _, other := range others {
		nodes = append(nodes, other.Address)
	}
	t.senders = coldSenders{self: self, nodes: nodes, ranks: map[string]int{}}
}

// isSender tells whether this node is one of an instance's senders.
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

// pace is the least time between two requests of one sender.
func (p ColdPolicy) pace() time.Duration {
	if p.Rate >= 1 {
		return coldInterval
	}
	return time.Duration(float64(time.Second) / p.Rate)
}

// isCold tells whether an instance is cold, by its own word or since its zone was
// restored: its instances were at rest, and their own word may come late.
func (m *member) isCold(now time.Duration, policy ColdPolicy) bool {
	if policy.Rate <= 0 {
		return false
	}
	return now < m.ColdUntil || m.isRestored && now < m.restoredAt+policy.Time
}

// bears tells whether a request of this node may go to an instance now, as far as
// its being cold matters.
func (t *Table) bears(now time.Duration, one *member, policy ColdPolicy) bool {
	if !one.isCold(now, policy) {
		return true
	}
	isPaced := one.wasSentCold && now-one.sentColdAt < policy.pace()
	return !isPaced && t.senders.isSender(one.ID, policy.Rate)
}

// noteSentCold notes that a request goes to a cold instance.
func (m *member) noteSentCold(now time.Duration, policy ColdPolicy) {
	if m.isCold(now, policy) {
		m.wasSentCold, m.sentColdAt = true, now
	}
}
