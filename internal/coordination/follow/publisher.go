// Package follow decides how a new version of the configuration is distributed to the entry
// nodes.
//
// Each entry node has one control node, of its own zone if there is one, that sends it each new
// version immediately (Publisher). All other control nodes only announce which version they
// have. If a version that was sent does not arrive, the entry node requests it from the nodes
// that have it, one after the other (Follower). A version is thus sent to a node once, not
// twice, and no single node that does not respond delays it.
//
// Publisher and Follower perform no I/O, read no clock and are not safe for concurrent use.
// Times are those of a monotonic clock.
package follow

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/membership"
)

const (
	// initialResendInterval is how long a sent version may be unconfirmed before it is sent again. The
	// time doubles each time that it is sent, up to maximumResendInterval. A full link takes over a
	// second in each direction.
	initialResendInterval = 1500 * time.Millisecond
	maximumResendInterval = 4 * time.Second
	// maximumUnconfirmed bounds the bytes in flight to one follower. A single document may be in
	// flight regardless of its size.
	maximumUnconfirmed = 32 << 10
)

// Node is the address and zone of a node.
type Node struct{ Address, Zone string }

// ChooseSender returns the address of the control node that sends an entry node its versions:
// one of the entry node's zone, or any other if that has none, or "" without control nodes. All
// nodes that know the same control nodes choose the same one, and the choices of the entry
// nodes are spread over the control nodes.
func ChooseSender(entry Node, controls []Node) string {
	if senders := ChooseSenders(entry, controls, 1); len(senders) > 0 {
		return senders[0]
	}
	return ""
}

// ChooseSenders returns the addresses of up to count control nodes for an entry node in order of
// preference: those of its zone, then the others.
func ChooseSenders(entry Node, controls []Node, count int) []string {
	var sameZone, remote []string
	for _, control := range controls {
		if control.Zone == entry.Zone {
			sameZone = append(sameZone, control.Address)
			continue
		}
		remote = append(remote, control.Address)
	}
	senders := membership.Rank(entry.Address, sameZone)
	if len(senders) < count {
		senders = append(senders, membership.Rank(entry.Address, remote)...)
	}
	return senders[:min(count, len(senders))]
}

// backoff returns the delay after a number of tries: it doubles with each try, from initial up to
// maximum.
func backoff(initial, maximum time.Duration, tries int) time.Duration {
	for range tries - 1 {
		if initial >= maximum {
			break
		}
		initial *= 2
	}
	return min(initial, maximum)
}

// Publisher keeps a control node's knowledge of the entry nodes to which it sends versions.
type Publisher struct {
	// followers is the state of each entry node, by address.
	followers map[string]*followerState
}

// followerState is the state of one entry node.
type followerState struct {
	// incarnation is the incarnation of the entry node: a new one has no version.
	incarnation string
	// confirmed is the version that the entry node confirmed, sent the highest version sent to it.
	confirmed, sent uint64
	// unconfirmed is the number of bytes sent and not confirmed, sendCount how often a version
	// was sent since the last confirmation, and sentAt when the last one was sent.
	unconfirmed int
	sendCount   int
	sentAt      time.Duration
}

// NewPublisher returns a publisher without followers.
func NewPublisher() *Publisher { return &Publisher{followers: map[string]*followerState{}} }

// RecordVersion records the version that an entry node reported to have. With an empty
// incarnation the known one stays.
func (p *Publisher) RecordVersion(address, incarnation string, version uint64) {
	state := p.followers[address]
	if state == nil || incarnation != "" && state.incarnation != incarnation {
		state = &followerState{incarnation: incarnation}
		p.followers[address] = state
	}
	state.confirmed = max(state.confirmed, version)
	if state.confirmed >= state.sent {
		state.unconfirmed, state.sendCount = 0, 0
	}
}

// TakeDue reports whether the version in effect, with a size in bytes, is to be sent to an entry
// node now. If so it records the version as sent.
func (p *Publisher) TakeDue(now time.Duration, address string, version uint64, size int) bool {
	state := p.followers[address]
	if state == nil || state.confirmed >= version {
		return false
	}
	isNew := state.sent < version && (state.unconfirmed == 0 || state.unconfirmed+size <= maximumUnconfirmed)
	isOverdue := state.sendCount > 0 && now-state.sentAt >= backoff(initialResendInterval, maximumResendInterval, state.sendCount)
	if !isNew && !isOverdue {
		return false
	}
	state.sent, state.sentAt = version, now
	state.unconfirmed += size
	state.sendCount++
	return true
}

// Forget drops the state of an entry node that is gone.
func (p *Publisher) Forget(address string) { delete(p.followers, address) }
