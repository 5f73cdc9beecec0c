package claims

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	// resendInterval is the time after which a request without a response is sent again.
	resendInterval = 50 * time.Millisecond
	// firstBackoff is the upper bound of the random delay after a first lost ballot. It doubles
	// with each further one, up to maximumBackoffDoublings times.
	firstBackoff            = 20 * time.Millisecond
	maximumBackoffDoublings = 5
)

// Errors of changes.
var (
	// ErrUnreachable reports that no majority of the acceptors responded in time. If the change was a
	// first dispatch, it may or may not have been written.
	ErrUnreachable = errors.New("claims: no majority of the holders answers")
	// ErrFenced reports that this incarnation of the node is fenced: the node must start a new one.
	ErrFenced = errors.New("claims: this life of the node is fenced")
	// ErrForgotten reports that the claim was settled, accounted for and dropped.
	ErrForgotten = errors.New("claims: the claim is settled and forgotten")
)

// Change computes the next value of a register from the current one (nil if there is none). If it
// returns nil, the register keeps its value.
type Change func(current *Claim) *Claim

// Outcome is the result of a change.
type Outcome struct {
	// Claim is the register's value now, nil if there is none.
	Claim *Claim
	// Changed reports whether Claim is the value that the change computed.
	Changed bool
	Err     error
}

// ProposerOptions set up a Proposer.
type ProposerOptions struct {
	// ID is the incarnation under which the node owns claims and proposes.
	ID accounts.HolderID
	// Incarnation is the incarnation of the node's acceptor, which the messages carry. It is lower than
	// ID's if the node was fenced while it ran: the acceptor's promises are then older than the node's
	// newest incarnation as an owner. 0 means ID's.
	Incarnation uint64
	Acceptors   *membership.AcceptorSet
	// Random draws the delays before retries with a higher ballot.
	Random *rand.Rand
	// WithoutVectors is a deliberate defect for the simulation: the proposer ignores crash vectors.
	WithoutVectors bool
}

// Proposer changes registers on behalf of one node. It is a state machine without clock or network
// access, and is not safe for concurrent use.
type Proposer struct {
	options       ProposerOptions
	operations    map[uint64]*operation
	lastOperation uint64
	// lastRound is the highest round of any ballot of this proposer.
	lastRound uint64
	outgoing  []Outgoing
	// incarnations is the newest known incarnation of each node.
	incarnations Vector
	// owned holds the ballots under which this node's own claims were proposed, with the
	// incarnations of the acceptors that promised them.
	owned map[Register]ownedBallot
	// missedRequests counts, for each acceptor, the requests in a row that had to be sent again.
	missedRequests map[string]int
}

type ownedBallot struct {
	ballot Ballot
	vector Vector
	claim  Claim
}

// operation is one change in progress.
type operation struct {
	id        uint64
	key       Key
	scope     string
	acceptors []string
	change    Change
	done      func(Outcome)
	deadline  time.Duration
	ballot    Ballot
	// accepting is set in the second round.
	accepting bool
	value     *Claim
	changed   bool
	responses map[string]Message
	refused   map[string]bool
	resendAt  time.Duration
	// restartAt is when the operation restarts with a higher ballot; 0 if it does not wait to.
	restartAt time.Duration
	restarts  int
	// highest is the highest ballot that the operation used or was refused for.
	highest Ballot
}

func (o *operation) register() Register { return Register{Scope: o.scope, Key: o.key} }

// NewProposer returns a proposer without operations.
func NewProposer(options ProposerOptions) *Proposer {
	options.Incarnation = cmp.Or(options.Incarnation, options.ID.Incarnation)
	return &Proposer{
		options: options, operations: map[uint64]*operation{}, incarnations: Vector{},
		owned: map[Register]ownedBallot{}, missedRequests: map[string]int{},
	}
}

// Change starts a change and calls done once with its outcome. TakeOutgoing returns the messages to send.
func (p *Proposer) Change(now, deadline time.Duration, scope string, key Key, change Change, done func(Outcome)) {
	op := p.start(deadline, scope, key, change, done)
	if p.changeOwned(now, op) {
		return
	}
	p.begin(now, op)
}

// ChangeNewKey is the first change of a key that this node has newly generated. No other node can have
// proposed for it with the lowest ballot, so the first round is skipped. An acceptor that has promised
// a higher ballot refuses.
func (p *Proposer) ChangeNewKey(now, deadline time.Duration, scope string, key Key, change Change, done func(Outcome)) {
	op := p.start(deadline, scope, key, change, done)
	op.ballot = Ballot{Round: generatedRound, Proposer: p.options.ID}
	op.value, op.changed = change(nil), true
	op.responses = map[string]Message{}
	p.beginAccept(now, op)
}

// generatedRound is the round of ChangeNewKey, and the lowest one; other proposals begin above it.
const generatedRound = 1

func (p *Proposer) start(deadline time.Duration, scope string, key Key, change Change, done func(Outcome)) *operation {
	p.lastOperation++
	op := &operation{
		id: p.lastOperation, key: key, scope: scope, change: change, done: done, deadline: deadline,
		acceptors: p.options.Acceptors.For(scope, string(key[:])),
	}
	p.operations[op.id] = op
	return op
}

// TakeOutgoing removes and returns the messages that wait to be sent.
func (p *Proposer) TakeOutgoing() []Outgoing {
	outgoing := p.outgoing
	p.outgoing = nil
	return outgoing
}

// Forget drops the ballot of an owned claim that will not change any more.
func (p *Proposer) Forget(register Register) { delete(p.owned, register) }

// InProgress returns the number of changes in progress.
func (p *Proposer) InProgress() int { return len(p.operations) }

// changeOwned changes a claim that this node already owns with the second round alone. It returns false
// if there is no such claim or no change. Another node can have changed the claim only under a higher
// ballot, because of which the acceptors would refuse this one.
func (p *Proposer) changeOwned(now time.Duration, op *operation) bool {
	owned, found := p.owned[op.register()]
	if !found {
		return false
	}
	current := owned.claim
	next := op.change(&current)
	if next == nil {
		return false
	}
	op.ballot = owned.ballot
	op.ballot.Step++
	op.value, op.changed = next, true
	op.responses = map[string]Message{}
	for acceptor, incarnation := range owned.vector {
		op.responses[acceptor] = Message{Incarnation: incarnation}
	}
	p.beginAccept(now, op)
	return true
}

// begin starts the first round with a ballot above all that were seen.
func (p *Proposer) begin(now time.Duration, op *operation) {
	delete(p.owned, op.register())
	// A ballot belongs to one operation only, so rounds are never reused.
	p.lastRound = max(p.lastRound, op.highest.Round, generatedRound) + 1
	op.ballot = Ballot{Round: p.lastRound, Proposer: p.options.ID}
	op.accepting = false
	op.restartAt = 0
	op.responses = map[string]Message{}
	op.refused = map[string]bool{}
	p.requestMajority(now, op)
}

func (p *Proposer) beginAccept(now time.Duration, op *operation) {
	op.accepting = true
	promised := Vector{}
	for acceptor, response := range op.responses {
		promised[acceptor] = response.Incarnation
	}
	p.owned[op.register()] = ownedBallot{ballot: op.ballot, vector: promised, claim: *op.value}
	op.responses = map[string]Message{}
	op.refused = map[string]bool{}
	p.requestMajority(now, op)
}

// requestMajority sends the round's request to a majority only: to this node's own acceptor, then to
// those that recently missed the fewest requests. The others receive it after resendInterval.
func (p *Proposer) requestMajority(now time.Duration, op *operation) {
	op.resendAt = now + resendInterval
	order := slices.Clone(op.acceptors)
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(p.contactRank(a), p.contactRank(b)) })
	for _, acceptor := range order[:len(order)/2+1] {
		p.sendRequest(op, acceptor)
	}
}

func (p *Proposer) contactRank(acceptor string) int {
	if acceptor == p.options.ID.Node {
		return -1
	}
	return p.missedRequests[acceptor]
}

// requestMissing sends the round's request to all acceptors that have not responded to it.
func (p *Proposer) requestMissing(now time.Duration, op *operation) {
	op.resendAt = now + resendInterval
	for _, acceptor := range op.acceptors {
		if _, responded := op.responses[acceptor]; responded || op.refused[acceptor] {
			continue
		}
		p.missedRequests[acceptor]++
		p.sendRequest(op, acceptor)
	}
}

func (p *Proposer) sendRequest(op *operation, acceptor string) {
	message := Message{
		Kind: MessagePrepare, From: p.options.ID.Node, Incarnation: p.options.Incarnation,
		Operation: op.id, Key: op.key, Scope: op.scope, Ballot: op.ballot,
	}
	if op.accepting {
		message.Kind = MessageAccept
		message.Claim = op.value
		message.Vector = p.acceptVector(op, acceptor)
	}
	p.outgoing = append(p.outgoing, Outgoing{To: acceptor, Message: message})
}

// acceptVector returns the incarnation under which an acceptor promised. An acceptor that did not
// promise may accept too, under its newest known incarnation: it made no promise that a restart could
// have lost.
func (p *Proposer) acceptVector(op *operation, acceptor string) Vector {
	if incarnation, promised := p.owned[op.register()].vector[acceptor]; promised {
		return Vector{acceptor: incarnation}
	}
	return Vector{acceptor: p.incarnations[acceptor]}
}

// Step handles an acceptor's response.
func (p *Proposer) Step(now time.Duration, message Message) {
	p.learnIncarnations(message)
	op := p.operations[message.Operation]
	if op == nil || !slices.Contains(op.acceptors, message.From) {
		return
	}
	expected := MessagePromise
	if op.accepting {
		expected = MessageAccepted
	}
	if message.Kind != expected || op.restartAt != 0 {
		return
	}
	if message.Proposer != p.options.ID.Incarnation {
		// The response is to a request of an earlier incarnation with the same operation number.
		return
	}
	p.missedRequests[message.From] = 0
	if message.Refusal != 0 {
		p.handleRefusal(now, op, message)
		return
	}
	if message.Ballot != op.ballot {
		return
	}
	op.responses[message.From] = message
	p.decide(now, op)
}

func (p *Proposer) learnIncarnations(message Message) {
	vector := Vector{message.From: message.Incarnation}
	for _, known := range []Vector{vector, message.Vector} {
		for node, incarnation := range known {
			p.incarnations[node] = max(p.incarnations[node], incarnation)
		}
	}
}

// validResponses returns the responses of acceptors whose incarnation is not known to have ended.
func (p *Proposer) validResponses(op *operation) []Message {
	var valid []Message
	for _, acceptor := range op.acceptors {
		response, found := op.responses[acceptor]
		if !found {
			continue
		}
		if !p.options.WithoutVectors && response.Incarnation < p.incarnations[acceptor] {
			// The promise or acceptance was lost with that incarnation. The new one receives the
			// request again.
			delete(op.responses, acceptor)
			continue
		}
		valid = append(valid, response)
	}
	return valid
}

func (p *Proposer) decide(now time.Duration, op *operation) {
	valid := p.validResponses(op)
	if len(valid) < len(op.acceptors)/2+1 {
		return
	}
	if op.accepting {
		p.finish(op, Outcome{Claim: op.value, Changed: op.changed})
		return
	}
	newest := newestAccepted(valid)
	op.value, op.changed = op.change(copyClaim(newest.Claim)), true
	if op.value == nil {
		op.value, op.changed = newest.Claim, false
	}
	if op.value == nil {
		p.finish(op, Outcome{})
		return
	}
	// An unchanged value is written back, because it may be stored at a minority only.
	p.beginAccept(now, op)
}

func newestAccepted(responses []Message) Message {
	var newest Message
	for _, response := range responses {
		if response.Claim != nil && (newest.Claim == nil || newest.Accepted.Less(response.Accepted)) {
			newest = response
		}
	}
	return newest
}

func copyClaim(claim *Claim) *Claim {
	if claim == nil {
		return nil
	}
	copied := *claim
	return &copied
}

func (p *Proposer) handleRefusal(now time.Duration, op *operation, message Message) {
	switch message.Refusal {
	case RefusedFenced:
		p.finish(op, Outcome{Err: ErrFenced})
	case RefusedForgotten:
		p.finish(op, Outcome{Err: ErrForgotten})
	case RefusedBallot:
		if op.highest.Less(message.Ballot) {
			op.highest = message.Ballot
		}
		p.restart(now, op)
	case RefusedStale:
		// Only a promise that was lost with an incarnation requires a new round. An acceptor that
		// had not promised receives the request again under its new incarnation.
		if _, promised := p.owned[op.register()].vector[message.From]; promised {
			p.restart(now, op)
			return
		}
		p.sendRequest(op, message.From)
	case RefusedRecovering:
		// The request is sent again at the next resend.
	}
}

// restart schedules another attempt with a higher ballot after a random delay, so that two proposers do
// not keep overtaking each other.
func (p *Proposer) restart(now time.Duration, op *operation) {
	if op.highest.Less(op.ballot) {
		op.highest = op.ballot
	}
	delete(p.owned, op.register())
	backoff := firstBackoff << min(op.restarts, maximumBackoffDoublings)
	op.restarts++
	op.restartAt = now + 1 + time.Duration(p.options.Random.Int64N(int64(backoff)))
}

func (p *Proposer) finish(op *operation, outcome Outcome) {
	delete(p.operations, op.id)
	settled := outcome.Claim != nil && outcome.Claim.State == Settled
	if outcome.Err != nil || settled || (outcome.Claim != nil && outcome.Claim.Owner != p.options.ID) {
		delete(p.owned, op.register())
	}
	op.done(outcome)
}

// Tick resends requests without a response, restarts operations that are due, and fails those whose
// deadline has passed.
func (p *Proposer) Tick(now time.Duration) {
	for _, id := range p.sortedOperations() {
		op := p.operations[id]
		switch {
		case op == nil:
		case now >= op.deadline:
			p.finish(op, Outcome{Err: ErrUnreachable})
		case op.restartAt != 0:
			if now >= op.restartAt {
				p.begin(now, op)
			}
		case now >= op.resendAt:
			p.requestMissing(now, op)
		}
	}
}

func (p *Proposer) sortedOperations() []uint64 {
	ids := make([]uint64, 0, len(p.operations))
	for id := range p.operations {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
