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
	// BackWithoutLooking downgrades a node without checking whether the log's version was raised.
	BackWithoutLooking
	// LookBeforeTheStop checks the log's version while the node still runs.
	LookBeforeTheStop
	// LookWithoutAWrite checks the log's version with a read. A raise that was proposed before the
	// read and is not committed yet may follow it.
	LookWithoutAWrite
	// BackThoughNobodyWaits downgrades a node that the raise does not wait for: one that lost its
	// disk and is not a member of the group yet.
	BackThoughNobodyWaits
)

const (
	upgradeBegins = 6 * time.Second
	// helloInterval is the time between two hellos of a node.
	helloInterval   = 600 * time.Millisecond
	upgradeSettling = 4 * time.Second
	// goingBack is the share of the upgraded nodes, when chosen again, that are to be downgraded.
	goingBack = 0.3
	// backWait is how long the operator leaves a node stopped before checking whether the log's
	// version was raised. By then no node counts the stopped node as reachable, so that the version
	// can't be raised any more.
	backWait = roster.AliveFor + time.Second
)

// upgradedBuild is the log version that a node's build reads, and what the node knows of the
// builds of the others.
type upgradedBuild struct {
	// reads is the newest version of the log that the node's build reads.
	reads machine.LogVersion
	// heard holds the last hello of each node, by name.
	heard map[string]hello
	raise logversion.Raise
}

type hello struct {
	at    time.Duration
	reads machine.LogVersion
}

// upgrade replaces the builds of a simulation's nodes one after the other.
type upgrade struct {
	*ConsensusSimulation
	defect UpgradeDefect
	// held are the nodes that the operator keeps stopped. The restart that ends a fault does not
	// start them.
	held map[*controlNode]bool
}

// RunUpgrade simulates a group whose nodes are upgraded one after the other, and some downgraded
// again, during the faults of RunConsensus. It runs one seed.
func RunUpgrade(seed uint64, defect UpgradeDefect) *World {
	simulation := newConsensusSimulation(seed, NoDefect)
	u := &upgrade{ConsensusSimulation: simulation, defect: defect, held: map[*controlNode]bool{}}
	simulation.upgrade = u
	simulation.World.Every(helloInterval, u.sayHello)
	simulation.World.Every(helloInterval, u.raiseVersion)
	simulation.World.After(upgradeBegins, u.replaceNext)
	simulation.run()
	u.checkRaised()
	return simulation.World
}

// sayHello sends the log version that each running node's build reads to all nodes.
func (u *upgrade) sayHello() bool {
	for _, from := range u.nodes {
		if from.replica == nil || from.frozen {
			continue
		}
		said := hello{at: u.World.Now, reads: from.build.reads}
		for _, to := range u.nodes {
			life := to.life
			u.network.Send(from.name, to.name, func() {
				if to.life == life && to.replica != nil && !to.frozen {
					to.build.hear(from.name, said)
				}
			})
		}
	}
	return true
}

func (b *upgradedBuild) hear(from string, said hello) {
	if b.heard == nil {
		b.heard = map[string]hello{}
	}
	b.heard[from] = said
}

// raiseVersion does what the replica's duty does at each node of the newer build.
func (u *upgrade) raiseVersion() bool {
	for _, node := range u.nodes {
		if node.replica == nil || node.frozen || node.build.reads < machine.OwnLogVersion {
			continue
		}
		core := node.replica.Core()
		node.build.look(u.World.Now, core.Configuration().Members)
		isDue := node.build.raise.IsDue(u.World.Now, upgradeSettling) || u.defect == RaiseForTheLeaderAlone
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

// look passes the nodes that are reachable, and the members, to the raise.
func (b *upgradedBuild) look(now time.Duration, members []consensus.Member) {
	var heard []logversion.Control
	for name, said := range b.heard {
		if now-said.at <= roster.AliveFor {
			heard = append(heard, logversion.Control{Address: name, Reads: said.reads})
		}
	}
	var names []string
	for _, member := range members {
		names = append(names, member.Node)
	}
	b.raise.Look(now, heard, names)
}

// needs draws the log version that a write at the leader needs. One in two writes is a newer
// command, if the log may hold those.
func (u *upgrade) needs(world *World, leader *controlNode) machine.LogVersion {
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
	if len(u.held) > 0 || node.replica == nil || node.frozen {
		next()
		return
	}
	restart := u.World.Between(100*time.Millisecond, 2*time.Second)
	switch leader := u.leader(); {
	case node.build.reads == machine.VersionFirst:
		u.World.Fault("upgraded")
		u.stop(node, restart, func() { u.start(node, machine.OwnLogVersion) })
	case !u.World.Chance(goingBack):
	case u.defect == LookBeforeTheStop:
		if leader != nil {
			isFirst := leader.machine.version == machine.VersionFirst
			u.stop(node, restart, func() { u.startAgain(node, isFirst) })
		}
	default:
		u.stop(node, backWait, func() { u.lookBeforeGoingBack(node) })
	}
	next()
}

// stop stops a node as the operator does, and calls then after a delay.
func (u *upgrade) stop(node *controlNode, lasting time.Duration, then func()) {
	u.held[node] = true
	u.kill(node)
	u.World.After(lasting, then)
}

func (u *upgrade) start(node *controlNode, reads machine.LogVersion) {
	delete(u.held, node)
	node.build = upgradedBuild{reads: reads, raise: logversion.New(false)}
	u.restart(node)
}

// lookBeforeGoingBack checks whether the log's version was raised, and starts a stopped node with
// the earlier build if it was not.
func (u *upgrade) lookBeforeGoingBack(node *controlNode) {
	leader := u.leader()
	switch {
	case !u.held[node]:
	case u.defect == BackWithoutLooking:
		u.start(node, machine.VersionFirst)
	case leader == nil:
		u.World.After(time.Second, func() { u.lookBeforeGoingBack(node) })
	default:
		u.look(leader, func(version machine.LogVersion, err error) {
			if err != nil {
				u.World.After(time.Second, func() { u.lookBeforeGoingBack(node) })
				return
			}
			isWaitedFor := slices.Contains(leader.build.raise.WaitsFor(), node.name) || u.defect == BackThoughNobodyWaits
			u.startAgain(node, isWaitedFor && version == machine.VersionFirst)
		})
	}
}

// errNoAnswer is returned if the leader did not respond to the operator in time.
var errNoAnswer = errors.New("no response from the leader")

// look reads the log's version once the leader has committed a write: all earlier proposals are
// committed by then, or never will be.
func (u *upgrade) look(leader *controlNode, then func(machine.LogVersion, error)) {
	isAnswered := false
	answer := func(err error) {
		if isAnswered {
			return
		}
		isAnswered = true
		then(leader.machine.version, err)
	}
	u.World.After(2*time.Second, func() { answer(errNoAnswer) })
	if u.defect == LookWithoutAWrite {
		leader.replica.Read(answer)
	} else {
		data, err := msgpack.Marshal(&registerCommand{IsMarker: true})
		if err != nil {
			panic(err)
		}
		leader.replica.Propose(data, func(_ any, err error) { answer(err) })
	}
	u.flush(leader)
}

// startAgain starts a stopped node with the earlier build if goesBack is set, and otherwise with
// the one it had.
func (u *upgrade) startAgain(node *controlNode, goesBack bool) {
	if !u.held[node] {
		return
	}
	reads := machine.OwnLogVersion
	if goesBack {
		u.World.Fault("went_back")
		reads = machine.VersionFirst
	}
	u.start(node, reads)
}

// finish upgrades all nodes to the newer build.
func (u *upgrade) finish() {
	for _, node := range u.nodes {
		if node.build.reads < machine.OwnLogVersion {
			u.kill(node)
			u.start(node, machine.OwnLogVersion)
		}
	}
	clear(u.held)
}

// checkRaised checks that the log's version was raised at all nodes, which have the newer build.
func (u *upgrade) checkRaised() {
	if u.World.Broken != nil {
		return
	}
	for _, node := range u.nodes {
		if node.machine.version != machine.OwnLogVersion {
			u.World.Check(fmt.Errorf("%s has the log at version %d though all builds read %d", node.name, node.machine.version, machine.OwnLogVersion))
		}
	}
}
