// Package registry keeps the instances of services: their identity, their address, and whether they
// accept new work.
//
// Every node holds the whole registry and merges the updates of others. Merging is commutative and
// idempotent: of the incarnations of one instance the newest wins, see incarnations.go; of one
// incarnation the change with the highest heartbeat sequence wins, and "gone" wins over everything.
// The absence of an instance has no meaning: a node that lost its state removes nothing from other
// nodes.
package registry

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultLease is the time since the last heartbeat after which an instance expires. It is long
	// because nodes that send requests detect a dead instance much sooner, and because an instance
	// that merely can't reach the control nodes still works.
	DefaultLease = 20 * time.Second
	// tombstoneAge is how long an instance that has ended is kept, so that late messages don't
	// restore it.
	tombstoneAge = 2 * time.Minute
)

// State is the state of an instance, which determines whether it accepts new work.
type State uint8

const (
	// Ready instances accept new work.
	Ready State = iota + 1
	// Draining instances finish their requests in flight and accept no new work.
	Draining
	// Expired instances sent no heartbeat for a lease. A newer heartbeat restores them.
	Expired
	// Gone instances have left permanently.
	Gone
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"none", "ready", "draining", "expired", "gone"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Instance is one incarnation of a server of a service.
type Instance struct {
	ID string `msgpack:"i"`
	// StartedAt is when this incarnation started, see Incarnation. Epoch orders incarnations whose
	// start times do not.
	StartedAt int64  `msgpack:"b"`
	Epoch     uint32 `msgpack:"e"`
	Service   string `msgpack:"s"`
	// Address is host:port. Addresses are reused, so only the ID identifies the instance.
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
	Version string `msgpack:"v"`
	// Slots is the number of requests that it processes concurrently.
	Slots int   `msgpack:"l"`
	State State `msgpack:"t"`
	// Sequence is the sequence number of the heartbeat that made this change.
	Sequence uint64 `msgpack:"q"`
	// ColdLeft is how much longer the instance is cold, counted from the moment the message was
	// sent. A cold instance has just started or was idle, and supports only few requests.
	ColdLeft time.Duration `msgpack:"c"`
	// ColdUntil is the end of that time on this node's clock. Only a registry sets it.
	ColdUntil time.Duration `msgpack:"-"`
}

// fieldsBeforeIncarnations is the number of fields that builds without incarnations of instances
// encode.
const fieldsBeforeIncarnations = 9

// OlderFields implements peer.OlderFields: StartedAt and Epoch were inserted after ID.
func (Instance) OlderFields(count int) []string {
	if count != fieldsBeforeIncarnations {
		return nil
	}
	return []string{"i", "s", "a", "z", "v", "l", "t", "q", "c"}
}

// AcceptsWork reports whether new work may be sent to the instance.
func (i Instance) AcceptsWork() bool { return i.State == Ready }

// ErrIncomplete is returned for a heartbeat without an ID, a service or an address.
var ErrIncomplete = errors.New("registry: a heartbeat needs an id, a service and an address")

// coldTolerance is the difference up to which two ends of the cold time count as equal, so that the
// change is not sent to other nodes.
const coldTolerance = 300 * time.Millisecond

// setColdUntil sets ColdUntil from the ColdLeft of a message that was received now.
func (i *Instance) setColdUntil(now time.Duration) {
	i.ColdUntil = 0
	if i.ColdLeft > 0 {
		i.ColdUntil = now + i.ColdLeft
	}
}

// isColdChanged reports whether the end of the cold time in a message differs from the known one by
// more than coldTolerance.
func isColdChanged(now time.Duration, known, received Instance) bool {
	difference := max(known.ColdUntil, now) - max(received.ColdUntil, now)
	return difference.Abs() > coldTolerance
}

type entry struct {
	Instance
	// latestSequence is the highest heartbeat sequence received. lastContact is when the instance
	// was last known to be in contact with this node or another control node.
	latestSequence uint64
	lastContact    time.Duration
	// endedAt is when the instance became gone or expired.
	endedAt time.Duration
	// pastStartTimes holds the start times of its latest incarnations before this one.
	pastStartTimes []int64
	// hash is its contribution to the registry's digest; 0 if it has ended.
	hash uint64
}

// Registry is one node's view of all instances. It is not safe for concurrent use. Times are
// readings of a monotonic clock.
type Registry struct {
	lease     time.Duration
	instances map[string]*entry
	// contactedHere holds the IDs of the instances that have sent heartbeats to this node since the
	// last call of TakeContacts.
	contactedHere map[string]struct{}
	// digest is the sum of the live instances' hashes, and live is their number. Both are updated
	// incrementally: computing the digest from all of 10,000 instances at each of 40 hellos per
	// second took most of a node's processor time while they registered.
	digest uint64
	live   int
	// digests holds the digest of each bucket of instances.
	digests [Buckets]uint64
	// orderedDigest caches the result of OrderedDigest. It is valid while isOrderedKnown is set.
	orderedDigest  uint64
	isOrderedKnown bool
}

// New returns an empty registry. A lease of 0 means DefaultLease.
func New(lease time.Duration) *Registry {
	if lease == 0 {
		lease = DefaultLease
	}
	return &Registry{lease: lease, instances: map[string]*entry{}, contactedHere: map[string]struct{}{}}
}

// Heartbeat applies a heartbeat that an instance sent to this node. It reports whether other nodes
// should receive the change.
func (r *Registry) Heartbeat(now time.Duration, instance Instance) (changed bool, err error) {
	if instance.ID == "" || instance.Service == "" || instance.Address == "" {
		return false, ErrIncomplete
	}
	instance.setColdUntil(now)
	known := r.instances[instance.ID]
	if known == nil {
		known = &entry{}
		r.instances[instance.ID] = known
		known.startIncarnation(now, instance)
		r.noteStarted(known)
		return true, nil
	}
	instance.Epoch = known.Epoch
	if instance.StartedAt != known.StartedAt {
		if !known.isReplacedBy(now, &instance) {
			return false, nil
		}
		known.startIncarnation(now, instance)
		r.noteStarted(known)
		return true, nil
	}
	if known.State == Gone || instance.Sequence <= known.latestSequence {
		// A late heartbeat describes a past state.
		return false, nil
	}
	known.latestSequence, known.lastContact = instance.Sequence, now
	r.contactedHere[instance.ID] = struct{}{}
	if isSameState(known.Instance, instance) && !isColdChanged(now, known.Instance, instance) {
		return false, nil
	}
	known.Instance = instance
	r.updateDigest(known)
	return true, nil
}

// noteStarted records a new incarnation whose first heartbeat was received by this node.
func (r *Registry) noteStarted(started *entry) {
	r.contactedHere[started.ID] = struct{}{}
	r.updateDigest(started)
}

// updateDigest updates the digests, and the number of live instances, after a change of an entry.
func (r *Registry) updateDigest(changed *entry) {
	r.isOrderedKnown = false
	bucket := bucketOf(changed.ID)
	if changed.hash != 0 {
		r.digest -= changed.hash
		r.digests[bucket] -= changed.hash
		r.live--
	}
	changed.hash = 0
	if changed.isLive() {
		changed.hash = changed.hashState()
		r.digest += changed.hash
		r.digests[bucket] += changed.hash
		r.live++
	}
}

// Buckets is the number of parts in which two nodes compare their registries, so that they exchange
// only the parts that differ. A change that was lost among 10,000 instances then takes a list of 40
// instances and not of all.
const Buckets = 256

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// Digests returns the digests of all buckets.
func (r *Registry) Digests() []uint64 { return slices.Clone(r.digests[:]) }

// Differing returns the instances in the buckets whose digests differ from the given ones,
// including those that have ended, in the form in which they are sent to another node now.
func (r *Registry) Differing(now time.Duration, digests []uint64) []Instance {
	if len(digests) != Buckets {
		return r.Instances(now)
	}
	return slices.DeleteFunc(r.Instances(now), func(one Instance) bool {
		bucket := bucketOf(one.ID)
		return r.digests[bucket] == digests[bucket]
	})
}

// hashState returns the instance's contribution to a digest, which is never 0.
func (i *Instance) hashState() uint64 {
	digest := xxhash.New()
	i.writeState(digest)
	return max(1, digest.Sum64())
}

// writeState writes the part of the instance's state that is equal on all nodes with the same
// registry.
func (i *Instance) writeState(digest *xxhash.Digest) {
	var number [8]byte
	_, _ = digest.WriteString(i.ID)
	for _, part := range []uint64{i.Sequence<<8 | uint64(i.State), uint64(i.StartedAt), uint64(i.Epoch)} {
		binary.BigEndian.PutUint64(number[:], part)
		_, _ = digest.Write(number[:])
	}
}

// isSameState reports whether two instances are equal except for their sequences and cold times.
func isSameState(one, other Instance) bool {
	one.Sequence, one.ColdLeft, one.ColdUntil = other.Sequence, other.ColdLeft, other.ColdUntil
	return one == other
}

// Leave applies an instance's report that an incarnation of it ends. Without a start time it means
// the incarnation known here. It reports whether other nodes should receive the change.
func (r *Registry) Leave(now time.Duration, incarnation Incarnation) bool {
	known := r.instances[incarnation.ID]
	if known == nil {
		// The instance is not known yet. A heartbeat that is still in transit must not restore it.
		known = &entry{Instance: Instance{ID: incarnation.ID, StartedAt: incarnation.StartedAt}}
		r.instances[incarnation.ID] = known
	}
	if known.State == Gone || incarnation.StartedAt != 0 && incarnation.StartedAt != known.StartedAt {
		return false
	}
	known.State, known.endedAt = Gone, now
	r.updateDigest(known)
	return true
}

// Get returns an instance, or false if it is not known.
func (r *Registry) Get(id string) (Instance, bool) {
	known := r.instances[id]
	if known == nil {
		return Instance{}, false
	}
	return known.Instance, true
}

// Merge applies the instances of another node and returns those that changed this registry.
func (r *Registry) Merge(now time.Duration, others []Instance) []Instance {
	var changed []Instance
	for _, other := range others {
		known := r.instances[other.ID]
		if known != nil && !supersedes(other, known.Instance) {
			continue
		}
		switch {
		case known == nil:
			known = &entry{}
			r.instances[other.ID] = known
			known.startIncarnation(now, other)
		case other.endsAnyIncarnation():
			known.State = Gone
		case other.StartedAt != known.StartedAt:
			known.startIncarnation(now, other)
		default:
			known.Instance = other
			known.setColdUntil(now)
			known.latestSequence = max(known.latestSequence, other.Sequence)
		}
		known.lastContact = now
		if !other.isLive() {
			known.endedAt = now
		}
		r.updateDigest(known)
		changed = append(changed, other)
	}
	return changed
}

func (i Instance) isLive() bool { return i.State == Ready || i.State == Draining }

// HasEnded reports whether the instance has expired or has left.
func (i Instance) HasEnded() bool { return !i.isLive() }

// supersedes reports whether a message about an instance is newer than the known state.
func supersedes(other, known Instance) bool {
	if order := compareIncarnations(other, known); order != 0 && !other.endsAnyIncarnation() {
		return order > 0
	}
	if known.State == Gone || other.State == Gone {
		return known.State != Gone
	}
	if other.Sequence != known.Sequence {
		return other.Sequence > known.Sequence
	}
	return other.State > known.State
}

// RecordContact renews the leases of instances that sent heartbeats to another control node.
func (r *Registry) RecordContact(now time.Duration, ids []string) {
	for _, id := range ids {
		if known := r.instances[id]; known != nil && known.isLive() {
			known.lastContact = now
		}
	}
}

// TakeContacts returns the IDs of the instances that sent heartbeats to this node since the last
// call, in ascending order.
func (r *Registry) TakeContacts() []string {
	ids := make([]string, 0, len(r.contactedHere))
	for id := range r.contactedHere {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	clear(r.contactedHere)
	return ids
}

// Expire expires the instances whose lease has run out and returns them. It removes those that
// ended more than tombstoneAge ago.
func (r *Registry) Expire(now time.Duration) []Instance {
	var expired []Instance
	for id, known := range r.instances {
		switch {
		case known.isLive() && now-known.lastContact > r.lease:
			known.State, known.endedAt = Expired, now
			// With this sequence, the expiry supersedes the previous state, and any later heartbeat
			// supersedes the expiry.
			known.Sequence = known.latestSequence
			r.updateDigest(known)
			expired = append(expired, known.Instance)
		case !known.isLive() && now-known.endedAt > tombstoneAge:
			delete(r.instances, id)
		}
	}
	sortByID(expired)
	return expired
}

// Instances returns all instances ordered by ID, including those that have ended, in the form in
// which they are sent to another node now.
func (r *Registry) Instances(now time.Duration) []Instance {
	all := r.all()
	for position := range all {
		all[position].ColdLeft = max(0, all[position].ColdUntil-now)
	}
	return all
}

func (r *Registry) all() []Instance {
	all := make([]Instance, 0, len(r.instances))
	for _, known := range r.instances {
		all = append(all, known.Instance)
	}
	sortByID(all)
	return all
}

// Live returns the instances that have not ended, ordered by ID.
func (r *Registry) Live() []Instance {
	all := r.all()
	return slices.DeleteFunc(all, func(instance Instance) bool { return !instance.isLive() })
}

func sortByID(instances []Instance) {
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// LiveCount returns the number of instances that have not ended.
func (r *Registry) LiveCount() int { return r.live }

// Digest returns a hash that is equal on nodes that hold the same live instances in the same state.
func (r *Registry) Digest() uint64 { return r.digest }

// OrderedDigest returns the digest for older builds that compare no other one. It hashes the live
// instances in order and is computed from all of them after each change.
func (r *Registry) OrderedDigest() uint64 {
	if !r.isOrderedKnown {
		digest := xxhash.New()
		for _, instance := range r.Live() {
			instance.writeState(digest)
		}
		r.orderedDigest, r.isOrderedKnown = digest.Sum64(), true
	}
	return r.orderedDigest
}
