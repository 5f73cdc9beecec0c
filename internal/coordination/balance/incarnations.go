package balance

import (
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// endedIncarnation is an incarnation that has ended. wasLeaving records whether it had signalled
// before its end that it leaves.
type endedIncarnation struct {
	registry.Incarnation
	wasLeaving bool
}

// maximumEndedIncarnations bounds the number of ended incarnations that are kept. They are looked
// up only shortly after their end, by the requests that were in flight there.
const maximumEndedIncarnations = 128

func (t *Table) noteEnded(one *member) {
	t.ended = append(t.ended, endedIncarnation{Incarnation: one.Incarnation(), wasLeaving: !one.AcceptsWork()})
	t.ended = t.ended[max(0, len(t.ended)-maximumEndedIncarnations):]
}

// member returns the entry of an incarnation, nil if it has ended or was never known.
func (t *Table) member(incarnation registry.Incarnation) *member {
	known := t.members[incarnation.ID]
	if known == nil || known.Incarnation() != incarnation {
		return nil
	}
	return known
}

// IsLeaving reports whether an incarnation had signalled that it leaves the service, or is not
// known.
func (t *Table) IsLeaving(incarnation registry.Incarnation) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.backoff.IsLeaving(incarnation) {
		return true
	}
	if known := t.member(incarnation); known != nil {
		return !known.AcceptsWork()
	}
	for _, one := range t.ended {
		if one.Incarnation == incarnation {
			return one.wasLeaving
		}
	}
	return true
}
