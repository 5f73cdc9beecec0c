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
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	near := slices.DeleteFunc(slices.Clone(controls), func(control Node) bool { return control.Zone != entry.Zone })
	if len(near) == 0 {
		near = controls
	}
	if len(near) == 0 {
		return ""
	}
	weight := func(control Node) uint64 { return xxhash.Sum64String(entry.Address + " " + control.Address) }
	return slices.MaxFunc(near, func(a, b Node) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a.Address, b.Address))
	}).Address
}

// Publisher is a control node's knowledge of the entry nodes that it sends
// versions to.
type Publisher struct {
	version uint64
	size    int
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

// InForce notes the version in force here and its size in bytes.
func (p *Publisher) InForce(version uint64, size int) {
	if version > p.version {
		p.version, p.size = version, size
	}
}

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

// Due tells whether the version in force is to be sent to an entry node now,
// and takes it for sent.
func (p *Publisher) Due(now time.Duration, address string) bool {
	state := p.followers[address]
	if state == nil || state.has >= p.version {
		return false
	}
	isNew := state.sent < p.version && (state.unconfirmed == 0 || state.unconfirmed+p.size <= maximumUnconfirmed)
	isOverdue := state.sends > 0 && now-state.sentAt >= patience(state.sends)
	if !isNew && !isOverdue {
		return false
	}
	state.sent, state.sentAt = p.version, now
	state.unconfirmed += p.size
	state.sends++
	return true
}

// patience is how long the last of several sends may be unconfirmed.
func patience(sends int) time.Duration {
	pause := firstPatience
	for range sends - 1 {
		if pause = 2 * pause; pause >= lastPatience {
			return lastPatience
		}
	}
	return pause
}

// Forget drops an entry node that is gone.
func (p *Publisher) Forget(address string) { delete(p.followers, address) }
