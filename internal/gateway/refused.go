package gateway

import (
	"sync"
	"time"
)

const (
	// refusedLinePause is the least time between two lines on heartbeats of one writer
	// that can't be used for one reason.
	refusedLinePause = 10 * time.Second
	// refusedKept bounds the writers and reasons that are remembered for that.
	refusedKept = 256
)

// refusedHeartbeats bounds the lines on heartbeats that can't be used: a writer that is
// wrong once is wrong each second.
type refusedHeartbeats struct {
	mutex sync.Mutex
	// written is when the last line was, by writer and reason.
	written map[[2]string]time.Duration
}

// isDue tells whether a line is due, and notes it.
func (r *refusedHeartbeats) isDue(now time.Duration, id, reason string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := [2]string{id, reason}
	if at, found := r.written[key]; found && now-at < refusedLinePause {
		return false
	}
	if r.written == nil || len(r.written) >= refusedKept {
		r.written = map[[2]string]time.Duration{}
	}
	r.written[key] = now
	return true
}

// HeartbeatRefused implements Control. An engine that was known is used on with what it
// last said until its lease ends: another writer's bytes are no word of it.
func (n *Node) HeartbeatRefused(id string, err error) {
	if n.refused.isDue(n.now(), id, err.Error()) {
		n.log.Warn().Str("event", "heartbeat_refused").Str("instance", id).Err(err).Send()
	}
}
