package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/machine"
)

// errNewerLog says that the disk holds a log of a later build's version.
var errNewerLog = errors.New("gateway: the log holds commands that this build can't read")

// checkLogVersion refuses a log that a later build has written to since it was raised: this
// build would apply some of it otherwise than the other replicas.
func checkLogVersion(state *machine.Machine) error {
	if held := state.LogVersion(); held > machine.OwnLogVersion {
		return fmt.Errorf("%w: it has version %d, this build reads up to %d: start the build that the fleet was upgraded to", errNewerLog, held, machine.OwnLogVersion)
	}
	return nil
}

// logVersionOf is the newest version of the log that a control node reads.
func logVersionOf(hello peer.Hello) machine.LogVersion {
	if hello.LogVersion == 0 && hello.Dialect >= peer.DialectSums {
		// Builds that know rollouts, before they told versions.
		return machine.VersionRollouts
	}
	return machine.LogVersion(hello.LogVersion)
}

// logVersionRaise is when the log's version may be raised.
type logVersionRaise struct {
	// readySince is since when all control nodes read the newest one, if isReady is set.
	readySince time.Duration
	isReady    bool
	// isNewGroup tells that the group was founded since this node started, and that no
	// earlier build was heard: none has held its log.
	isNewGroup bool
	// waitsFor are the control nodes that don't read it, or are not heard.
	waitsFor []string
}

// lookAtLogVersion finds out who the raise of the log's version waits for, at each control
// node, so that a new leader knows since when nobody has.
func (r *replicaDuty) lookAtLogVersion() {
	now := r.node.now()
	var hasOlder bool
	r.raise.waitsFor, hasOlder = r.behindLogVersion()
	r.raise.isNewGroup = r.raise.isNewGroup && !hasOlder
	isReady := len(r.raise.waitsFor) == 0
	if isReady && !r.raise.isReady {
		r.raise.readySince = now
	}
	r.raise.isReady = isReady
}

// behindLogVersion are the control nodes that don't read the newest version of the log,
// and members of the group that are not heard; hasOlder tells that there are some of the
// former.
func (r *replicaDuty) behindLogVersion() (behind []string, hasOlder bool) {
	reads := map[string]bool{r.node.address: true}
	for _, known := range r.node.fleet.view.Load().alive {
		if !known.Control {
			continue
		}
		reads[known.Address] = true
		if logVersionOf(known.Hello) < machine.OwnLogVersion {
			behind, hasOlder = append(behind, known.Address), true
		}
	}
	for _, member := range r.replica.Core().Configuration().Members {
		if !reads[member.Node] {
			behind = append(behind, member.Node)
		}
	}
	return behind, hasOlder
}

// raiseLogVersion raises the log's version once all control nodes have read the newest one
// for the settling time, in which the fleet may be given the earlier build again.
func (r *replicaDuty) raiseLogVersion() {
	if r.machine.LogVersion() >= machine.OwnLogVersion || !r.raise.isReady {
		return
	}
	settling := r.node.settings.Load().Fleet.UpgradeSettling
	if !r.raise.isNewGroup && r.node.now()-r.raise.readySince < settling {
		return
	}
	command := machine.Command{Version: &machine.VersionCommand{Version: machine.OwnLogVersion}}
	r.propose(command, func(_ machine.Result, err error) {
		r.node.log.Info().Str("event", "log_version_raised").Uint32("version", uint32(machine.OwnLogVersion)).
			Bool("new_group", r.raise.isNewGroup).Int64("ready_ms", (r.node.now()-r.raise.readySince).Milliseconds()).AnErr("error", err).Send()
	})
}
