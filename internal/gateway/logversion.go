package gateway

import (
	"errors"
	"fmt"

	"github.com/ravenway/ravenway/internal/coordination/logversion"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/machine"
)

// errNewerLog means that the log on disk has a version of a later build.
var errNewerLog = errors.New("gateway: the log holds commands that this build can't read")

// checkLogVersion refuses a log whose version is higher than this build reads: this build would
// apply some entries differently from the other replicas.
func checkLogVersion(state *machine.Machine) error {
	if version := state.LogVersion(); version > machine.OwnLogVersion {
		return fmt.Errorf("%w: it has version %d, this build reads up to %d: start the build that the fleet was upgraded to", errNewerLog, version, machine.OwnLogVersion)
	}
	return nil
}

// logVersionOf is the newest version of the log that a control node reads.
func logVersionOf(hello peer.Hello) machine.LogVersion {
	if hello.LogVersion == 0 && hello.ProtocolVersion >= peer.ProtocolSums {
		// These builds support rollouts but do not report a log version yet.
		return machine.VersionRollouts
	}
	return machine.LogVersion(hello.LogVersion)
}

// updateLogVersionRaise updates which control nodes delay the raise of the log's version.
func (r *replicaDuty) updateLogVersionRaise() {
	controls := []logversion.NodeVersion{{Address: r.node.address, Reads: machine.OwnLogVersion}}
	for _, known := range r.node.fleet.view.Load().alive {
		if known.Control {
			controls = append(controls, logversion.NodeVersion{Address: known.Address, Reads: logVersionOf(known.Hello)})
		}
	}
	var members []string
	for _, member := range r.replica.Core().Configuration().Members {
		members = append(members, member.Node)
	}
	r.raise.Update(r.node.now(), controls, members)
}

// raiseLogVersion raises the log's version once it is due: all control nodes run a build that reads
// the new version, and have done so for the settling time, in which the fleet can still return to
// its earlier build.
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
