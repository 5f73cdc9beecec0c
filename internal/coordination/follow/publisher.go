// Package follow decides how a new version of the configuration comes to the
// entry nodes.
//
// Each entry node has one control node, of its own zone if there is one, that
// sends it each new version at once: a Publisher. All other control nodes only
// tell it which version they have. Where what was sent does not come, the entry
// node asks those who have it, one after the other: a Follower. So a version is
// on its way to a node once, not twice, and no single node that does not answer
// holds it up.
//
// Both are pure steps and not safe for concurrent use. Times are those of a
// steady clock.
package follow

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/membership"
)

const (
	// firstPatience is how long a sent version may be unconfirmed before it is
	// sent again; it doubles with each time, up to lastPatience. A link that is
	// full takes over a second each way.
	firstPatience = 1500 * time.Millisecond
	lastPatience  = 4 * time.Second
	// maximumUnconfirmed bounds the bytes on their way to one follower. One
	// document may be on its way whatever its size.
	maximumUnconfirmed = 32 << 10
)

// Node is a node as this one knows it.
type Node struct{ Address, Zone string }

// ChooseSender returns the control node that sends an entry node its versions:
// one of the entry node's zone, or any if there is none. All who know the same
// control nodes choose the same one, and the entry nodes' choices are spread.
func ChooseSender(entry Node, controls []Node) string {
	if senders := ChooseSenders(entry, controls, 1); len(senders) > 0 {
		return senders[0]
	}
	return ""
}

// ChooseSenders returns some control nodes for an entry node, the first choice first:
// those of its zone, then the others.
func ChooseSenders(entry Node, controls []Node, count int) []string {
	var near, far []string
	for _, control := range controls {
		if control.Zone == entry.Zone {
			near = append(near, control.Address)
			continue
		}
		far = append(far, control.Address)
	}
	senders := membership.Rank(entry.Address, near)
	if len(senders) < count {
		senders = append(senders, membership.Rank(entry.Address, far)...)
	}
	return senders[:min(count, len(senders))]
}

// backoff is the pause before the next of some tries: it doubles with each of
// them from the first to the last.
func backoff(first, last time.Duration, tries int) time.Duration {
	for range tries - 1 {
		if first >= last {
			break
		}
		first *= 2
	}
	return min(first, last)
}

// Publisher is a control node's knowledge of the entry nodes that it sends
// versions to.
type Publisher struct {
	// followers are the entry nodes by address.
	followers map[string]*followerState
}

// followerState is what is known of one entry node.
type followerState struct {
	// life is the run of its process: a new one holds nothing.
	life string
	// has is the version that it said it has, sent the highest sent since.
	has, sent uint64
	// unconfirmed are the bytes sent and not confirmed, sends how often something
	// was sent since the last confirmation, sentAt when last.
	unconfirmed int
	sends       int
	sentAt      time.Duration
}

// NewPublisher makes a publisher of nothing.
func NewPublisher() *Publisher { return &Publisher{followers: map[string]*followerState{}} }

// Has notes the version that an entry node says it has.
func (p *Publisher) Has(address, life string, version uint64) {
	state := p.followers[address]
	if state == nil || life != "" && state.life != life {
		state = &followerState{life: life}
		p.followers[address] = state
	}
	state.has = max(state.has, version)
	if state.has >= state.sent {
		state.unconfirmed, state.sends = 0, 0
	}
}

// Due tells whether the version in force, of a size in bytes, is to be sent to an
// entry node now, and takes it for sent.
func (p *Publisher) Due(now time.Duration, address string, version uint64, size int) bool {
	state := p.followers[address]
	if state == nil || state.has >= version {
		return false
	}
	isNew := state.sent < version && (state.unconfirmed == 0 || state.unconfirmed+size <= maximumUnconfirmed)
	isOverdue := state.sends > 0 && now-state.sentAt >= backoff(firstPatience, lastPatience, state.sends)
	if !isNew && !isOverdue {
		return false
	}
	state.sent, state.sentAt = version, now
	state.unconfirmed += size
	state.sends++
	return true
}

// Forget drops an entry node that is gone.
func (p *Publisher) Forget(address string) { delete(p.followers, address) }
