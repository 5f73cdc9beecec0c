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
	// resendInterval is the time after which a question is asked again.
	resendInterval = 50 * time.Millisecond
	// firstBackoff bounds the random pause after a first lost ballot; it doubles
	// with each further one, up to maximumBackoffDoublings times.
	firstBackoff            = 20 * time.Millisecond
	maximumBackoffDoublings = 5
)

// Errors of changes.
var (
	// ErrUnreachable says that no majority of the holders answered in time. If
	// the change was a first dispatch, it may or may not have been written.
	ErrUnreachable = errors.New("claims: no majority of the holders answers")
	// ErrFenced says that this node's life is over: it must take a new one.
	ErrFenced = errors.New("claims: this life of the node is fenced")
	// ErrForgotten says that the claim was settled and accounted for long ago.
	ErrForgotten = errors.New("claims: the claim is settled and forgotten")
)

// Change computes the next value of a register from the current one (nil if
// there is none). Returning nil leaves it as it is.
type Change func(current *Claim) *Claim

// Outcome is the end of a change.
type Outcome struct {
	// Claim is the register's value now, nil if there is none.
	Claim *Claim
	// Changed tells that the value is the one the change computed.
	Changed bool
	Err     error
}

// ProposerOptions set up a Proposer.
type ProposerOptions struct {
	// ID is the life under which the node owns claims and proposes.
	ID accounts.HolderID
	// Incarnation is the life of the node's holder, which its messages carry. It
	// is earlier than ID's if the node was fenced while alive: its memory of
	// promises is older than its newest life as an owner. 0 means ID's.
	Incarnation    uint64
	Pool           *membership.Pool
	Random         *rand.Rand
	WithoutVectors bool
}

// Proposer changes registers on behalf of one node. It is a pure step and not
// safe for concurrent use.
type Proposer struct {
	options    ProposerOptions
	operations map[uint64]*operation
	next       uint64
	// lastRound is the highest round of any ballot of this proposer.
	lastRound uint64
	outgoing  []Outgoing
	// incarnations is the newest known life of each node.
	incarnations Vector
	// owned are the ballots under which this node's own claims were accepted,
	// with the incarnations that promised them.
	owned map[Register]ownedBallot
	// missed counts the questions that each holder has not answered in a row.
	missed map[string]int
}

type ownedBallot struct {
	ballot Ballot
	vector Vector
	claim  Claim
}

// operation is one change in progress.
type operation struct {
	id       uint64
	key      Key
	scope    string
	holders  []string
	change   Change
	done     func(Outcome)
	deadline time.Duration
	ballot   Ballot
	// accepting: the second round.
	accepting bool
	value     *Claim
	changed   bool
	answers   map[string]Message
	refused   map[string]bool
	resendAt  time.Duration
	// restartAt is not 0 while waiting to try with a higher ballot.
	restartAt time.Duration
	restarts  int
	highest   Ballot
}

func (o *operation) register() Register { return Register{Scope: o.scope, Key: o.key} }

// NewProposer makes a proposer.
func NewProposer(options ProposerOptions) *Proposer {
	options.Incarnation = cmp.Or(options.Incarnation, options.ID.Incarnation)
	return &Proposer{
		options: options, operations: map[uint64]*operation{}, incarnations: Vector{},
		owned: map[Register]ownedBallot{}, missed: map[string]int{},
	}
}

// Change starts a change; done is called once. The messages to send are
// returned by Outgoing.
func (p *Proposer) Change(now, deadline time.Duration, scope string, key Key, change Change, done func(Outcome)) {
	started := p.start(deadline, scope, key, change, done)
	if p.changeOwned(now, started) {
		return
	}
	p.begin(now, started)
}

// ChangeMinted is the first change of a key that this node has just made up.
// Nobody else can have proposed for it with the lowest ballot, so the first
// round is not needed. A holder that has promised a higher one refuses.
func (p *Proposer) ChangeMinted(now, deadline time.Duration, scope string, key Key, change Change, done func(Outcome)) {
	started := p.start(deadline, scope, key, change, done)
	started.ballot = Ballot{Round: mintedRound, Proposer: p.options.ID}
	started.value, started.changed = change(nil), true
	started.answers = map[string]Message{}
	p.beginAccept(now, started)
}

// mintedRound is the lowest round; other proposals begin above it.
const mintedRound = 1

func (p *Proposer) start(deadline time.Duration, scope string, key Key, change Change, done func(Outcome)) *operation {
	p.next++
	started := &operation{
		id: p.next, key: key, scope: scope, change: change, done: done, deadline: deadline,
		holders: p.options.Pool.Holders(scope, string(key[:])),
	}
	p.operations[started.id] = started
	return started
}

// Outgoing takes the messages that wait to be sent.
func (p *Proposer) Outgoing() []Outgoing {
	outgoing := p.outgoing
	p.outgoing = nil
	return outgoing
}

// Forget drops the memory of an owned claim once it needs no more change.
func (p *Proposer) Forget(register Register) { delete(p.owned, register) }

// InProgress is the number of changes in progress.
func (p *Proposer) InProgress() int { return len(p.operations) }

// changeOwned changes a claim that this node already owns with one round:
// nobody else can have changed it without a higher ballot, which the holders
// would refuse this one for.
func (p *Proposer) changeOwned(now time.Duration, started *operation) bool {
	owned, found := p.owned[started.register()]
	if !found {
		return false
	}
	current := owned.claim
	next := started.change(&current)
	if next == nil {
		return false
	}
	started.ballot = owned.ballot
	started.ballot.Step++
	started.value, started.changed = next, true
	started.answers = map[string]Message{}
	for holder, incarnation := range owned.vector {
		started.answers[holder] = Message{Incarnation: incarnation}
	}
	p.beginAccept(now, started)
	return true
}

// begin starts the first round with a ballot above all seen.
func (p *Proposer) begin(now time.Duration, started *operation) {
	delete(p.owned, started.register())
	// A ballot stands for one operation only: rounds are never used again.
	p.lastRound = max(p.lastRound, started.highest.Round, mintedRound) + 1
	started.ballot = Ballot{Round: p.lastRound, Proposer: p.options.ID}
	started.accepting = false
	started.restartAt = 0
	started.answers = map[string]Message{}
	started.refused = map[string]bool{}
	p.askFirst(now, started)
}

func (p *Proposer) beginAccept(now time.Duration, started *operation) {
	started.accepting = true
	promised := Vector{}
	for holder, answer := range started.answers {
		promised[holder] = answer.Incarnation
	}
	p.owned[started.register()] = ownedBallot{ballot: started.ballot, vector: promised, claim: *started.value}
	started.answers = map[string]Message{}
	started.refused = map[string]bool{}
	p.askFirst(now, started)
}

// askFirst asks a majority only: this node's own holder, then those that have
// missed the fewest questions of late. The others are asked if it takes long.
func (p *Proposer) askFirst(now time.Duration, started *operation) {
	started.resendAt = now + resendInterval
	order := slices.Clone(started.holders)
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(p.reluctance(a), p.reluctance(b)) })
	for _, holder := range order[:len(order)/2+1] {
		p.askOne(started, holder)
	}
}

func (p *Proposer) reluctance(holder string) int {
	if holder == p.options.ID.Node {
		return -1
	}
	return p.missed[holder]
}

// askAgain asks all holders that have not answered the round's question.
func (p *Proposer) askAgain(now time.Duration, started *operation) {
	started.resendAt = now + resendInterval
	for _, holder := range started.holders {
		if _, answered := started.answers[holder]; answered || started.refused[holder] {
			continue
		}
		p.missed[holder]++
		p.askOne(started, holder)
	}
}

func (p *Proposer) askOne(started *operation, holder string) {
	message := Message{
		Kind: MessagePrepare, From: p.options.ID.Node, Incarnation: p.options.Incarnation,
		Operation: started.id, Key: started.key, Scope: started.scope, Ballot: started.ballot,
	}
	if started.accepting {
		message.Kind = MessageAccept
		message.Claim = started.value
		message.Vector = p.acceptVector(started, holder)
	}
	p.outgoing = append(p.outgoing, Outgoing{To: holder, Message: message})
}

// acceptVector names the life of the holder that promised. A holder that did
// not promise may accept too: under its newest known life it has forgotten
// nothing since.
func (p *Proposer) acceptVector(started *operation, holder string) Vector {
	if incarnation, promised := p.owned[started.register()].vector[holder]; promised {
		return Vector{holder: incarnation}
	}
	return Vector{holder: p.incarnations[holder]}
}

// Step takes a holder's answer.
func (p *Proposer) Step(now time.Duration, message Message) {
	p.learn(message)
	started := p.operations[message.Operation]
	if started == nil || !slices.Contains(started.holders, message.From) {
		return
	}
	expected := MessagePromise
	if started.accepting {
		expected = MessageAccepted
	}
	if message.Kind != expected || started.restartAt != 0 {
		return
	}
	if message.Proposer != p.options.ID.Incarnation {
		// An answer to an earlier life's question of the same number.
		return
	}
	p.missed[message.From] = 0
	if message.Refusal != 0 {
		p.refusedBy(now, started, message)
		return
	}
	if message.Ballot != started.ballot {
		return
	}
	started.answers[message.From] = message
	p.decide(now, started)
}

func (p *Proposer) learn(message Message) {
	vector := Vector{message.From: message.Incarnation}
	for _, known := range []Vector{vector, message.Vector} {
		for node, incarnation := range known {
			p.incarnations[node] = max(p.incarnations[node], incarnation)
		}
	}
}

// valid returns the answers of lives that are not known to be over.
func (p *Proposer) valid(started *operation) []Message {
	var valid []Message
	for _, holder := range started.holders {
		answer, found := started.answers[holder]
		if !found {
			continue
		}
		if !p.options.WithoutVectors && answer.Incarnation < p.incarnations[holder] {
			// The promise or acceptance died with that life: ask the new one.
			delete(started.answers, holder)
			continue
		}
		valid = append(valid, answer)
	}
	return valid
}

func (p *Proposer) decide(now time.Duration, started *operation) {
	valid := p.valid(started)
	if len(valid) < len(started.holders)/2+1 {
		return
	}
	if started.accepting {
		p.finish(started, Outcome{Claim: started.value, Changed: started.changed})
		return
	}
	newest := newestAccepted(valid)
	started.value, started.changed = started.change(copyClaim(newest.Claim)), true
	if started.value == nil {
		started.value, started.changed = newest.Claim, false
	}
	if started.value == nil {
		p.finish(started, Outcome{})
		return
	}
	// An unchanged value is written back: it may be on a minority only.
	p.beginAccept(now, started)
}

func newestAccepted(answers []Message) Message {
	var newest Message
	for _, answer := range answers {
		if answer.Claim != nil && (newest.Claim == nil || newest.Accepted.Less(answer.Accepted)) {
			newest = answer
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

func (p *Proposer) refusedBy(now time.Duration, started *operation, message Message) {
	switch message.Refusal {
	case RefusedFenced:
		p.finish(started, Outcome{Err: ErrFenced})
	case RefusedForgotten:
		p.finish(started, Outcome{Err: ErrForgotten})
	case RefusedBallot:
		if started.highest.Less(message.Ballot) {
			started.highest = message.Ballot
		}
		p.restart(now, started)
	case RefusedStale:
		// Only a promise that died with a life forces a new round. A holder that
		// had not promised is asked again under its new life.
		if _, promised := p.owned[started.register()].vector[message.From]; promised {
			p.restart(now, started)
			return
		}
		p.askOne(started, message.From)
	case RefusedRecovering:
		// Asked again at the next resend.
	}
}

// restart tries again with a higher ballot after a random pause, so that two
// proposers do not keep overtaking each other.
func (p *Proposer) restart(now time.Duration, started *operation) {
	if started.highest.Less(started.ballot) {
		started.highest = started.ballot
	}
	delete(p.owned, started.register())
	backoff := firstBackoff << min(started.restarts, maximumBackoffDoublings)
	started.restarts++
	started.restartAt = now + 1 + time.Duration(p.options.Random.Int64N(int64(backoff)))
}

func (p *Proposer) finish(started *operation, outcome Outcome) {
	delete(p.operations, started.id)
	settled := outcome.Claim != nil && outcome.Claim.State == Settled
	if outcome.Err != nil || settled || (outcome.Claim != nil && outcome.Claim.Owner != p.options.ID) {
		delete(p.owned, started.register())
	}
	started.done(outcome)
}

// Tick asks again what was not answered and gives up at deadlines.
func (p *Proposer) Tick(now time.Duration) {
	for _, id := range p.sortedOperations() {
		started := p.operations[id]
		switch {
		case started == nil:
		case now >= started.deadline:
			p.finish(started, Outcome{Err: ErrUnreachable})
		case started.restartAt != 0:
			if now >= started.restartAt {
				p.begin(now, started)
			}
		case now >= started.resendAt:
			p.askAgain(now, started)
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
