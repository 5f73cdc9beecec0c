package registry

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// maximumHeartbeatDelay is the time after the report that an unknown instance has ended during
	// which a heartbeat of the instance counts as older than the report. Heartbeats are sometimes
	// delayed by seconds, and an instance takes longer than that to restart.
	maximumHeartbeatDelay = 5 * time.Second
	// maximumPastIncarnations bounds the number of past incarnations that are recorded for each
	// instance.
	maximumPastIncarnations = 4
)

// Incarnation identifies an incarnation of an instance: one run of its process, from its start to
// its end. An instance that restarts has none of the state of its previous incarnation.
type Incarnation struct {
	ID string `msgpack:"i"`
	// StartedAt is the start time that the instance reports, in milliseconds since 1970 (Unix
	// time); 0 if it reports none.
	StartedAt int64 `msgpack:"b"`
}

// String returns the ID and the start time, separated by "@", or only the ID if the start time is
// not known.
func (i Incarnation) String() string {
	if i.StartedAt == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.StartedAt, 10)
}

// Incarnation returns the identity of the instance's incarnation.
func (i Instance) Incarnation() Incarnation { return Incarnation{ID: i.ID, StartedAt: i.StartedAt} }

// compareIncarnations orders two incarnations of one instance, the newer one higher. The start
// times that the instances report decide, and never the order in which messages arrive, because a
// message of an older incarnation can be delayed for any time. If an incarnation with an earlier
// start time appears after a later one has ended, for example because the instance's clock was set
// back, a control node assigns it a higher epoch.
func compareIncarnations(one, other Instance) int {
	return cmp.Or(cmp.Compare(one.Epoch, other.Epoch), cmp.Compare(one.StartedAt, other.StartedAt))
}

// endsAnyIncarnation reports whether a message ends the instance regardless of its incarnation. A
// node that does not know the instance creates such a message when the instance leaves without
// naming its start time.
func (i Instance) endsAnyIncarnation() bool {
	return i.State == Gone && i.StartedAt == 0 && i.Sequence == 0
}

// isReplacedBy reports whether a heartbeat is the first one of a newer incarnation. If so, it also
// sets the heartbeat's epoch where a new one is required.
func (e *entry) isReplacedBy(now time.Duration, heartbeat *Instance) bool {
	switch {
	case slices.Contains(e.pastStartTimes, heartbeat.StartedAt):
		return false
	case e.endsAnyIncarnation():
		// The heartbeat may be a late one of the incarnation that has left.
		return now-e.endedAt > maximumHeartbeatDelay
	case heartbeat.StartedAt > e.StartedAt:
		return true
	case e.State == Expired:
		// The instance's clock was set back. The incarnation known here has sent no heartbeat for a
		// lease.
		heartbeat.Epoch = e.Epoch + 1
		return true
	}
	return false
}

// startIncarnation replaces the entry's data by the first message of a new incarnation.
func (e *entry) startIncarnation(now time.Duration, first Instance) {
	if e.StartedAt != 0 {
		e.pastStartTimes = append(e.pastStartTimes, e.StartedAt)
		e.pastStartTimes = e.pastStartTimes[max(0, len(e.pastStartTimes)-maximumPastIncarnations):]
	}
	e.Instance = first
	e.setColdUntil(now)
	e.latestSequence, e.lastContact, e.endedAt = first.Sequence, now, 0
}
