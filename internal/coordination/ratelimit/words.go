package ratelimit

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Word is what one node sends another about a limit that has begun, changed or ended.
type Word struct {
	Life      registry.Life `msgpack:"l"`
	PerSecond float64       `msgpack:"r"`
	HasEnded  bool          `msgpack:"e,omitempty"`
	// AgeMS is the time in milliseconds from the response that caused the update to the sending
	// of the update.
	AgeMS uint64 `msgpack:"a,omitempty"`
	// At is the time of that response on the clock of the node that has the update. It is not
	// sent, since nodes' clocks differ.
	At time.Duration `msgpack:"-"`
}

// sentAt returns the update with its age at the time of sending.
func (w Word) sentAt(now time.Duration) Word {
	w.AgeMS = uint64(max(0, now-w.At).Milliseconds())
	return w
}

// receivedAt returns an update of another node with its time on this node's clock.
func (w Word) receivedAt(now time.Duration) Word {
	w.At = now - time.Duration(w.AgeMS)*time.Millisecond
	return w
}

// Received sets the time of updates of another node on this node's clock.
func Received(now time.Duration, words []Word) []Word {
	for position, word := range words {
		words[position] = word.receivedAt(now)
	}
	return words
}

// ForSending returns updates with their age at the time of sending. Updates beyond
// MaximumInForce are left out: nodes learn of those limits from the instances themselves.
func ForSending(now time.Duration, words []Word) []Word {
	if len(words) == 0 {
		return nil
	}
	sent := make([]Word, 0, min(len(words), MaximumInForce))
	for _, word := range words[:min(len(words), MaximumInForce)] {
		sent = append(sent, word.sentAt(now))
	}
	return sent
}

const (
	// maximumNews bounds the updates that a node sends at a time, to some 10 KB.
	maximumNews = 256
	// MaximumInForce bounds the updates of one message, to some 160 KB. Such a message goes to
	// a node that starts, or carries the updates of all nodes of a zone.
	MaximumInForce = 4096
)

// InForce returns the updates of all limits in effect, for a node that has just started.
func (l *Limits) InForce() []Word {
	if !l.Any() {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var words []Word
	for life, known := range l.entries {
		if !known.hasEnded {
			words = append(words, known.word(life))
		}
	}
	return words
}

// Hear applies updates of other nodes. The newest update of an incarnation applies.
func (l *Limits) Hear(now time.Duration, words []Word) []Change {
	if len(words) == 0 {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var changes []Change
	for _, word := range words {
		if change := l.hear(now, word); change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	return changes
}

func (l *Limits) hear(now time.Duration, word Word) Change {
	known := l.entries[word.Life]
	switch {
	case known == nil && word.HasEnded, known != nil && word.At <= known.at:
		return Change{}
	case !word.HasEnded && !(word.PerSecond >= 0 && word.PerSecond <= MaximumRate):
		return Change{}
	}
	return l.set(now, word)
}

// TakeNews returns the updates that this node has to send, at most as many as one message
// holds. The next call returns further ones.
func (l *Limits) TakeNews() []Word {
	if !l.Any() {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var words []Word
	for life := range l.news {
		if len(words) >= maximumNews {
			break
		}
		words = append(words, l.entries[life].word(life))
		delete(l.news, life)
	}
	return words
}

func (e *entry) word(life registry.Life) Word {
	return Word{Life: life, PerSecond: e.perSecond, HasEnded: e.hasEnded, At: e.at}
}
