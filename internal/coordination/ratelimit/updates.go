package ratelimit

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Update is what one node sends another about a limit that has begun, changed or ended.
type Update struct {
	Incarnation registry.Incarnation `msgpack:"l"`
	PerSecond   float64              `msgpack:"r"`
	HasEnded    bool                 `msgpack:"e,omitempty"`
	// AgeMS is the time in milliseconds from the response that caused the update to the sending
	// of the update.
	AgeMS uint64 `msgpack:"a,omitempty"`
	// At is the time of that response on the clock of the node that has the update. It is not
	// sent, since nodes' clocks differ.
	At time.Duration `msgpack:"-"`
}

// sentAt returns the update with its age at the time of sending.
func (w Update) sentAt(now time.Duration) Update {
	w.AgeMS = uint64(max(0, now-w.At).Milliseconds())
	return w
}

// receivedAt returns an update of another node with its time on this node's clock.
func (w Update) receivedAt(now time.Duration) Update {
	w.At = now - time.Duration(w.AgeMS)*time.Millisecond
	return w
}

// Received sets the time of updates of another node on this node's clock.
func Received(now time.Duration, updates []Update) []Update {
	for position, update := range updates {
		updates[position] = update.receivedAt(now)
	}
	return updates
}

// ForSending returns updates with their age at the time of sending. Updates beyond
// MaximumActiveUpdates are left out: nodes learn of those limits from the instances themselves.
func ForSending(now time.Duration, updates []Update) []Update {
	if len(updates) == 0 {
		return nil
	}
	sent := make([]Update, 0, min(len(updates), MaximumActiveUpdates))
	for _, update := range updates[:min(len(updates), MaximumActiveUpdates)] {
		sent = append(sent, update.sentAt(now))
	}
	return sent
}

const (
	// maximumUpdates bounds the updates that a node sends at a time, to some 10 KB.
	maximumUpdates = 256
	// MaximumActiveUpdates bounds the updates of one message, to some 160 KB. Such a message goes to
	// a node that starts, or carries the updates of all nodes of a zone.
	MaximumActiveUpdates = 4096
)

// ActiveUpdates returns the updates of all limits in effect, for a node that has just started.
func (l *Limits) ActiveUpdates() []Update {
	if !l.Any() {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var updates []Update
	for incarnation, known := range l.entries {
		if !known.hasEnded {
			updates = append(updates, known.update(incarnation))
		}
	}
	return updates
}

// Receive applies updates of other nodes. The newest update of an incarnation applies.
func (l *Limits) Receive(now time.Duration, updates []Update) []Change {
	if len(updates) == 0 {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var changes []Change
	for _, update := range updates {
		if change := l.receive(now, update); change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	return changes
}

func (l *Limits) receive(now time.Duration, update Update) Change {
	known := l.entries[update.Incarnation]
	switch {
	case known == nil && update.HasEnded, known != nil && update.At <= known.at:
		return Change{}
	case !update.HasEnded && !(update.PerSecond >= 0 && update.PerSecond <= MaximumRate):
		return Change{}
	}
	return l.apply(now, update)
}

// TakeUpdates returns the updates that this node has to send, at most as many as one message
// holds. The next call returns further ones.
func (l *Limits) TakeUpdates() []Update {
	if !l.Any() {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var updates []Update
	for incarnation := range l.pendingUpdates {
		if len(updates) >= maximumUpdates {
			break
		}
		updates = append(updates, l.entries[incarnation].update(incarnation))
		delete(l.pendingUpdates, incarnation)
	}
	return updates
}

func (e *entry) update(incarnation registry.Incarnation) Update {
	return Update{Incarnation: incarnation, PerSecond: e.perSecond, HasEnded: e.hasEnded, At: e.at}
}
