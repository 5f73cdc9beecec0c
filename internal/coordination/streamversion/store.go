package streamversion

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"sync"
	"time"
)

// MaximumRecords bounds the records that a node keeps, at some 220 bytes each.
const MaximumRecords = 1 << 16

// Store holds the records of a node: of the streams that it relays, and those that other nodes sent it.
// It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	capacity int
	records  map[Key]*held
	owners   map[Owner]*ownerRecords
	// largest holds the owners with the one with the most records first.
	largest largestFirst
	// origins holds each origin once, with the number of its records.
	origins map[Origin]*sharedOrigin
	// dropped is the number of records that were dropped for want of space.
	dropped uint64
}

// held is a record that is kept until endsAt.
type held struct {
	key         Key
	origin      *sharedOrigin
	isAmbiguous bool
	learnedAt   time.Duration
	endsAt      time.Duration
	owned       *ownerRecords
	// place is the record's element among those of its owner.
	place *list.Element
}

type sharedOrigin struct {
	Origin
	count int
}

// ownerRecords are one owner's records, in the order in which they were learned.
type ownerRecords struct {
	owner   Owner
	records list.List
	// index is the owner's index in largestFirst.
	index int
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
// most records loses its oldest one, so that a tenant that floods the store loses its own streams first.
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
		s.remove(known)
	}
	if len(s.records) >= s.capacity {
		s.dropped++
		s.remove(s.largest[0].records.Front().Value.(*held))
	}
	s.add(&held{key: record.Key, origin: s.share(record.Origin), learnedAt: now, endsAt: endsAt}, record.Owner)
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
	for _, known := range s.records {
		if now >= known.endsAt {
			s.remove(known)
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

func (s *Store) add(added *held, owner Owner) {
	s.records[added.key] = added
	owned := s.owners[owner]
	if owned == nil {
		owned = &ownerRecords{owner: owner}
		s.owners[owner] = owned
		heap.Push(&s.largest, owned)
	}
	added.owned, added.place = owned, owned.records.PushBack(added)
	heap.Fix(&s.largest, owned.index)
}

func (s *Store) remove(known *held) {
	delete(s.records, known.key)
	if known.origin.count--; known.origin.count == 0 {
		delete(s.origins, known.origin.Origin)
	}
	owned := known.owned
	owned.records.Remove(known.place)
	if owned.records.Len() == 0 {
		delete(s.owners, owned.owner)
		heap.Remove(&s.largest, owned.index)
		return
	}
	heap.Fix(&s.largest, owned.index)
}

// largestFirst is a heap of owners with the one with the most records at its top.
type largestFirst []*ownerRecords

func (l largestFirst) Len() int { return len(l) }

func (l largestFirst) Less(i, j int) bool { return l[i].records.Len() > l[j].records.Len() }

func (l largestFirst) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

func (l *largestFirst) Push(added any) {
	owned := added.(*ownerRecords)
	owned.index = len(*l)
	*l = append(*l, owned)
}

func (l *largestFirst) Pop() any {
	last := len(*l) - 1
	removed := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	return removed
}
