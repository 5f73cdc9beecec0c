package simulate

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
	"github.com/ravenway/ravenway/internal/coordination/logversion"
	"github.com/ravenway/ravenway/internal/coordination/roster"
	"github.com/ravenway/ravenway/internal/state/machine"
)

// UpgradeDefect is a deliberate violation of the rules of an upgrade that the simulation must
// detect.
type UpgradeDefect int

const (
	// UpgradeNoDefect runs the real code.
	UpgradeNoDefect UpgradeDefect = iota
	// RaiseForTheLeaderAlone raises the log's version as soon as the leader's build reads it.
	RaiseForTheLeaderAlone
	// NewerWithoutRaise proposes newer commands regardless of the log's version.
	NewerWithoutRaise
	// DowngradeWithoutCheck downgrades a node without checking whether the log's version was raised.
	DowngradeWithoutCheck
	// CheckBeforeStop checks the log's version while the node still runs.
	CheckBeforeStop
	// CheckWithRead checks the log's version with a read. A raise that was proposed before the
	// read and is not committed yet may follow it.
	CheckWithRead
	// DowngradeUnawaitedNode downgrades a node that the raise does not wait for: one that lost its
	// disk and is not a member of the group yet.
	DowngradeUnawaitedNode
)

const (
	upgradeStart = 6 * time.Second
	// helloInterval is the time between two hellos of a node.
	helloInterval   = 600 * time.Millisecond
	raiseSettleTime = 4 * time.Second
	// downgradeShare is the probability that an upgraded node is to be downgraded when it is chosen
	// again.
	downgradeShare = 0.3
	// downgradeWait is how long the operator leaves a node stopped before checking whether the log's
	// version was raised. By then no node counts the stopped node as reachable, so that the version
	// can't be raised any more.
	downgradeWait = roster.AliveFor + time.Second
)

// upgradedBuild is the log version that a node's build reads, and what the node knows of the
// builds of the others.
type upgradedBuild struct {
	// reads is the newest version of the log that the node's build reads.
	reads machine.LogVersion
	// hellos holds the last hello of each node, by name.
	hellos map[string]hello
	// readiness decides when the log's version is to be raised.
	readiness logversion.Readiness
}

type hello struct {
	at    time.Duration
	reads machine.LogVersion
}

// upgrade replaces the builds of a simulation's nodes one after the other.
type upgrade struct {
	*ConsensusSimulation
	defect UpgradeDefect
	// stopped are the nodes that the operator keeps stopped. The restart that ends a fault does not
	// start them.
	stopped map[*controlNode]bool
}

// RunUpgrade simulates a group whose nodes are upgraded one after the other, and some downgraded
// again, during the faults of RunConsensus. It runs one seed.
func RunUpgrade(seed uint64, defect UpgradeDefect) *World {
	simulation := newConsensusSimulation(seed, NoDefect)
	u := &upgrade{ConsensusSimulation: simulation, defect: defect, stopped: map[*controlNode]bool{}}
	simulation.upgrade = u
	simulation.World.Every(helloInterval, u.sendHellos)
	simulation.World.Every(helloInterval, u.raiseVersion)
	simulation.World.After(upgradeStart, u.replaceNext)
	simulation.run()
	u.checkRaised()
	return simulation.World
}

// sendHellos sends the log version that each running node's build reads to all nodes.
func (u *upgrade) sendHellos() bool {
	for _, from := range u.nodes {
		if from.replica == nil || from.isFrozen {
			continue
		}
		message := hello{at: u.World.Now, reads: from.build.reads}
		for _, to := range u.nodes {
			incarnation := to.incarnation
			u.network.Send(from.name, to.name, func() {
				if to.incarnation == incarnation && to.replica != nil && !to.isFrozen {
					to.build.receiveHello(from.name, message)
				}
			})
		}
	}
	return true
}

func (b *upgradedBuild) receiveHello(from string, message hello) {
	if b.hellos == nil {
		b.hellos = map[string]hello{}
	}
	b.hellos[from] = message
}

// raiseVersion does what the replica's duty does at each node of the newer build.
func (u *upgrade) raiseVersion() bool {
	for _, node := range u.nodes {
		if node.replica == nil || node.isFrozen || node.build.reads < machine.OwnLogVersion {
			continue
		}
		core := node.replica.Core()
		node.build.updateReadiness(u.World.Now, core.Configuration().Members)
		isDue := node.build.readiness.IsDue(u.World.Now, raiseSettleTime) || u.defect == RaiseForTheLeaderAlone
		if core.Role() != consensus.Leader || node.machine.version >= machine.OwnLogVersion || !isDue {
			continue
		}
		data, err := msgpack.Marshal(&registerCommand{Raise: machine.OwnLogVersion})
		if err != nil {
			panic(err)
		}
		node.replica.Propose(data, func(any, error) {})
		u.flush(node)
	}
	return true
}

// updateReadiness passes the nodes that are reachable, and the members, to the readiness.
func (b *upgradedBuild) updateReadiness(now time.Duration, members []consensus.Member) {
	var reachable []logversion.NodeVersion
	for name, message := range b.hellos {
		if now-message.at <= roster.AliveFor {
			reachable = append(reachable, logversion.NodeVersion{Address: name, Reads: message.reads})
		}
	}
	var memberNames []string
	for _, member := range members {
		memberNames = append(memberNames, member.Node)
	}
	b.readiness.Update(now, reachable, memberNames)
}

// neededVersion draws the log version that a write at the leader needs. One in two writes is a newer
// command, if the log may hold those.
func (u *upgrade) neededVersion(world *World, leader *controlNode) machine.LogVersion {
	if u == nil {
		return machine.VersionFirst
	}
	mayBeNewer := leader.machine.version >= machine.OwnLogVersion || u.defect == NewerWithoutRaise && leader.build.reads > machine.VersionFirst
	if !mayBeNewer || !world.Chance(0.5) {
		return machine.VersionFirst
	}
	world.Fault("newer_command")
	return machine.OwnLogVersion
}

// replaceNext replaces the build of a random node, and schedules the next replacement.
func (u *upgrade) replaceNext() {
	if u.healed {
		return
	}
	next := func() { u.World.After(u.World.Between(time.Second, 6*time.Second), u.replaceNext) }
	node := u.nodes[u.World.Random.IntN(len(u.nodes))]
	if len(u.stopped) > 0 || node.replica == nil || node.isFrozen {
		next()
		return
	}
	restart := u.World.Between(100*time.Millisecond, 2*time.Second)
	switch leader := u.leader(); {
	case node.build.reads == machine.VersionFirst:
		u.World.Fault("upgraded")
		u.stop(node, restart, func() { u.start(node, machine.OwnLogVersion) })
	case !u.World.Chance(downgradeShare):
	case u.defect == CheckBeforeStop:
		if leader != nil {
			isFirst := leader.machine.version == machine.VersionFirst
			u.stop(node, restart, func() { u.startWithBuild(node, isFirst) })
		}
	default:
		u.stop(node, downgradeWait, func() { u.checkBeforeDowngrade(node) })
	}
	next()
}

// stop stops a node as the operator does, and calls then after a delay.
func (u *upgrade) stop(node *controlNode, duration time.Duration, then func()) {
	u.stopped[node] = true
	u.kill(node)
	u.World.After(duration, then)
}

func (u *upgrade) start(node *controlNode, reads machine.LogVersion) {
	delete(u.stopped, node)
	node.build = upgradedBuild{reads: reads, readiness: logversion.New(false)}
	u.restart(node)
}

// checkBeforeDowngrade checks whether the log's version was raised, and starts a stopped node with
// the earlier build if it was not.
func (u *upgrade) checkBeforeDowngrade(node *controlNode) {
	leader := u.leader()
	switch {
	case !u.stopped[node]:
	case u.defect == DowngradeWithoutCheck:
		u.start(node, machine.VersionFirst)
	case leader == nil:
		u.World.After(time.Second, func() { u.checkBeforeDowngrade(node) })
	default:
		u.readVersion(leader, func(version machine.LogVersion, err error) {
			if err != nil {
				u.World.After(time.Second, func() { u.checkBeforeDowngrade(node) })
				return
			}
			isWaitedFor := slices.Contains(leader.build.readiness.WaitsFor(), node.name) || u.defect == DowngradeUnawaitedNode
			u.startWithBuild(node, isWaitedFor && version == machine.VersionFirst)
		})
	}
}

// errNoResponse is returned if the leader did not respond to the operator in time.
var errNoResponse = errors.New("no response from the leader")

// readVersion reads the log's version once the leader has committed a write: all earlier proposals
// are committed by then, or never will be.
func (u *upgrade) readVersion(leader *controlNode, then func(machine.LogVersion, error)) {
	isFinished := false
	finish := func(err error) {
		if isFinished {
			return
		}
		isFinished = true
		then(leader.machine.version, err)
	}
	u.World.After(2*time.Second, func() { finish(errNoResponse) })
	if u.defect == CheckWithRead {
		leader.replica.Read(finish)
	} else {
		data, err := msgpack.Marshal(&registerCommand{IsMarker: true})
		if err != nil {
			panic(err)
		}
		leader.replica.Propose(data, func(_ any, err error) { finish(err) })
	}
	u.flush(leader)
}

// startWithBuild starts a stopped node with the earlier build if isDowngrade is set, and otherwise
// with the one it had.
func (u *upgrade) startWithBuild(node *controlNode, isDowngrade bool) {
	if !u.stopped[node] {
		return
	}
	reads := machine.OwnLogVersion
	if isDowngrade {
		u.World.Fault("went_back")
		reads = machine.VersionFirst
	}
	u.start(node, reads)
}

// upgradeAll upgrades all nodes to the newer build.
func (u *upgrade) upgradeAll() {
	for _, node := range u.nodes {
		if node.build.reads < machine.OwnLogVersion {
			u.kill(node)
			u.start(node, machine.OwnLogVersion)
		}
	}
	clear(u.stopped)
}

// checkRaised checks that the log's version was raised at all nodes, which have the newer build.
func (u *upgrade) checkRaised() {
	if u.World.Violation != nil {
		return
	}
	for _, node := range u.nodes {
		if node.machine.version != machine.OwnLogVersion {
			u.World.Check(fmt.Errorf("%s has the log at version %d though all builds read %d", node.name, node.machine.version, machine.OwnLogVersion))
		}
	}
}
