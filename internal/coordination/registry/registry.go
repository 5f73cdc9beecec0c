// Package registry keeps the instances of services: who they are, where they
// listen, and whether they take new work.
//
// Every node holds the whole registry and merges what others say, in any
// order and any number of times, with the same end: of one instance's lives the
// newest holds, see lives.go; of one life the change with the highest heartbeat
// sequence, and "gone" over everything. Absence says nothing: a node that lost
// its memory takes nothing away from others.
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
	// DefaultLease is the silence after which an instance is taken for lost.
	// It is long: who sends requests notices a dead instance much sooner, and
	// an instance that merely can't reach the control nodes still works.
	DefaultLease = 20 * time.Second
	// tombstoneAge is how long an instance that is gone is remembered, so that
	// late messages don't bring it back.
	tombstoneAge = 2 * time.Minute
)

// State tells whether an instance takes new work.
type State uint8

const (
	// Ready instances take new work.
	Ready State = iota + 1
	// Draining instances finish what they have.
	Draining
	// Expired instances sent no heartbeat for a lease. A newer one brings them
	// back.
	Expired
	// Gone instances have left for good.
	Gone
)

// String names the state.
func (s State) String() string {
	names := [...]string{"none", "ready", "draining", "expired", "gone"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Instance is one life of a server of a service.
type Instance struct {
	ID string `msgpack:"i"`
	// Born is when this life began, see Life, and Epoch orders lives whose Born can't.
	Born    int64  `msgpack:"b"`
	Epoch   uint32 `msgpack:"e"`
	Service string `msgpack:"s"`
	// Address is host:port. Addresses are used again, so the id goes with it.
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
	Version string `msgpack:"v"`
	// Slots is the number of requests that it works on at once.
	Slots int   `msgpack:"l"`
	State State `msgpack:"t"`
	// Sequence is that of the heartbeat that brought this change.
	Sequence uint64 `msgpack:"q"`
	// ColdLeft is how much longer it is cold, from the moment of the word on it: it
	// has just started or was at rest, and bears few requests.
	ColdLeft time.Duration `msgpack:"c"`
	// ColdUntil is that moment's end by this node's clock; only a registry sets it.
	ColdUntil time.Duration `msgpack:"-"`
}

// fieldsBeforeLives is the number of fields that builds without lives of instances write.
const fieldsBeforeLives = 9

// OlderFields implements peer.OlderFields: Born and Epoch came to stand behind the ID.
func (Instance) OlderFields(count int) []string {
	if count != fieldsBeforeLives {
		return nil
	}
	return []string{"i", "s", "a", "z", "v", "l", "t", "q", "c"}
}

// TakesWork tells whether new work may be sent to the instance.
func (i Instance) TakesWork() bool { return i.State == Ready }

// ErrIncomplete says that a heartbeat lacks something.
var ErrIncomplete = errors.New("registry: a heartbeat needs an id, a service and an address")

// coldStep is the difference in the end of being cold from which others are told.
const coldStep = 300 * time.Millisecond

// noteCold sets the end of being cold from a word that came now.
func (i *Instance) noteCold(now time.Duration) {
	i.ColdUntil = 0
	if i.ColdLeft > 0 {
		i.ColdUntil = now + i.ColdLeft
	}
}

// coldChanged tells whether a word says another end of being cold than the one known.
func coldChanged(now time.Duration, known, said Instance) bool {
	difference := max(known.ColdUntil, now) - max(said.ColdUntil, now)
	return difference.Abs() > coldStep
}

type entry struct {
	Instance
	// newest is the highest heartbeat sequence seen, heard the time of it.
	newest uint64
	heard  time.Duration
	// ended is when the instance was found gone or expired.
	ended time.Duration
	// over are the Born of its latest lives before this one.
	over []int64
	// hash is its part of the registry's digest; 0 if it has ended.
	hash uint64
}

// Registry is one node's view. It is not safe for concurrent use. Times are
// those of a steady clock.
type Registry struct {
	lease     time.Duration
	instances map[string]*entry
	// heardHere are the instances that sent heartbeats to this node of late.
	heardHere map[string]struct{}
	// digest is the sum of the live instances' hashes, live their number. Each change adds
	// to them: made anew from all of 10,000 instances at each of 40 hellos a second, the
	// digest was most of what a node did while they registered.
	digest uint64
	live   int
	// sums are the parts of digest by instances' buckets.
	sums [Buckets]uint64
	// orderedDigest is the digest of builds that tell it in order, while isOrderedKnown.
	orderedDigest  uint64
	isOrderedKnown bool
}

// New makes an empty registry; a lease of 0 means the default.
func New(lease time.Duration) *Registry {
	if lease == 0 {
		lease = DefaultLease
	}
	return &Registry{lease: lease, instances: map[string]*entry{}, heardHere: map[string]struct{}{}}
}

// Heartbeat takes an instance's own word. It returns whether others should be
// told.
func (r *Registry) Heartbeat(now time.Duration, instance Instance) (changed bool, err error) {
	if instance.ID == "" || instance.Service == "" || instance.Address == "" {
		return false, ErrIncomplete
	}
	instance.noteCold(now)
	known := r.instances[instance.ID]
	if known == nil {
		known = &entry{}
		r.instances[instance.ID] = known
		known.begin(now, instance)
		r.noteBegun(known)
		return true, nil
	}
	instance.Epoch = known.Epoch
	if instance.Born != known.Born {
		if !known.isReplacedBy(now, &instance) {
			return false, nil
		}
		known.begin(now, instance)
		r.noteBegun(known)
		return true, nil
	}
	if known.State == Gone || instance.Sequence <= known.newest {
		// A late heartbeat says what was, not what is.
		return false, nil
	}
	known.newest, known.heard = instance.Sequence, now
	r.heardHere[instance.ID] = struct{}{}
	if sameState(known.Instance, instance) && !coldChanged(now, known.Instance, instance) {
		return false, nil
	}
	known.Instance = instance
	r.noteChanged(known)
	return true, nil
}

// noteBegun notes that an instance began a life that this node was the first to hear.
func (r *Registry) noteBegun(begun *entry) {
	r.heardHere[begun.ID] = struct{}{}
	r.noteChanged(begun)
}

// noteChanged keeps the digest right.
func (r *Registry) noteChanged(changed *entry) {
	r.isOrderedKnown = false
	bucket := bucketOf(changed.ID)
	if changed.hash != 0 {
		r.digest -= changed.hash
		r.sums[bucket] -= changed.hash
		r.live--
	}
	changed.hash = 0
	if changed.alive() {
		changed.hash = changed.hashState()
		r.digest += changed.hash
		r.sums[bucket] += changed.hash
		r.live++
	}
}

// Buckets is the number of parts in which two nodes compare their registries, so that
// they exchange only those that differ: one change that was lost among 10,000 instances
// then costs a list of 40 and not of all.
const Buckets = 256

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// Sums are the digests of all buckets.
func (r *Registry) Sums() []uint64 { return slices.Clone(r.sums[:]) }

// Differing returns the instances in the buckets whose digests are others than some, those
// that ended included, as another node may be told of them now.
func (r *Registry) Differing(now time.Duration, sums []uint64) []Instance {
	if len(sums) != Buckets {
		return r.Instances(now)
	}
	return slices.DeleteFunc(r.Instances(now), func(one Instance) bool {
		bucket := bucketOf(one.ID)
		return r.sums[bucket] == sums[bucket]
	})
}

// hashState is the instance's part of a digest, never 0.
func (i *Instance) hashState() uint64 {
	digest := xxhash.New()
	i.writeState(digest)
	return max(1, digest.Sum64())
}

// writeState writes what nodes that hold the same registry know of the instance.
func (i *Instance) writeState(digest *xxhash.Digest) {
	var number [8]byte
	_, _ = digest.WriteString(i.ID)
	for _, part := range []uint64{i.Sequence<<8 | uint64(i.State), uint64(i.Born), uint64(i.Epoch)} {
		binary.BigEndian.PutUint64(number[:], part)
		_, _ = digest.Write(number[:])
	}
}

// sameState compares all but the sequence and the times of being cold.
func sameState(one, other Instance) bool {
	one.Sequence, one.ColdLeft, one.ColdUntil = other.Sequence, other.ColdLeft, other.ColdUntil
	return one == other
}

// Leave takes an instance's word that a life of it ends; without Born it is the one
// known here. It returns whether others should be told.
func (r *Registry) Leave(now time.Duration, life Life) bool {
	known := r.instances[life.ID]
	if known == nil {
		// Not heard of yet: a heartbeat that is still on its way must not
		// bring it back.
		known = &entry{Instance: Instance{ID: life.ID, Born: life.Born}}
		r.instances[life.ID] = known
	}
	if known.State == Gone || life.Born != 0 && life.Born != known.Born {
		return false
	}
	known.State, known.ended = Gone, now
	r.noteChanged(known)
	return true
}

// Get returns what is known of an instance.
func (r *Registry) Get(id string) (Instance, bool) {
	known := r.instances[id]
	if known == nil {
		return Instance{}, false
	}
	return known.Instance, true
}

// Merge takes what another node says and returns what was new in it.
func (r *Registry) Merge(now time.Duration, others []Instance) []Instance {
	var news []Instance
	for _, other := range others {
		known := r.instances[other.ID]
		if known != nil && !supersedes(other, known.Instance) {
			continue
		}
		switch {
		case known == nil:
			known = &entry{}
			r.instances[other.ID] = known
			known.begin(now, other)
		case other.endsAnyLife():
			known.State = Gone
		case other.Born != known.Born:
			known.begin(now, other)
		default:
			known.Instance = other
			known.noteCold(now)
			known.newest = max(known.newest, other.Sequence)
		}
		known.heard = now
		if !other.alive() {
			known.ended = now
		}
		r.noteChanged(known)
		news = append(news, other)
	}
	return news
}

func (i Instance) alive() bool { return i.State == Ready || i.State == Draining }

// HasEnded tells whether the instance's life is over.
func (i Instance) HasEnded() bool { return !i.alive() }

// supersedes tells whether a word on an instance is newer than another one.
func supersedes(other, known Instance) bool {
	if order := compareLives(other, known); order != 0 && !other.endsAnyLife() {
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

// Heard takes another control node's word that instances sent it heartbeats.
func (r *Registry) Heard(now time.Duration, ids []string) {
	for _, id := range ids {
		if known := r.instances[id]; known != nil && known.alive() {
			known.heard = now
		}
	}
}

// TakeHeardHere returns the instances that sent heartbeats to this node since
// the last call, in order.
func (r *Registry) TakeHeardHere() []string {
	ids := make([]string, 0, len(r.heardHere))
	for id := range r.heardHere {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	clear(r.heardHere)
	return ids
}

// Expire ends the leases of silent instances and returns them; it forgets
// those that ended long ago.
func (r *Registry) Expire(now time.Duration) []Instance {
	var expired []Instance
	for id, known := range r.instances {
		switch {
		case known.alive() && now-known.heard > r.lease:
			known.State, known.ended = Expired, now
			// It supersedes the state that it ends, and any later heartbeat
			// supersedes it.
			known.Sequence = known.newest
			r.noteChanged(known)
			expired = append(expired, known.Instance)
		case !known.alive() && now-known.ended > tombstoneAge:
			delete(r.instances, id)
		}
	}
	sortByID(expired)
	return expired
}

// Instances returns all instances in order, those that ended included, as another
// node may be told of them now.
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

// Live returns the instances that have not ended, in order.
func (r *Registry) Live() []Instance {
	all := r.all()
	return slices.DeleteFunc(all, func(instance Instance) bool { return !instance.alive() })
}

func sortByID(instances []Instance) {
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// LiveCount is the number of instances that have not ended.
func (r *Registry) LiveCount() int { return r.live }

// Digest is equal on nodes that hold the same live instances in the same state.
func (r *Registry) Digest() uint64 { return r.digest }

// OrderedDigest is the digest that builds compare which know no other one. It is made
// anew from all instances after each change.
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
