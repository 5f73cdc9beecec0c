package ratelimit

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Word is what one node tells another of a limit that has begun, changed or ended.
type Word struct {
	Life      registry.Incarnation `msgpack:"l"`
	PerSecond float64              `msgpack:"r"`
	HasEnded  bool                 `msgpack:"e,omitempty"`
	// AgeMS is the time since the answer that said it, when the word was sent.
	AgeMS uint64 `msgpack:"a,omitempty"`
	// At is the moment of that answer by the clock of the node that has the word.
	At time.Duration `msgpack:"-"`
}

// sentAt is the word as it is sent at a time, with its age.
func (w Word) sentAt(now time.Duration) Word {
	w.AgeMS = uint64(max(0, now-w.At).Milliseconds())
	return w
}

// receivedAt is a word that another node sent, with its moment.
func (w Word) receivedAt(now time.Duration) Word {
	w.At = now - time.Duration(w.AgeMS)*time.Millisecond
	return w
}

// Received sets the moment of words that another node sent.
func Received(now time.Duration, words []Word) []Word {
	for position, word := range words {
		words[position] = word.receivedAt(now)
	}
	return words
}

// ForSending sets the age of words that are about to be sent. Those beyond MaximumInForce
// are left out: nodes learn of them from the instances themselves.
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
	// maximumNews bounds the words that a node tells at a time, to some 10 KB.
	maximumNews = 256
	// MaximumInForce bounds the words of one message, to some 160 KB: what a node that
	// starts is told, and what the nodes of a zone tell together.
	MaximumInForce = 4096
)

// InForce returns the words of all limits in force, for a node that has just started.
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

// Hear takes words of other nodes. The newest of a life's words holds.
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

// TakeNews returns the words that this node has to tell, at most as many as one message
// bears; the others come with the next.
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

func (e *entry) word(life registry.Incarnation) Word {
	return Word{Life: life, PerSecond: e.perSecond, HasEnded: e.hasEnded, At: e.at}
}
