package streamversion

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// MaximumRecords bounds the records that a node keeps, at some 150 bytes each.
const MaximumRecords = 1 << 16

// Store holds the records of a node: of the streams that it relays, and those that other nodes sent it.
// It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	capacity int
	records  map[Key]*held
	// owners holds the keys of each owner's records in the order in which they were learned.
	owners map[Owner]*ownerRecords
	// origins holds each origin once, with the number of its records.
	origins map[Origin]*sharedOrigin
	// dropped is the number of records that were dropped for want of space.
	dropped uint64
}

// held is a record that is kept until endsAt.
type held struct {
	origin      *sharedOrigin
	owner       Owner
	isAmbiguous bool
	learnedAt   time.Duration
	endsAt      time.Duration
}

type sharedOrigin struct {
	Origin
	count int
}

// ownerRecords are one owner's records. Keys whose records have ended stay until they are compacted.
type ownerRecords struct {
	keys  []Key
	first int
	live  int
}

// NewStore returns an empty store; a capacity of 0 means MaximumRecords.
func NewStore(capacity int) *Store {
	if capacity == 0 {
		capacity = MaximumRecords
	}
	return &Store{capacity: capacity, records: map[Key]*held{}, owners: map[Owner]*ownerRecords{}, origins: map[Origin]*sharedOrigin{}}
}

// Put keeps a record. A stream that is known with another origin becomes ambiguous: its ID was used
// twice, or its engine turned out to run another version. When the store is full, the owner with the
// most records loses its oldest one.
func (s *Store) Put(now time.Duration, record Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	endsAt := now + min(record.Lifetime, MaximumLifetime)
	if known := s.records[record.Key]; known != nil {
		if now < known.endsAt {
			known.isAmbiguous = known.isAmbiguous || known.origin.Origin != record.Origin
			known.endsAt = max(known.endsAt, endsAt)
			return
		}
		s.remove(record.Key, known)
	}
	if len(s.records) >= s.capacity {
		s.dropOldestOfLargest()
	}
	s.records[record.Key] = &held{origin: s.share(record.Origin), owner: record.Owner, learnedAt: now, endsAt: endsAt}
	owned := s.owners[record.Owner]
	if owned == nil {
		owned = &ownerRecords{}
		s.owners[record.Owner] = owned
	}
	owned.keys = append(owned.keys, record.Key)
	owned.live++
}

// Find returns what is known of a stream.
func (s *Store) Find(now time.Duration, key Key) Answer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.records[key]
	if known == nil || now >= known.endsAt {
		return Answer{}
	}
	answer := Answer{IsKnown: true, IsAmbiguous: known.isAmbiguous, AgeMS: uint64((now - known.learnedAt).Milliseconds())}
	if !known.isAmbiguous {
		answer.Service, answer.Version = known.origin.Service, known.origin.Version
	}
	return answer
}

// Prune drops the records whose lifetimes are over.
func (s *Store) Prune(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, known := range s.records {
		if now >= known.endsAt {
			s.remove(key, known)
		}
	}
}

// Count returns the number of records, and how many were dropped for want of space.
func (s *Store) Count() (count int, dropped uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.records), s.dropped
}

// OriginCount is the number of records of streams with one origin.
type OriginCount struct {
	Origin
	Streams int
}

// List returns the origins of the records, ordered by service and version.
func (s *Store) List() []OriginCount {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	listed := make([]OriginCount, 0, len(s.origins))
	for origin, shared := range s.origins {
		listed = append(listed, OriginCount{Origin: origin, Streams: shared.count})
	}
	slices.SortFunc(listed, func(a, b OriginCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return listed
}

func (s *Store) share(origin Origin) *sharedOrigin {
	shared := s.origins[origin]
	if shared == nil {
		shared = &sharedOrigin{Origin: origin}
		s.origins[origin] = shared
	}
	shared.count++
	return shared
}

func (s *Store) remove(key Key, known *held) {
	delete(s.records, key)
	if known.origin.count--; known.origin.count == 0 {
		delete(s.origins, known.origin.Origin)
	}
	owned := s.owners[known.owner]
	if owned.live--; owned.live == 0 {
		delete(s.owners, known.owner)
		return
	}
	if ended := len(owned.keys) - owned.first - owned.live; ended > owned.live {
		s.compact(known.owner, owned)
	}
}

// compact drops an owner's keys whose records have ended.
func (s *Store) compact(owner Owner, owned *ownerRecords) {
	owned.keys = slices.DeleteFunc(owned.keys[owned.first:], func(key Key) bool { return !s.isOf(owner, key) })
	owned.first = 0
}

func (s *Store) isOf(owner Owner, key Key) bool {
	known := s.records[key]
	return known != nil && known.owner == owner
}

// dropOldestOfLargest drops the oldest record of the owner with the most records: a tenant that floods
// the store loses its own streams first.
func (s *Store) dropOldestOfLargest() {
	var largest Owner
	count := 0
	for owner, owned := range s.owners {
		if owned.live > count || owned.live == count && owner < largest {
			largest, count = owner, owned.live
		}
	}
	owned := s.owners[largest]
	for owned.first < len(owned.keys) {
		key := owned.keys[owned.first]
		owned.first++
		if s.isOf(largest, key) {
			s.dropped++
			s.remove(key, s.records[key])
			return
		}
	}
}
