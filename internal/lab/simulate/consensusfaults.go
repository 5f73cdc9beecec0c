package simulate

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
	"github.com/ravenway/ravenway/internal/state/disk"
)

// injectFault injects one fault, which is undone later, and schedules the next one. Faults may
// overlap.
func (s *ConsensusSimulation) injectFault() {
	if s.healed {
		return
	}
	node := s.nodes[s.World.Random.IntN(len(s.nodes))]
	names := []string{}
	for _, other := range s.nodes {
		if other != node {
			names = append(names, other.name)
		}
	}
	switch s.World.Random.IntN(6) {
	case 0:
		s.World.Fault("cut")
		s.network.Partition([]string{node.name}, names)
		s.World.After(s.World.Between(time.Second, 8*time.Second), s.network.Heal)
	case 1:
		s.World.Fault("one-way cut")
		s.network.PartitionOneWay(node.name, names[0])
		s.World.After(s.World.Between(time.Second, 8*time.Second), s.network.Heal)
	case 2:
		s.World.Fault("freeze")
		node.isFrozen = true
		s.World.After(s.World.Between(time.Second, 6*time.Second), func() { s.unfreeze(node) })
	case 3:
		s.World.Fault("kill")
		s.kill(node)
		s.World.After(s.World.Between(100*time.Millisecond, 4*time.Second), func() { s.restart(node) })
	case 4:
		s.loseDisk(node)
	case 5:
		s.World.Fault("transfer")
		if leader := s.leader(); leader != nil && leader != node {
			_ = leader.replica.Core().TransferLeadership(node.id)
			s.flush(leader)
		}
	}
	s.World.After(s.World.Between(500*time.Millisecond, 4*time.Second), s.injectFault)
}

// loseDisk erases a node's disk, but only while the group tolerates that: losing a second disk
// before the first is repaired loses the quorum's data, which no protocol can prevent. As soon as
// the leader reports the repair, the next loss must be safe.
func (s *ConsensusSimulation) loseDisk(node *controlNode) {
	leader := s.leader()
	if leader == nil || leader == node || !s.isRepaired(leader) {
		return
	}
	s.World.Fault("lost disk")
	s.kill(node)
	node.disk.Erase()
	s.World.After(s.World.Between(100*time.Millisecond, 2*time.Second), func() { s.restart(node) })
}

// isRepaired reports whether the leader sees three voters that all hold the log.
func (s *ConsensusSimulation) isRepaired(leader *controlNode) bool {
	core := leader.replica.Core()
	voters := core.Configuration().Voters()
	if len(voters) != len(s.nodes) || core.TicksSinceQuorum() > consensus.DefaultElectionTicks {
		return false
	}
	for _, voter := range voters {
		node := s.byID[voter]
		if node == nil || node.id != voter || node.replica == nil || !core.CaughtUp(voter) {
			return false
		}
	}
	return true
}

func (s *ConsensusSimulation) kill(node *controlNode) {
	if node.replica == nil {
		return
	}
	node.incarnation++
	node.replica = nil
	node.isFrozen = false
	node.pending = nil
	node.disk.Crash()
}

func (s *ConsensusSimulation) restart(node *controlNode) {
	isStopped := s.upgrade != nil && s.upgrade.stopped[node]
	if node.replica == nil && !isStopped {
		s.boot(node, false)
	}
}

func (s *ConsensusSimulation) unfreeze(node *controlNode) {
	if !node.isFrozen {
		return
	}
	node.isFrozen = false
	pending := node.pending
	node.pending = nil
	for _, message := range pending {
		s.deliver(node, message)
	}
}

func (s *ConsensusSimulation) heal() {
	s.healed = true
	s.network.Heal()
	s.network.Loss = 0
	if s.upgrade != nil {
		s.upgrade.upgradeAll()
	}
	for _, node := range s.nodes {
		s.unfreeze(node)
		s.restart(node)
	}
}

// unsyncedDisk is a deliberately broken disk: it never syncs files.
type unsyncedDisk struct{ *disk.Simulated }

func (l unsyncedDisk) Append(name string) (disk.File, error) {
	file, err := l.Simulated.Append(name)
	return unsyncedFile{file}, err
}

type unsyncedFile struct{ disk.File }

func (unsyncedFile) Sync() error { return nil }
