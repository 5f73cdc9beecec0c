package streamversion

import (
	"sync"
	"time"
)

// History records which versions of each service were listed when, to tell which version a stream of
// which there is no record must have begun on. It is safe for concurrent use.
type History struct {
	mutex sync.Mutex
	// listedAt holds when each version of each service was last listed.
	listedAt map[string]map[string]time.Duration
	// informedSince is since when this node has been informed of all instances without interruption,
	// if isInformed is set.
	informedSince time.Duration
	isInformed    bool
}

// NewHistory returns the history of a node that has just started: it knows nothing of the past.
func NewHistory() *History { return &History{listedAt: map[string]map[string]time.Duration{}} }

// SetInformed records whether this node is informed of all instances now.
func (h *History) SetInformed(now time.Duration, isInformed bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if isInformed && !h.isInformed {
		h.informedSince = now
	}
	h.isInformed = isInformed
}

// Listed records that an instance of a version of a service is listed now, in whatever state.
func (h *History) Listed(now time.Duration, service, version string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.listedAt[service] == nil {
		h.listedAt[service] = map[string]time.Duration{}
	}
	h.listedAt[service][version] = now
}

// Ended records that this node learned of an instance that has ended. Unless the node was informed until then, the
// instance may have ended long ago: nodes that have just started learn of all that have ended in the last minutes.
func (h *History) Ended(now time.Duration, service, version string) {
	h.mutex.Lock()
	isInformed := h.isInformed
	h.mutex.Unlock()
	if isInformed {
		h.Listed(now, service, version)
	}
}

// Prune forgets versions that were last listed longer than the longest lifetime of a stream ago.
func (h *History) Prune(now time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for service, versions := range h.listedAt {
		for version, listedAt := range versions {
			if now-listedAt > MaximumLifetime {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.listedAt, service)
		}
	}
}

// OnlyVersion returns the version of a service if certainly all its instances had it throughout the
// given period until now.
func (h *History) OnlyVersion(now time.Duration, service string, period time.Duration) (version string, isOnly bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	versions := h.listedSince(now-period, service)
	if !h.isInformed || now-h.informedSince < period || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// HasSeveralVersions reports whether this node has known of several versions of a service in the given
// period until now, however long it was informed.
func (h *History) HasSeveralVersions(now time.Duration, service string, period time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.listedSince(now-period, service)) > 1
}

func (h *History) listedSince(start time.Duration, service string) (versions []string) {
	for version, listedAt := range h.listedAt[service] {
		if listedAt >= start {
			versions = append(versions, version)
		}
	}
	return versions
}
