package gateway

import (
	"sync"
	"time"
)

const (
	// refusedLineInterval is the minimum time between two log lines on refused heartbeats of one
	// instance for the same reason.
	refusedLineInterval = 10 * time.Second
	// maximumRefusedKept is the maximum number of pairs of instance and reason that are remembered
	// for that.
	maximumRefusedKept = 256
)

// refusedHeartbeats limits the log lines on heartbeats that can't be used: an instance that sends
// one invalid heartbeat usually sends one every second.
type refusedHeartbeats struct {
	mutex sync.Mutex
	// written is when the last line was logged, by instance and reason.
	written map[[2]string]time.Duration
}

// isDue reports whether a line is due, and records it as logged.
func (r *refusedHeartbeats) isDue(now time.Duration, id, reason string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := [2]string{id, reason}
	if at, found := r.written[key]; found && now-at < refusedLineInterval {
		return false
	}
	if r.written == nil || len(r.written) >= maximumRefusedKept {
		r.written = map[[2]string]time.Duration{}
	}
	r.written[key] = now
	return true
}

// HeartbeatRefused implements Control. A known engine stays in use with its last valid heartbeat
// until its lease, the time for which a heartbeat is valid, expires: invalid bytes may come from
// another sender and say nothing about the engine.
func (n *Node) HeartbeatRefused(id string, err error) {
	if n.refused.isDue(n.now(), id, err.Error()) {
		n.log.Warn().Str("event", "heartbeat_refused").Str("instance", id).Err(err).Send()
	}
}
