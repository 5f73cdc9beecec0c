// Package logversion decides when the version of the replicated log may rise: once all
// control nodes read what it then may hold, and have done so for a settling time, in which
// the fleet may be given its earlier build again.
//
// It is pure: times are those of a steady clock of the caller, and who is heard is told.
package logversion

import (
	"time"

	"github.com/ravenway/ravenway/internal/state/machine"
)

// Control is a control node that is heard now.
type Control struct {
	Address string
	// Reads is the newest version of the log that its build reads.
	Reads machine.LogVersion
}

// Raise is when the log's version may be raised to this build's. Each control node keeps
// one, so that a new leader knows since when nobody stands in the way.
type Raise struct {
	// readySince is since when all control nodes read the newest version, if isReady is set.
	readySince time.Duration
	isReady    bool
	isNewGroup bool
	waitsFor   []string
}

// New makes the raise of a node that starts. isNewGroup tells that no earlier build can have
// held the group's log, as far as it knows.
func New(isNewGroup bool) Raise { return Raise{isNewGroup: isNewGroup} }

// Look takes the control nodes that are heard, this one included, and the addresses of the
// group's members.
func (r *Raise) Look(now time.Duration, heard []Control, members []string) {
	r.waitsFor = nil
	isHeard := make(map[string]bool, len(heard))
	for _, control := range heard {
		isHeard[control.Address] = true
		if control.Reads < machine.OwnLogVersion {
			r.waitsFor = append(r.waitsFor, control.Address)
			r.isNewGroup = false
		}
	}
	for _, member := range members {
		if !isHeard[member] {
			r.waitsFor = append(r.waitsFor, member)
		}
	}
	isReady := len(r.waitsFor) == 0
	if isReady && !r.isReady {
		r.readySince = now
	}
	r.isReady = isReady
}

// IsDue tells whether the log's version is to be raised now.
func (r *Raise) IsDue(now, settling time.Duration) bool {
	return r.isReady && (r.isNewGroup || now-r.readySince >= settling)
}

// ReadyFor is how long nobody has stood in the way, 0 if somebody does.
func (r *Raise) ReadyFor(now time.Duration) time.Duration {
	if !r.isReady {
		return 0
	}
	return now - r.readySince
}

// IsNewGroup tells that the group was founded since this node started, and that no earlier
// build was heard.
func (r *Raise) IsNewGroup() bool { return r.isNewGroup }

// WaitsFor are the control nodes that don't read the newest version, and members of the
// group that are not heard.
func (r *Raise) WaitsFor() []string { return r.waitsFor }
