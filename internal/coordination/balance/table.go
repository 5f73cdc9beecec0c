// Package balance chooses the instance that a request goes to.
//
// A request with a prompt goes to the instance at which its first token is expected earliest. The
// expected time is measured in prompt tokens: those of other requests that the instance has yet to
// read first, as far as this node knows them, and those of the request itself that the instance
// does not hold. All nodes agree without communicating on which instance holds a shared prompt part:
// rendezvous hashing of the part over the instances selects its home. Bytes sent to another zone are
// converted to tokens. Requests without a prompt part go to the least loaded instance, with a
// preference for the node's own zone. Health is judged from the node's own attempts only.
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
	"github.com/ravenway/ravenway/internal/coordination/slotlease"
	"github.com/ravenway/ravenway/internal/state/evacuation"
)

// member is this node's state of one incarnation of an instance.
type member struct {
	registry.Instance
	inFlight int
	// pendingTokens is the number of prompt tokens of this node's requests that the instance has
	// yet to read.
	pendingTokens int
	// backlog is what the instance's coordinator told.
	backlog backlog
	key     InstanceKey
	// heldParts is when each part was last sent here by this node, or reported as sent here by
	// another one.
	heldParts map[PartKey]time.Duration
	// failureRate is the smoothed rate of failed requests, from 0 to 1.
	failureRate float64
	// connectBackoff is the current backoff after failures to connect, and avoidedUntil its end.
	connectBackoff time.Duration
	avoidedUntil   time.Duration
	// probedAt is when it last counted as healthy for a probe although its failure rate was too high.
	probedAt time.Duration
	// isReplaced reports whether the instance is permanently gone, though the registry may not know
	// yet.
	isReplaced bool
	// isOffered reports whether it is among its service's members that accept new work.
	isOffered bool
	// hasEnded reports whether the registry lists it as ended. It is removed once no request is in
	// flight there.
	hasEnded bool
	// restoredAt is when its zone was last restored, if isRestored is set.
	restoredAt time.Duration
	isRestored bool
	// coldRequestAt is when this node last sent it a request while it was cold, if
	// hasColdRequest is set.
	coldRequestAt  time.Duration
	hasColdRequest bool
	// drainingSince is when this node learned that the instance drains, if hasSeenDrain is set.
	drainingSince time.Duration
	hasSeenDrain  bool
	// versionDoubt is the doubt whether the listed process still answers.
	versionDoubt versionDoubt
	// permitTokens is the cost of the permit that a request requires, in tokens, computed for the
	// choice in progress.
	permitTokens float64
}

// Table holds the instances that a node knows, and chooses among them. It is safe for concurrent
// use. Times are readings of a monotonic clock.
type Table struct {
	zone    string
	mutex   sync.Mutex
	members map[string]*member
	// byService holds the members that accept new work, ordered by ID.
	byService map[string][]*member
	// versions holds the number of members of each version of each service.
	versions map[string]map[string]int
	// zones holds the state of each zone in which no instance responded since the last failure to
	// connect.
	zones map[string]*zoneState
	// regionOfZone holds the region of each zone whose region is known.
	regionOfZone map[string]string
	// speeds holds the observed read speed of each service.
	speeds map[string]*readSpeed
	// spilled holds the parts that were sent to other instances than their homes and are not yet
	// reported.
	spilled []HeldPart
	// others holds the loads of the other nodes; nil means not known.
	others Loads
	// evacuated holds the zones whose instances receive no new requests.
	evacuated evacuation.Zones
	// rollouts holds the rollout of each service that has one.
	rollouts map[string]*serviceRollout
	// senders determines which cold instances this node may send to.
	senders coldSenders
	// ended holds the latest incarnations that were replaced by newer ones.
	ended []endedIncarnation
	// endedVersions holds the versions of the latest incarnations that have ended.
	endedVersions []endedVersion
	// limits holds the rate limits that overloaded instances name; nil means that there are none.
	limits *ratelimit.Limits
	// backoff tracks the pauses that instances requested from this node; nil means that there are
	// none.
	backoff *backoff.Tracker
	// slots tracks the brittle instances without free slots; nil means that there are none.
	slots *slotlease.Tracker
	// informedSince is since when this node has been in contact with control nodes without
	// interruption, if isInformed is set.
	informedSince time.Duration
	isInformed    bool
	// latest is the time of the latest choice.
	latest time.Duration
	// choices is the number of choices made.
	choices uint64
	// random returns a random number in [0, 1).
	random func() float64
}

// NewTable returns an empty table for a node in a zone.
func NewTable(zone string) *Table {
	return &Table{
		zone: zone, members: map[string]*member{}, byService: map[string][]*member{}, versions: map[string]map[string]int{},
		zones: map[string]*zoneState{}, speeds: map[string]*readSpeed{}, random: rand.Float64,
	}
}

// SetRandom replaces the source of random numbers in [0, 1). It must be called before the table is
// used.
func (t *Table) SetRandom(random func() float64) { t.random = random }

// Apply applies changes of the registry. It returns the incarnations that were replaced by newer
// ones; the state that was kept for them is no longer valid.
func (t *Table) Apply(changes []registry.Instance) (replaced []registry.Instance) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, instance := range changes {
		known := t.members[instance.ID]
		if known != nil && known.Incarnation() != instance.Incarnation() {
			replaced = append(replaced, known.Instance)
			t.noteEnded(known)
			t.remove(known)
			known = nil
		}
		if instance.HasEnded() {
			t.markEnded(known)
			continue
		}
		t.update(known, instance)
	}
	if len(t.rollouts) > 0 {
		t.chooseCanaries()
	}
	return replaced
}

// update updates the member of a live instance; known is nil if it is new.
func (t *Table) update(known *member, instance registry.Instance) {
	if known == nil {
		known = &member{key: KeyOf(instance.Incarnation()), heldParts: map[PartKey]time.Duration{}}
		t.members[instance.ID] = known
	} else {
		t.countVersion(known.Instance, -1)
	}
	t.countVersion(instance, 1)
	wasOffered := known.isOffered
	if wasOffered && (known.Service != instance.Service || !instance.AcceptsWork()) {
		t.withdraw(known)
		t.noteDrain(known)
		wasOffered = false
	}
	known.Instance, known.hasEnded = instance, false
	if !wasOffered && instance.AcceptsWork() && !known.isReplaced {
		t.offer(known)
	}
}

// markEnded records that an instance has ended; known is nil if it was never known.
func (t *Table) markEnded(known *member) {
	if known == nil {
		return
	}
	t.withdraw(known)
	known.hasEnded = true
	if known.inFlight == 0 {
		t.remove(known)
	}
}

func (t *Table) remove(known *member) {
	t.withdraw(known)
	t.countVersion(known.Instance, -1)
	t.noteEndedVersion(known)
	delete(t.members, known.ID)
}

// offer makes an instance eligible for new work, and withdraw reverts that. A service's instances
// are ordered by ID, so that all nodes process them in the same order.
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

// Instance returns the registry's data of an incarnation, or false if it has ended or was never
// known.
func (t *Table) Instance(incarnation registry.Incarnation) (registry.Instance, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.member(incarnation)
	if known == nil {
		return registry.Instance{}, false
	}
	return known.Instance, true
}

// InstanceWithID returns the current incarnation of an instance, or false if none is known.
func (t *Table) InstanceWithID(id string) (registry.Instance, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.members[id]
	if known == nil {
		return registry.Instance{}, false
	}
	return known.Instance, true
}

// InstanceAt returns the instance at an address that has not ended, or false if none is known.
func (t *Table) InstanceAt(address string) (registry.Instance, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, one := range t.members {
		if one.Address == address && !one.hasEnded {
			return one.Instance, true
		}
	}
	return registry.Instance{}, false
}

// HasZone reports whether an instance is in a zone.
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

// Addresses returns the addresses of the instances that have not ended, in order.
func (t *Table) Addresses() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	addresses := make([]string, 0, len(t.members))
	for _, one := range t.members {
		if !one.hasEnded {
			addresses = append(addresses, one.Address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// Size returns the number of instances of a service that accept new work.
func (t *Table) Size(service string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.byService[service])
}

// InFlight returns the number of this node's requests in flight at an incarnation of an instance.
func (t *Table) InFlight(incarnation registry.Incarnation) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.member(incarnation); known != nil {
		return known.inFlight
	}
	return 0
}

// TotalInFlight returns the number of all nodes' requests in flight at an incarnation of an instance,
// as far as they are known.
func (t *Table) TotalInFlight(incarnation registry.Incarnation) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.member(incarnation)
	if known == nil {
		return 0
	}
	return known.inFlight + t.others[known.key].Requests
}

// OwnLoads returns the loads of this node's requests in flight.
func (t *Table) OwnLoads() Loads {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	loads := Loads{}
	for _, one := range t.members {
		if one.inFlight > 0 {
			loads[one.key] = Load{Tokens: one.pendingTokens, Requests: one.inFlight}
		}
	}
	return loads
}

// SetOthersLoads replaces the loads of the other nodes; nil means that they are not known.
func (t *Table) SetOthersLoads(others Loads) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.others = others
}

// SetEvacuated replaces the zones whose instances receive no new requests. Requests in flight there
// run to their end. The instances of a zone that is restored count as cold.
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
