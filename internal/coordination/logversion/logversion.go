// Package logversion decides when the version of the replicated log may be raised: once the builds of
// all control nodes read the new version, and have done so for a settling time in which the fleet can
// still be rolled back to its earlier build.
//
// It has no clock or network access: the caller passes in times of a monotonic clock and the control
// nodes that are reachable.
package logversion

import (
	"time"

	"github.com/ravenway/ravenway/internal/state/machine"
)

// NodeVersion is the log version that the build of a reachable control node reads.
type NodeVersion struct {
	Address string
	// Reads is the newest version of the log that its build reads.
	Reads machine.LogVersion
}

// Readiness tracks when the log's version may be raised to that of this build. Each control node keeps one,
// so that a new leader knows since when no node has prevented the raise.
type Readiness struct {
	// readySince is the time since which all control nodes read the newest version, if isReady is set.
	readySince time.Duration
	isReady    bool
	isNewGroup bool
	waitsFor   []string
}

// New returns the Readiness of a node that starts. isNewGroup reports that, as far as the node knows, no
// earlier build can have held the group's log.
func New(isNewGroup bool) Readiness { return Readiness{isNewGroup: isNewGroup} }

// Update updates the state from the reachable control nodes, this one included, and the addresses
// of the group's members.
func (r *Readiness) Update(now time.Duration, reachable []NodeVersion, members []string) {
	r.waitsFor = nil
	isReachable := make(map[string]bool, len(reachable))
	for _, control := range reachable {
		isReachable[control.Address] = true
		if control.Reads < machine.OwnLogVersion {
			r.waitsFor = append(r.waitsFor, control.Address)
			r.isNewGroup = false
		}
	}
	for _, member := range members {
		if !isReachable[member] {
			r.waitsFor = append(r.waitsFor, member)
		}
	}
	isReady := len(r.waitsFor) == 0
	if isReady && !r.isReady {
		r.readySince = now
	}
	r.isReady = isReady
}

// IsDue reports whether the log's version is to be raised now.
func (r *Readiness) IsDue(now, settling time.Duration) bool {
	return r.isReady && (r.isNewGroup || now-r.readySince >= settling)
}

// ReadyFor returns for how long no node has prevented the raise; 0 if one does.
func (r *Readiness) ReadyFor(now time.Duration) time.Duration {
	if !r.isReady {
		return 0
	}
	return now - r.readySince
}

// IsNewGroup reports whether the group was bootstrapped since this node started, and no earlier build
// was seen since.
func (r *Readiness) IsNewGroup() bool { return r.isNewGroup }

// WaitsFor returns the control nodes that don't read the newest version, and the members of the group
// that are not reachable.
func (r *Readiness) WaitsFor() []string { return r.waitsFor }
