package balance

import (
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// overLife is a life of an instance that is over, and whether it had said before that it
// leaves.
type overLife struct {
	registry.Life
	wasLeaving bool
}

// overKept bounds the former lives that are remembered: the requests that were at their
// ends ask for them within moments.
const overKept = 128

func (t *Table) noteOver(one *member) {
	t.over = append(t.over, overLife{Life: one.Life(), wasLeaving: !one.TakesWork()})
	t.over = t.over[max(0, len(t.over)-overKept):]
}

// member returns what is known of a life, nil if it is over or was never heard of.
func (t *Table) member(life registry.Life) *member {
	known := t.members[life.ID]
	if known == nil || known.Life() != life {
		return nil
	}
	return known
}

// IsLeaving tells whether a life of an instance had said that it leaves, or is not known.
func (t *Table) IsLeaving(life registry.Life) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.backoff.IsLeaving(life) {
		return true
	}
	if known := t.member(life); known != nil {
		return !known.TakesWork()
	}
	for _, one := range t.over {
		if one.Life == life {
			return one.wasLeaving
		}
	}
	return true
}
