package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/claims"
	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	claimsTick     = 10 * time.Millisecond
	claimsRunTime  = 8 * time.Second
	claimsHealTime = 5 * time.Second
	claimsKeys     = 12
	claimsTimeout  = 2 * time.Second
)

// ClaimsDefect is a deliberate defect of the claim registers that the simulation must detect.
type ClaimsDefect int

const (
	// ClaimsNoDefect runs the real code.
	ClaimsNoDefect ClaimsDefect = iota
	// ClaimsWithoutVectors ignores crash vectors, the views of the acceptors' incarnations that messages
	// carry: responses of earlier incarnations count too.
	ClaimsWithoutVectors
	// ClaimsWithoutRecovery lets a restarted acceptor respond before its recovery.
	ClaimsWithoutRecovery
)

// claimsNode is one simulated machine without a disk: an acceptor and a proposer.
type claimsNode struct {
	name        string
	acceptor    *claims.Acceptor
	proposer    *claims.Proposer
	id          accounts.HolderID
	incarnation int
}

// ClaimsSimulation lets nodes compete for a few keys while acceptors restart and lose their
// memory, and messages of earlier incarnations arrive late.
type ClaimsSimulation struct {
	World     *World
	network   *Network
	defect    ClaimsDefect
	acceptors *membership.AcceptorSet
	nodes     map[string]*claimsNode
	names     []string
	// winners holds for each key the owner whose dispatch was agreed on, settled the number of
	// used tokens that was agreed on.
	winners    map[claims.Key]accounts.HolderID
	settled    map[claims.Key]uint64
	restarting int
	healed     bool
	generated  uint64
}

// RunClaims simulates the claim registers under faults. It runs one seed.
func RunClaims(seed uint64, defect ClaimsDefect) *World {
	s := &ClaimsSimulation{
		World: NewWorld(seed), defect: defect, nodes: map[string]*claimsNode{},
		winners: map[claims.Key]accounts.HolderID{}, settled: map[claims.Key]uint64{},
	}
	s.network = NewNetwork(s.World)
	s.network.Loss = 0.05
	s.network.Duplication = 0.05
	// Long delays let responses of an earlier incarnation arrive after a recovery.
	s.network.MaximumDelay = 400 * time.Millisecond
	members := []membership.Node{{Name: "a-1", Zone: "a"}, {Name: "a-2", Zone: "a"}, {Name: "a-3", Zone: "a"}}
	s.acceptors = membership.NewAcceptorSet(members)
	for _, member := range members {
		s.names = append(s.names, member.Name)
		s.boot(&claimsNode{name: member.Name}, true)
	}
	s.World.After(time.Second, s.request)
	s.World.After(time.Second, s.injectFault)
	s.World.RunUntil(claimsRunTime)
	s.healed = true
	s.network.Heal()
	s.network.Loss = 0
	s.network.MaximumDelay = 2 * time.Millisecond
	s.World.RunUntil(claimsRunTime + claimsHealTime)
	s.checkAgreement()
	s.World.RunUntil(claimsRunTime + 2*claimsHealTime)
	return s.World
}

func (s *ClaimsSimulation) boot(node *claimsNode, fresh bool) {
	node.incarnation++
	incarnation := node.incarnation
	node.id = accounts.HolderID{Node: node.name, Incarnation: uint64(s.World.Now) + 1}
	s.nodes[node.name] = node
	node.acceptor = claims.NewAcceptor(claims.AcceptorOptions{
		Self: node.name, Incarnation: node.id.Incarnation, Acceptors: s.acceptors,
		Fresh:          fresh || s.defect == ClaimsWithoutRecovery,
		WithoutVectors: s.defect == ClaimsWithoutVectors,
	})
	node.proposer = claims.NewProposer(claims.ProposerOptions{
		ID: node.id, Acceptors: s.acceptors, Random: rand.New(rand.NewPCG(s.World.Random.Uint64(), 1)),
		WithoutVectors: s.defect == ClaimsWithoutVectors,
	})
	s.World.Every(claimsTick, func() bool {
		if node.incarnation != incarnation {
			return false
		}
		s.sendAll(node, node.acceptor.Tick(s.World.Now))
		node.proposer.Tick(s.World.Now)
		s.sendAll(node, node.proposer.TakeOutgoing())
		return true
	})
}

func (s *ClaimsSimulation) sendAll(from *claimsNode, outgoing []claims.Outgoing) {
	for _, one := range outgoing {
		s.network.Send(from.name, one.To, func() { s.deliver(s.nodes[one.To], one.Message) })
	}
}

func (s *ClaimsSimulation) deliver(node *claimsNode, message claims.Message) {
	if node.acceptor == nil {
		return
	}
	switch message.Kind {
	case claims.MessagePromise, claims.MessageAccepted:
		node.proposer.Step(s.World.Now, message)
		s.sendAll(node, node.proposer.TakeOutgoing())
	default:
		s.sendAll(node, node.acceptor.Step(s.World.Now, message))
	}
}

// request lets a random node claim or settle a random key, or claim a newly generated one.
func (s *ClaimsSimulation) request() {
	if s.healed {
		return
	}
	s.World.After(s.World.Between(5*time.Millisecond, 60*time.Millisecond), s.request)
	node := s.nodes[s.names[s.World.Random.IntN(len(s.names))]]
	if node.acceptor == nil {
		return
	}
	number := s.World.Random.IntN(claimsKeys) + claimsKeys*int(s.World.Now/(4*time.Second))
	key := claims.NewKey("tenant", fmt.Sprint(number))
	if s.winners[key] == node.id && s.World.Chance(0.3) {
		s.settle(node, key)
		return
	}
	if s.World.Chance(0.2) {
		s.claimGenerated(node)
		return
	}
	s.claim(node, key)
}

// claimGenerated claims a newly generated key that only this node knows, in one round. A random node
// reads it within a second, as a fence does.
func (s *ClaimsSimulation) claimGenerated(node *claimsNode) {
	s.generated++
	key := claims.NewKey("minted", fmt.Sprint(s.generated))
	ownClaim := &claims.Claim{State: claims.Dispatched, Owner: node.id, RequestID: node.id.String(), Budget: "b", Sequence: s.generated}
	node.proposer.ChangeNewKey(s.World.Now, s.World.Now+claimsTimeout, "a", key, func(current *claims.Claim) *claims.Claim {
		if current != nil {
			return nil
		}
		return ownClaim
	}, func(outcome claims.Outcome) {
		if outcome.Err == nil && outcome.Claim != nil {
			s.checkOwner(key, outcome.Claim)
		}
	})
	s.sendAll(node, node.proposer.TakeOutgoing())
	reader := s.nodes[s.names[s.World.Random.IntN(len(s.names))]]
	s.World.After(s.World.Between(0, time.Second), func() { s.readGenerated(reader.name, key) })
}

// readGenerated reads a generated key, and checks that the read sees a claim that was agreed on
// before the read began.
func (s *ClaimsSimulation) readGenerated(name string, key claims.Key) {
	reader := s.nodes[name]
	if reader.acceptor == nil {
		return
	}
	_, agreed := s.winners[key]
	read := func(*claims.Claim) *claims.Claim { return nil }
	reader.proposer.Change(s.World.Now, s.World.Now+claimsTimeout, "a", key, read, func(outcome claims.Outcome) {
		if outcome.Err == nil && agreed && outcome.Claim == nil {
			s.World.Check(fmt.Errorf("the generated key %s was agreed on and then not seen", key))
		}
		if outcome.Err == nil && outcome.Claim != nil {
			s.checkOwner(key, outcome.Claim)
		}
	})
	s.sendAll(reader, reader.proposer.TakeOutgoing())
}

func (s *ClaimsSimulation) claim(node *claimsNode, key claims.Key) {
	ownClaim := &claims.Claim{State: claims.Dispatched, Owner: node.id, RequestID: node.id.String(), HasCallerKey: true}
	change := func(current *claims.Claim) *claims.Claim {
		if current != nil {
			return nil
		}
		return ownClaim
	}
	used, wasSettled := s.settled[key]
	node.proposer.Change(s.World.Now, s.World.Now+claimsTimeout, "a", key, change, func(outcome claims.Outcome) {
		if outcome.Err != nil || outcome.Claim == nil {
			return
		}
		s.checkOwner(key, outcome.Claim)
		s.checkSettled(key, outcome.Claim, used, wasSettled)
	})
	s.sendAll(node, node.proposer.TakeOutgoing())
}

func (s *ClaimsSimulation) settle(node *claimsNode, key claims.Key) {
	used := s.World.Random.Uint64N(1000) + 1
	change := func(current *claims.Claim) *claims.Claim {
		if current == nil || current.State == claims.Settled || current.Owner != node.id {
			return nil
		}
		current.State, current.Used = claims.Settled, used
		return current
	}
	node.proposer.Change(s.World.Now, s.World.Now+claimsTimeout, "a", key, change, func(outcome claims.Outcome) {
		if outcome.Err == nil && outcome.Claim != nil {
			s.checkOwner(key, outcome.Claim)
		}
	})
	s.sendAll(node, node.proposer.TakeOutgoing())
}

// checkOwner checks that a claim names the owner whose dispatch was agreed on, and, once the used
// tokens are agreed on, the same number of them.
func (s *ClaimsSimulation) checkOwner(key claims.Key, claim *claims.Claim) {
	known, found := s.winners[key]
	if found && known != claim.Owner {
		s.World.Check(fmt.Errorf("key %s was claimed by %s and by %s", key, known, claim.Owner))
		return
	}
	s.winners[key] = claim.Owner
	if claim.State != claims.Settled {
		return
	}
	used, settled := s.settled[key]
	s.checkSettled(key, claim, used, settled)
	s.settled[key] = claim.Used
}

// checkSettled checks that an operation that began after a use was agreed on sees that use.
func (s *ClaimsSimulation) checkSettled(key claims.Key, claim *claims.Claim, used uint64, wasSettled bool) {
	if wasSettled && (claim.State != claims.Settled || claim.Used != used) {
		s.World.Check(fmt.Errorf("key %s was settled with %d and is now %s with %d", key, used, claim.State, claim.Used))
	}
	s.World.Check(nil)
}

func (s *ClaimsSimulation) injectFault() {
	if s.healed {
		return
	}
	s.World.After(s.World.Between(300*time.Millisecond, 2*time.Second), s.injectFault)
	node := s.nodes[s.names[s.World.Random.IntN(len(s.names))]]
	switch s.World.Random.IntN(3) {
	case 0, 1:
		// Only one acceptor at a time: if two lose their memory at the same time, a majority has
		// forgotten what was agreed on.
		if s.restarting > 0 || node.acceptor == nil || s.recovering() {
			return
		}
		s.World.Fault("restart")
		s.restarting++
		node.incarnation++
		node.acceptor = nil
		s.World.After(s.World.Between(10*time.Millisecond, 500*time.Millisecond), func() {
			s.restarting--
			s.boot(node, false)
		})
	case 2:
		s.World.Fault("one-way cut")
		other := s.names[s.World.Random.IntN(len(s.names))]
		s.network.PartitionOneWay(node.name, other)
		s.World.After(s.World.Between(100*time.Millisecond, time.Second), s.network.Heal)
	}
}

func (s *ClaimsSimulation) recovering() bool {
	for _, node := range s.nodes {
		if node.acceptor != nil && len(node.acceptor.Recovering()) > 0 {
			return true
		}
	}
	return false
}

// checkAgreement reads each key through each node after the network has healed.
func (s *ClaimsSimulation) checkAgreement() {
	for key := range s.winners {
		for _, name := range s.names {
			node := s.nodes[name]
			read := func(*claims.Claim) *claims.Claim { return nil }
			node.proposer.Change(s.World.Now, s.World.Now+claimsTimeout, "a", key, read, func(outcome claims.Outcome) {
				switch {
				case outcome.Err != nil:
					s.World.Check(fmt.Errorf("key %s can't be read through %s after the heal: %w", key, name, outcome.Err))
				case outcome.Claim == nil:
					s.World.Check(fmt.Errorf("key %s is lost", key))
				default:
					s.checkOwner(key, outcome.Claim)
					used, wasSettled := s.settled[key]
					s.checkSettled(key, outcome.Claim, used, wasSettled)
				}
			})
			s.sendAll(node, node.proposer.TakeOutgoing())
		}
	}
}
