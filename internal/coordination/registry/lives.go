package registry

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// lateHeartbeat is how long after the word that an unknown instance ends a heartbeat
	// of it is taken to be an older one: heartbeats come seconds late at times, and an
	// instance that starts again takes longer.
	lateHeartbeat = 5 * time.Second
	// livesKept bounds the former lives that are remembered of one instance.
	livesKept = 4
)

// Life names one life of an instance: one run of its process, from a start to its end.
// An instance that starts again holds and knows nothing of its life before.
type Life struct {
	ID string `msgpack:"i"`
	// Born is when it started, in milliseconds since 1970 as the instance itself says;
	// 0 if it does not say.
	Born int64 `msgpack:"b"`
}

// String returns "id@born", or the id alone.
func (l Life) String() string {
	if l.Born == 0 {
		return l.ID
	}
	return l.ID + "@" + strconv.FormatInt(l.Born, 10)
}

// Life names the instance's life.
func (i Instance) Life() Life { return Life{ID: i.ID, Born: i.Born} }

// compareLives orders two lives of one instance, the newer one higher. What the instances
// say of their births decides, never the order in which it is heard: the word of an older
// life may be any time late. Only where a life is over and one born before it is heard, as
// after the instance's clock was set back, a control node writes down a higher epoch.
func compareLives(one, other Instance) int {
	return cmp.Or(cmp.Compare(one.Epoch, other.Epoch), cmp.Compare(one.Born, other.Born))
}

// endsAnyLife tells whether a word says that whichever life of the instance is known ends:
// the one who says it knew of none.
func (i Instance) endsAnyLife() bool { return i.State == Gone && i.Born == 0 && i.Sequence == 0 }

// isReplacedBy tells whether a heartbeat is the first of a newer life, whose epoch it sets.
func (e *entry) isReplacedBy(now time.Duration, heard *Instance) bool {
	switch {
	case slices.Contains(e.over, heard.Born):
		return false
	case e.endsAnyLife():
		// It may be of the life that has said that it ends.
		return now-e.ended > lateHeartbeat
	case heard.Born > e.Born:
		return true
	case e.State == Expired:
		// Its clock was set back: the life held here has been silent for a lease.
		heard.Epoch = e.Epoch + 1
		return true
	}
	return false
}

// begin replaces the entry by a new life's first word.
func (e *entry) begin(now time.Duration, first Instance) {
	if e.Born != 0 {
		e.over = append(e.over, e.Born)
		e.over = e.over[max(0, len(e.over)-livesKept):]
	}
	e.Instance = first
	e.noteCold(now)
	e.newest, e.heard, e.ended = first.Sequence, now, 0
}
