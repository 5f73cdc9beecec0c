// Package balance chooses the instance that a request goes to.
//
// A request with a prompt goes where its first token is expected soonest: at
// each instance the prompt tokens that are yet to be read before it, as far as
// this node knows them, and those of its own that the instance does not hold.
// Nodes agree without any talk on where a shared prompt part lives: rendezvous
// hashing of the part over the instances names its home. Bytes to another zone
// count as some tokens. Requests without a prompt go to the least busy
// instance, the node's own zone first. Health is the node's own experience.
package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/state/evacuation"
)

// member is what this node knows of one life of an instance.
type member struct {
	registry.Instance
	inFlight int
	// pending are the prompt tokens of this node's requests that the instance
	// has yet to read.
	pending int
	key     InstanceKey
	// held is when each part was last sent here by this node, or by another one
	// that told of it.
	held map[PartKey]time.Duration
	// failures is the smoothed rate of failed requests.
	failures float64
	// pause is the current pause after failures to connect, until its end.
	pause       time.Duration
	pausedUntil time.Duration
	probedAt    time.Duration
	// replaced tells that the instance is gone for good, though the registry
	// may not know yet.
	replaced bool
	// isOffered tells that it is among its service's members that take new work.
	isOffered bool
	// hasEnded tells that the registry knows it to have ended; it is forgotten once no
	// request is at it.
	hasEnded bool
	// restoredAt is when its zone was last restored, if isRestored is set.
	restoredAt time.Duration
	isRestored bool
	// sentColdAt is when this node last sent it a request while it was cold, if
	// wasSentCold is set.
	sentColdAt  time.Duration
	wasSentCold bool
	// permitTokens is what the permit that a request needs counts for, as it was weighed
	// for the choice that is being made.
	permitTokens float64
}

// Table is safe for concurrent use. Times are those of a steady clock.
type Table struct {
	zone    string
	mutex   sync.Mutex
	members map[string]*member
	// byService are the members that take new work.
	byService map[string][]*member
	zones     map[string]*zoneState
	// regionOfZone is the region in which each zone stands, where that is known.
	regionOfZone map[string]string
	// speeds are how fast the services' instances were seen to read.
	speeds map[string]*readSpeed
	// spilled are the parts sent elsewhere than to their homes and not told yet.
	spilled []HeldPart
	// others are the loads of the other nodes; nil means that they are not heard.
	others Loads
	// evacuated are the zones whose instances get nothing new.
	evacuated evacuation.Zones
	// rollouts are the services' versions that replace others, by service.
	rollouts map[string]*serviceRollout
	// senders tells which cold instances this node may send to.
	senders coldSenders
	// over are the latest lives that newer ones have replaced.
	over []overLife
	// limits are the limits that instances in need name; nil means that none does.
	limits *ratelimit.Limits
	// backoff are the pauses that instances asked this node for; nil means that none did.
	backoff *backoff.Tracker
	// random draws a number from 0 to below 1.
	random func() float64
}

// NewTable makes a table for a node in a zone.
func NewTable(zone string) *Table {
	return &Table{
		zone: zone, members: map[string]*member{}, byService: map[string][]*member{}, zones: map[string]*zoneState{},
		speeds: map[string]*readSpeed{}, random: rand.Float64,
	}
}

// SetRandom replaces the source of random numbers from 0 to below 1, before the first use.
func (t *Table) SetRandom(random func() float64) { t.random = random }

// Apply takes changes of the registry. It returns the instances whose lives newer ones
// have replaced: nothing that was known of them holds any more.
func (t *Table) Apply(changes []registry.Instance) (replaced []registry.Instance) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, instance := range changes {
		known := t.members[instance.ID]
		if known != nil && known.Life() != instance.Life() {
			replaced = append(replaced, known.Instance)
			t.noteOver(known)
			t.forget(known)
			known = nil
		}
		if instance.HasEnded() {
			t.end(known)
			continue
		}
		t.take(known, instance)
	}
	if len(t.rollouts) > 0 {
		t.chooseCanaries()
	}
	return replaced
}

// take notes a live instance's state.
func (t *Table) take(known *member, instance registry.Instance) {
	if known == nil {
		known = &member{key: KeyOf(instance.Life()), held: map[PartKey]time.Duration{}}
		t.members[instance.ID] = known
	}
	wasOffered := known.isOffered
	if wasOffered && (known.Service != instance.Service || !instance.TakesWork()) {
		t.withdraw(known)
		wasOffered = false
	}
	known.Instance, known.hasEnded = instance, false
	if !wasOffered && instance.TakesWork() && !known.replaced {
		t.offer(known)
	}
}

// end notes that an instance has ended; nil is one that was never known.
func (t *Table) end(known *member) {
	if known == nil {
		return
	}
	t.withdraw(known)
	known.hasEnded = true
	if known.inFlight == 0 {
		delete(t.members, known.ID)
	}
}

func (t *Table) forget(known *member) {
	t.withdraw(known)
	delete(t.members, known.ID)
}

// offer lets new work go to an instance; withdraw ends that. A service's instances are in
// order, so that all nodes see them alike.
func (t *Table) offer(one *member) {
	members := t.byService[one.Service]
	place, _ := slices.BinarySearchFunc(members, one.ID, compareID)
	t.byService[one.Service] = slices.Insert(members, place, one)
	one.isOffered = true
}

func (t *Table) withdraw(one *member) {
	if !one.isOffered {
		return
	}
	members := t.byService[one.Service]
	if place, found := slices.BinarySearchFunc(members, one.ID, compareID); found {
		t.byService[one.Service] = slices.Delete(members, place, place+1)
	}
	one.isOffered = false
}

func compareID(one *member, id string) int { return cmp.Compare(one.ID, id) }

// Instance returns what is known of a life; false if it is over or was never heard of.
func (t *Table) Instance(life registry.Life) (registry.Instance, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.member(life)
	if known == nil {
		return registry.Instance{}, false
	}
	return known.Instance, true
}

// HasZone tells whether an instance stands in a zone.
func (t *Table) HasZone(zone string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, one := range t.members {
		if one.Zone == zone {
			return true
		}
	}
	return false
}

// Size returns the number of instances of a service that take new work.
func (t *Table) Size(service string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.byService[service])
}

// InFlight is the number of this node's requests under way at a life of an instance.
func (t *Table) InFlight(life registry.Life) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.member(life); known != nil {
		return known.inFlight
	}
	return 0
}

// OwnLoads are this node's requests under way.
func (t *Table) OwnLoads() Loads {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	loads := Loads{}
	for _, one := range t.members {
		if one.inFlight > 0 {
			loads[one.key] = Load{Tokens: one.pending, Requests: one.inFlight}
		}
	}
	return loads
}

// SetOthersLoads replaces what the other nodes have under way; nil means that
// it is not known.
func (t *Table) SetOthersLoads(others Loads) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.others = others
}

// SetEvacuated replaces the zones whose instances get nothing new. What they have
// under way ends there; those of a zone that is restored are taken for cold.
func (t *Table) SetEvacuated(now time.Duration, zones evacuation.Zones) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, one := range t.members {
		if t.evacuated.Contains(one.Zone) && !zones.Contains(one.Zone) {
			one.restoredAt, one.isRestored = now, true
		}
	}
	t.evacuated = zones
}
