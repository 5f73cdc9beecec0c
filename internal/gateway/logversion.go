package gateway

import (
	"errors"
	"fmt"

	"github.com/ravenway/ravenway/internal/coordination/logversion"
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
	if hello.LogVersion == 0 && hello.ProtocolVersion >= peer.ProtocolSums {
		// Builds that know rollouts, before they told versions.
		return machine.VersionRollouts
	}
	return machine.LogVersion(hello.LogVersion)
}

// lookAtLogVersion finds out who the raise of the log's version waits for.
func (r *replicaDuty) lookAtLogVersion() {
	heard := []logversion.Control{{Address: r.node.address, Reads: machine.OwnLogVersion}}
	for _, known := range r.node.fleet.view.Load().alive {
		if known.Control {
			heard = append(heard, logversion.Control{Address: known.Address, Reads: logVersionOf(known.Hello)})
		}
	}
	var members []string
	for _, member := range r.replica.Core().Configuration().Members {
		members = append(members, member.Node)
	}
	r.raise.Look(r.node.now(), heard, members)
}

// raiseLogVersion raises the log's version once it is due.
func (r *replicaDuty) raiseLogVersion() {
	now := r.node.now()
	if r.machine.LogVersion() >= machine.OwnLogVersion || !r.raise.IsDue(now, r.node.settings.Load().Fleet.UpgradeSettling) {
		return
	}
	command := machine.Command{Version: &machine.VersionCommand{Version: machine.OwnLogVersion}}
	isNewGroup, ready := r.raise.IsNewGroup(), r.raise.ReadyFor(now)
	r.propose(command, func(_ machine.Result, err error) {
		r.node.log.Info().Str("event", "log_version_raised").Uint32("version", uint32(machine.OwnLogVersion)).
			Bool("new_group", isNewGroup).Int64("ready_ms", ready.Milliseconds()).AnErr("error", err).Send()
	})
}
