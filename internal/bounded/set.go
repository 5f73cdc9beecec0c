// Package bounded provides collections with a maximum number of entries.
package bounded

// Set is a set of keys with a maximum size. It is not safe for concurrent use.
type Set[Key comparable] struct {
	capacity int
	keys     map[Key]struct{}
}

// NewSet returns an empty set with a maximum number of keys.
func NewSet[Key comparable](capacity int) *Set[Key] {
	return &Set[Key]{capacity: capacity, keys: map[Key]struct{}{}}
}

// Add adds a key if the set has space. It reports whether the key is new and was added.
func (s *Set[Key]) Add(key Key) bool {
	if s.Contains(key) || len(s.keys) >= s.capacity {
		return false
	}
	s.keys[key] = struct{}{}
	return true
}

// Remove removes a key if the set contains it.
func (s *Set[Key]) Remove(key Key) { delete(s.keys, key) }

// Contains reports whether the set contains a key.
func (s *Set[Key]) Contains(key Key) bool {
	_, found := s.keys[key]
	return found
}

// IsFull reports whether the set has no space for a new key.
func (s *Set[Key]) IsFull() bool { return len(s.keys) >= s.capacity }

// Len returns the number of keys.
func (s *Set[Key]) Len() int { return len(s.keys) }
