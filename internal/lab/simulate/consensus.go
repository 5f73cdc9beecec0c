package simulate

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
	"github.com/ravenway/ravenway/internal/state/disk"
	"github.com/ravenway/ravenway/internal/state/machine"
)

const (
	consensusTick      = 100 * time.Millisecond
	consensusRunTime   = 60 * time.Second
	consensusHealTime  = 20 * time.Second
	consensusClients   = 4
	consensusRegisters = 3
	// snapshotEveryEntries is low so that snapshots and compaction happen often.
	snapshotEveryEntries = 25
)

// ConsensusDefect is a deliberate defect of the replicated log that the simulation must detect.
type ConsensusDefect int

const (
	// NoDefect runs the real code.
	NoDefect ConsensusDefect = iota
	// EmptyDiskKeepsIdentity lets a replica with an erased disk vote under its old identity.
	EmptyDiskKeepsIdentity
	// ReadWithoutQuorum answers reads from the leader's memory without contacting a quorum.
	ReadWithoutQuorum
	// DiskWithoutSync acknowledges before data is synced.
	DiskWithoutSync
)

// registerCommand writes one register, unless Raise or IsMarker is set.
type registerCommand struct {
	Register int
	Value    uint64
	// Raise raises the version of the log instead.
	Raise machine.LogVersion `msgpack:",omitempty"`
	// Needs is the version of the log that a build must read to apply the command.
	Needs machine.LogVersion `msgpack:",omitempty"`
	// IsMarker makes the command change nothing: its commit shows that all earlier proposals are
	// committed or never will be.
	IsMarker bool `msgpack:",omitempty"`
}

// registerMachine is the state machine of the consensus simulation.
type registerMachine struct {
	values  [consensusRegisters]uint64
	version machine.LogVersion
	// reads is the newest version of the log that the node's build reads. hasMissed reports whether
	// the machine had to apply a command of a newer version, since when its state differs.
	reads     machine.LogVersion
	hasMissed bool
}

func (m *registerMachine) Apply(_ uint64, data []byte) any {
	var command registerCommand
	if err := msgpack.Unmarshal(data, &command); err != nil {
		panic(err)
	}
	switch {
	case command.IsMarker:
	case command.Raise > 0:
		// A build that does not know the command refuses it and keeps its state.
		if m.reads > machine.VersionFirst {
			m.version = max(m.version, command.Raise)
		}
	case command.Needs > m.reads:
		m.hasMissed = true
	default:
		m.values[command.Register] = command.Value
	}
	return command.Value
}

func (m *registerMachine) Snapshot() ([]byte, error) {
	data, err := binary.Append(nil, binary.BigEndian, m.values[:])
	if err != nil || m.version == machine.VersionFirst {
		return data, err
	}
	return binary.Append(data, binary.BigEndian, m.version)
}

func (m *registerMachine) Restore(data []byte) error {
	reader := bytes.NewReader(data)
	if err := binary.Read(reader, binary.BigEndian, m.values[:]); err != nil {
		return err
	}
	m.version = machine.VersionFirst
	if reader.Len() == 0 || m.reads == machine.VersionFirst {
		return nil
	}
	return binary.Read(reader, binary.BigEndian, &m.version)
}

// controlNode is one simulated control node.
type controlNode struct {
	name     string
	id       consensus.ReplicaID
	disk     *disk.Simulated
	replica  *consensus.Replica
	machine  *registerMachine
	isFrozen bool
	// pending are the messages that arrived while the node was frozen.
	pending     []consensus.Message
	incarnation int
	// build is the state of the node that depends on its build.
	build upgradedBuild
}

// ConsensusSimulation is a group of control replicas under faults.
type ConsensusSimulation struct {
	World   *World
	network *Network
	defect  ConsensusDefect
	nodes   []*controlNode
	byID    map[consensus.ReplicaID]*controlNode
	nextID  consensus.ReplicaID

	leaderOfTerm map[uint64]consensus.ReplicaID
	committed    map[uint64]committedEntry
	operations   []porcupine.Operation
	nextValue    uint64
	healed       bool
	// upgrade replaces the builds of the nodes during the run; nil if all have the same build.
	upgrade *upgrade
}

type committedEntry struct {
	term uint64
}

// RunConsensus simulates the replicated log under faults. It runs one seed; Violation of the returned
// world is the violated invariant, if any.
func RunConsensus(seed uint64, defect ConsensusDefect) *World {
	return newConsensusSimulation(seed, defect).run()
}

func newConsensusSimulation(seed uint64, defect ConsensusDefect) *ConsensusSimulation {
	simulation := &ConsensusSimulation{
		World: NewWorld(seed), defect: defect,
		byID:         map[consensus.ReplicaID]*controlNode{},
		leaderOfTerm: map[uint64]consensus.ReplicaID{}, committed: map[uint64]committedEntry{},
	}
	simulation.network = NewNetwork(simulation.World)
	simulation.network.MaximumDelay = 20 * time.Millisecond
	simulation.network.Loss = 0.02
	simulation.network.Duplication = 0.02
	return simulation
}

func (s *ConsensusSimulation) run() *World {
	s.start()
	s.World.RunUntil(consensusRunTime)
	s.heal()
	s.World.RunUntil(consensusRunTime + consensusHealTime)
	s.checkAfterHeal()
	return s.World
}

func (s *ConsensusSimulation) start() {
	for number := range 3 {
		node := &controlNode{name: fmt.Sprintf("control-%d", number+1), disk: disk.NewSimulated(s.World.Random)}
		s.nodes = append(s.nodes, node)
		s.boot(node, number == 0)
	}
	s.World.Every(500*time.Millisecond, s.manageMembers)
	for client := range consensusClients {
		s.World.After(5*time.Second, func() { s.runClient(client) })
	}
	s.World.After(8*time.Second, s.injectFault)
}

// boot starts the process of a node. A node with an empty disk gets a new identity.
func (s *ConsensusSimulation) boot(node *controlNode, bootstrap bool) {
	names, _ := node.disk.List()
	if len(names) == 0 && (node.id == 0 || s.defect != EmptyDiskKeepsIdentity) {
		s.nextID++
		node.id = s.nextID
	}
	s.byID[node.id] = node
	node.incarnation++
	node.machine = &registerMachine{reads: node.build.reads}
	options := consensus.ReplicaOptions{
		ID: node.id, StartTicks: 3, Random: s.World.Random, FileSystem: node.disk, SegmentBytes: 2 << 10,
		SnapshotEvery: snapshotEveryEntries, Machine: node.machine,
		Send: func(message consensus.Message) { s.send(node, message) },
	}
	if s.defect == DiskWithoutSync {
		options.FileSystem = unsyncedDisk{node.disk}
	}
	if bootstrap {
		options.Bootstrap = []consensus.Member{{ID: node.id, Node: node.name}}
	}
	replica, err := consensus.OpenReplica(options)
	if err != nil {
		s.World.Check(fmt.Errorf("%s does not start: %w", node.name, err))
		return
	}
	node.replica = replica
	incarnation := node.incarnation
	s.World.Every(consensusTick, func() bool {
		if node.incarnation != incarnation {
			return false
		}
		if !node.isFrozen {
			node.replica.Tick()
			s.flush(node)
		}
		return true
	})
}

func (s *ConsensusSimulation) send(from *controlNode, message consensus.Message) {
	target := s.byID[message.To]
	if target == nil {
		return
	}
	s.network.Send(from.name, target.name, func() { s.deliver(target, message) })
}

func (s *ConsensusSimulation) deliver(node *controlNode, message consensus.Message) {
	if node.replica == nil {
		return
	}
	if node.isFrozen {
		node.pending = append(node.pending, message)
		return
	}
	node.replica.Step(message)
	s.flush(node)
}

func (s *ConsensusSimulation) flush(node *controlNode) {
	if node.replica == nil {
		return
	}
	if err := node.replica.Flush(); err != nil {
		s.World.Check(fmt.Errorf("%s: flush: %w", node.name, err))
		return
	}
	s.checkNode(node)
}

// checkNode checks the invariants of one replica after each of its steps.
func (s *ConsensusSimulation) checkNode(node *controlNode) {
	core := node.replica.Core()
	if core.Role() == consensus.Leader {
		known, found := s.leaderOfTerm[core.Term()]
		if found && known != core.ID() {
			s.World.Check(fmt.Errorf("two leaders in term %d: %d and %d", core.Term(), known, core.ID()))
		}
		s.leaderOfTerm[core.Term()] = core.ID()
	}
	commit := core.Commit()
	term, found := core.EntryTerm(commit)
	if !found {
		return
	}
	entry := committedEntry{term: term}
	known, found := s.committed[commit]
	if found && known != entry {
		s.World.Check(fmt.Errorf("entry %d was committed with term %d, and %s has it with term %d", commit, known.term, node.name, term))
		return
	}
	s.committed[commit] = entry
	if node.machine.hasMissed {
		s.World.Check(fmt.Errorf("%s had to apply a command that its build can't read", node.name))
	}
	s.World.Check(nil)
}

// manageMembers does what the daemon's membership duty does on the leader: it adds new identities
// as learners, promotes them once they hold the log, and removes the old identity of the same
// node.
func (s *ConsensusSimulation) manageMembers() bool {
	leader := s.leader()
	if leader == nil {
		return true
	}
	core := leader.replica.Core()
	for _, node := range s.nodes {
		if node.replica == nil || !s.network.Reachable(node.name, leader.name) {
			continue
		}
		for _, member := range core.Configuration().Members {
			if member.Node == node.name && member.ID != node.id {
				_ = core.RemoveMember(member.ID)
			}
		}
		_ = core.AddLearner(consensus.Member{ID: node.id, Node: node.name})
		_ = core.Promote(node.id)
	}
	s.flush(leader)
	return true
}

func (s *ConsensusSimulation) leader() *controlNode {
	var leader *controlNode
	for _, node := range s.nodes {
		if node.replica == nil || node.isFrozen || node.replica.Core().Role() != consensus.Leader {
			continue
		}
		if leader == nil || node.replica.Core().Term() > leader.replica.Core().Term() {
			leader = node
		}
	}
	return leader
}

// runClient performs one read or write at a random node, if that is a leader, and records it.
func (s *ConsensusSimulation) runClient(client int) {
	if s.healed {
		return
	}
	node := s.nodes[s.World.Random.IntN(len(s.nodes))]
	next := func() {
		s.World.After(s.World.Between(10*time.Millisecond, 200*time.Millisecond), func() { s.runClient(client) })
	}
	if node.replica == nil || node.isFrozen || node.replica.Core().Role() != consensus.Leader {
		next()
		return
	}
	register := s.World.Random.IntN(consensusRegisters)
	operation := porcupine.Operation{ClientId: client, Call: int64(s.World.Now)}
	if s.World.Chance(0.5) {
		s.nextValue++
		s.write(node, operation, registerCommand{Register: register, Value: s.nextValue, Needs: s.upgrade.neededVersion(s.World, node)}, next)
	} else {
		s.read(node, operation, register, next)
	}
	s.flush(node)
}

func (s *ConsensusSimulation) write(node *controlNode, operation porcupine.Operation, command registerCommand, next func()) {
	data, err := msgpack.Marshal(&command)
	if err != nil {
		panic(err)
	}
	operation.Input = registerInput{write: true, register: command.Register, value: command.Value}
	isDone := false
	node.replica.Propose(data, func(_ any, err error) {
		if isDone {
			return
		}
		isDone = true
		if err == consensus.ErrNotLeader {
			next()
			return
		}
		operation.Return = int64(s.World.Now)
		if err != nil {
			// The write may take effect at any later time, or never.
			operation.Return = int64(consensusRunTime + 2*consensusHealTime)
		}
		s.operations = append(s.operations, operation)
		next()
	})
	s.World.After(2*time.Second, func() {
		if !isDone {
			isDone = true
			operation.Return = int64(consensusRunTime + 2*consensusHealTime)
			s.operations = append(s.operations, operation)
			next()
		}
	})
}

func (s *ConsensusSimulation) read(node *controlNode, operation porcupine.Operation, register int, next func()) {
	operation.Input = registerInput{register: register}
	finish := func() {
		operation.Output = node.machine.values[register]
		operation.Return = int64(s.World.Now)
		s.operations = append(s.operations, operation)
		next()
	}
	if s.defect == ReadWithoutQuorum {
		finish()
		return
	}
	isDone := false
	incarnation := node.incarnation
	node.replica.Read(func(err error) {
		if isDone {
			return
		}
		isDone = true
		if err != nil || node.incarnation != incarnation {
			next()
			return
		}
		finish()
	})
	s.World.After(2*time.Second, func() {
		if !isDone {
			isDone = true
			next()
		}
	})
}

// checkAfterHeal checks that all nodes have the same state again and are voters, and that the
// recorded history of reads and writes is linearizable.
func (s *ConsensusSimulation) checkAfterHeal() {
	if s.World.Violation != nil {
		return
	}
	leader := s.leader()
	if leader == nil {
		s.World.Check(fmt.Errorf("no leader %v after the faults ended", consensusHealTime))
		return
	}
	for _, node := range s.nodes {
		if node.machine.values != leader.machine.values || node.machine.version != leader.machine.version {
			s.World.Check(fmt.Errorf("%s has state %v, the leader %v", node.name, node.machine, leader.machine))
		}
		if !slices.Contains(leader.replica.Core().Configuration().Voters(), node.id) {
			s.World.Check(fmt.Errorf("%s did not become a voter again", node.name))
		}
	}
	if !porcupine.CheckOperations(registerModel, s.operations) {
		s.World.Check(fmt.Errorf("the history of %d reads and writes is not linearizable", len(s.operations)))
	}
	s.World.Check(nil)
}

type registerInput struct {
	write    bool
	register int
	value    uint64
}

// registerModel is the model that the recorded history is checked against.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, consensusRegisters)
		for _, operation := range history {
			register := operation.Input.(registerInput).register
			parts[register] = append(parts[register], operation)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		request := input.(registerInput)
		if request.write {
			return true, request.value
		}
		return output.(uint64) == state.(uint64), state
	},
}
