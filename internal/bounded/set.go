// Package bounded has collections that keep no more than a number of entries.
package bounded

// Set remembers keys, up to a number of them. Not safe for concurrent use.
type Set[Key comparable] struct {
	most int
	keys map[Key]struct{}
}

// NewSet makes an empty set for a number of keys.
func NewSet[Key comparable](most int) *Set[Key] {
	return &Set[Key]{most: most, keys: map[Key]struct{}{}}
}

// Add adds a key. It tells whether the key is new and there is room for it.
func (s *Set[Key]) Add(key Key) bool {
	if s.Contains(key) || len(s.keys) >= s.most {
		return false
	}
	s.keys[key] = struct{}{}
	return true
}

// Remove removes a key, if it is there.
func (s *Set[Key]) Remove(key Key) { delete(s.keys, key) }

// Contains tells whether a key is there.
func (s *Set[Key]) Contains(key Key) bool {
	_, isThere := s.keys[key]
	return isThere
}

// IsFull tells whether there is no room for a new key.
func (s *Set[Key]) IsFull() bool { return len(s.keys) >= s.most }

// Len is the number of keys.
func (s *Set[Key]) Len() int { return len(s.keys) }
