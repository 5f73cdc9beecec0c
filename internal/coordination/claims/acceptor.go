package claims

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	// DefaultRetention is how long a settled claim with a caller's key is kept, so that a retry
	// gets the first result and no second charge.
	DefaultRetention = 24 * time.Hour
	// promiseRetention is how long a promise without a value is kept: longer than any message can be in
	// transit.
	promiseRetention = time.Hour
	// recoverInterval is the time between MessageRecover requests.
	recoverInterval = 200 * time.Millisecond
)

// AcceptorOptions set up an Acceptor.
type AcceptorOptions struct {
	Self        string
	Incarnation uint64
	Acceptors   *membership.AcceptorSet
	// Fresh acceptors have no earlier incarnation whose promises were lost, so they require no
	// recovery: the node has never run, or its records survived on disk.
	Fresh bool
	// Retention is how long settled claims with callers' keys are kept; 0 means DefaultRetention.
	Retention time.Duration
	// WithoutVectors is a deliberate defect for the simulation: the acceptor ignores crash vectors.
	WithoutVectors bool
}

// Acceptor stores the registers of a node's keys and votes on ballots. It is a state machine without
// clock or network access, and is not safe for concurrent use.
type Acceptor struct {
	options AcceptorOptions
	// incarnations is the newest known incarnation of each node.
	incarnations Vector
	records      map[Register]*storedRecord
	// fenced is, for each node, the newest incarnation that may not change any register.
	fenced Vector
	// watermarks holds the highest Sequence of the Watermarks received, by owner and budget.
	watermarks map[watermarkKey]uint64
	// recovered holds the nodes that have sent this restarted acceptor their records.
	recovered   map[string]bool
	nextRecover time.Duration
}

type storedRecord struct {
	Record
	settledAt  time.Duration
	promisedAt time.Duration
}

type watermarkKey struct {
	owner  accounts.HolderID
	budget string
}

// NewAcceptor returns an acceptor without records.
func NewAcceptor(options AcceptorOptions) *Acceptor {
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	acceptor := &Acceptor{
		options: options, incarnations: Vector{options.Self: options.Incarnation},
		records: map[Register]*storedRecord{}, fenced: Vector{}, watermarks: map[watermarkKey]uint64{}, recovered: map[string]bool{},
	}
	if options.Fresh {
		for _, node := range options.Acceptors.Nodes() {
			acceptor.recovered[node.Name] = true
		}
	}
	return acceptor
}

// Incarnation returns the acceptor's own incarnation.
func (a *Acceptor) Incarnation() uint64 { return a.options.Incarnation }

// Recovering returns the nodes whose response a restarted acceptor still waits for.
func (a *Acceptor) Recovering() []string {
	var waiting []string
	for _, node := range a.options.Acceptors.Nodes() {
		if node.Name != a.options.Self && !a.recovered[node.Name] {
			waiting = append(waiting, node.Name)
		}
	}
	return waiting
}

// Length returns the number of registers.
func (a *Acceptor) Length() int { return len(a.records) }

// Tick drops records that are no longer required, and returns the recovery requests that are due.
func (a *Acceptor) Tick(now time.Duration) []Outgoing {
	a.forget(now)
	waiting := a.Recovering()
	if len(waiting) == 0 || now < a.nextRecover {
		return nil
	}
	a.nextRecover = now + recoverInterval
	var outgoing []Outgoing
	for _, node := range waiting {
		outgoing = append(outgoing, Outgoing{To: node, Message: a.message(MessageRecover)})
	}
	return outgoing
}

// Step handles one message and returns the responses.
func (a *Acceptor) Step(now time.Duration, message Message) []Outgoing {
	a.learnIncarnations(message)
	switch message.Kind {
	case MessagePrepare:
		return a.respond(message, a.prepare(now, message))
	case MessageAccept:
		return a.respond(message, a.accept(now, message))
	case MessageRecover:
		return a.respond(message, a.recordsFor(message.From))
	case MessageRecovered:
		a.mergeRecords(now, message)
	case MessageWatermark:
		a.raiseWatermarks(message.Watermarks)
	}
	return nil
}

// learnIncarnations records newer incarnations. It runs before the message is handled, so that the
// response to a restarted acceptor's request already contains its new incarnation.
func (a *Acceptor) learnIncarnations(message Message) {
	a.learnIncarnation(message.From, message.Incarnation)
	for node, incarnation := range message.Vector {
		a.learnIncarnation(node, incarnation)
	}
}

func (a *Acceptor) learnIncarnation(node string, incarnation uint64) {
	if node != a.options.Self && incarnation > a.incarnations[node] {
		a.incarnations[node] = incarnation
	}
}

func (a *Acceptor) message(kind MessageKind) Message {
	return Message{Kind: kind, From: a.options.Self, Incarnation: a.options.Incarnation}
}

func (a *Acceptor) respond(request, response Message) []Outgoing {
	// The operation and the ballot's proposer identify the request, so the response need not repeat its
	// key and scope.
	response.Operation = request.Operation
	response.Proposer = request.Ballot.Proposer.Incarnation
	return []Outgoing{{To: request.From, Message: response}}
}

// vectorFor returns this acceptor's view of the incarnations of a key's acceptors.
func (a *Acceptor) vectorFor(scope string, key Key) Vector {
	vector := Vector{}
	for _, node := range a.options.Acceptors.For(scope, string(key[:])) {
		vector[node] = a.incarnations[node]
	}
	return vector
}

// hasRecovered reports whether both other acceptors of a key have sent their records since the restart.
func (a *Acceptor) hasRecovered(scope string, key Key) bool {
	for _, node := range a.options.Acceptors.For(scope, string(key[:])) {
		if node != a.options.Self && !a.recovered[node] {
			return false
		}
	}
	return true
}

func (a *Acceptor) refuse(kind MessageKind, message Message, refusal Refusal, promised Ballot) Message {
	response := a.message(kind)
	response.Refusal = refusal
	response.Ballot = promised
	response.Vector = a.vectorFor(message.Scope, message.Key)
	return response
}

// check returns why a proposal is refused regardless of its ballot, or 0.
func (a *Acceptor) check(message Message) Refusal {
	proposer := message.Ballot.Proposer
	if proposer.Incarnation <= a.fenced[proposer.Node] {
		return RefusedFenced
	}
	if !a.hasRecovered(message.Scope, message.Key) {
		return RefusedRecovering
	}
	return 0
}

func (a *Acceptor) prepare(now time.Duration, message Message) Message {
	if refusal := a.check(message); refusal != 0 {
		return a.refuse(MessagePromise, message, refusal, Ballot{})
	}
	record := a.record(message.Scope, message.Key)
	// After a promise, no lower ballot is promised or accepted.
	if message.Ballot.Less(record.Promised) {
		return a.refuse(MessagePromise, message, RefusedBallot, record.Promised)
	}
	record.Promised = message.Ballot
	record.promisedAt = now
	response := a.message(MessagePromise)
	response.Vector = a.vectorFor(message.Scope, message.Key)
	response.Ballot = message.Ballot
	response.Accepted = record.Accepted
	response.Claim = record.Claim
	return response
}

func (a *Acceptor) accept(now time.Duration, message Message) Message {
	if refusal := a.check(message); refusal != 0 {
		return a.refuse(MessageAccepted, message, refusal, Ballot{})
	}
	if message.Claim == nil || a.isForgotten(message.Claim) {
		return a.refuse(MessageAccepted, message, RefusedForgotten, Ballot{})
	}
	if !a.options.WithoutVectors && message.Vector[a.options.Self] != a.options.Incarnation {
		return a.refuse(MessageAccepted, message, RefusedStale, Ballot{})
	}
	record := a.record(message.Scope, message.Key)
	if message.Ballot.Less(record.Promised) {
		return a.refuse(MessageAccepted, message, RefusedBallot, record.Promised)
	}
	record.Promised = message.Ballot
	a.setAccepted(now, record, message.Ballot, message.Claim)
	response := a.message(MessageAccepted)
	response.Vector = a.vectorFor(message.Scope, message.Key)
	response.Ballot = message.Ballot
	return response
}

func (a *Acceptor) setAccepted(now time.Duration, record *storedRecord, ballot Ballot, claim *Claim) {
	record.Accepted = ballot
	copied := *claim
	record.Claim = &copied
	if claim.State == Settled {
		record.settledAt = now
	}
}

func (a *Acceptor) record(scope string, key Key) *storedRecord {
	name := Register{Scope: scope, Key: key}
	record := a.records[name]
	if record == nil {
		record = &storedRecord{Record: Record{Key: key, Scope: scope}}
		a.records[name] = record
	}
	return record
}

// recordsFor returns a response with everything about the keys that another node is an acceptor of too.
func (a *Acceptor) recordsFor(node string) Message {
	response := a.message(MessageRecovered)
	response.Vector = maps.Clone(a.incarnations)
	response.Fences = maps.Clone(a.fenced)
	for _, record := range a.sortedRecords() {
		if slices.Contains(a.options.Acceptors.For(record.Scope, string(record.Key[:])), node) {
			response.Records = append(response.Records, record.Record)
		}
	}
	for mark, sequence := range a.watermarks {
		response.Watermarks = append(response.Watermarks, Watermark{Owner: mark.owner, Budget: mark.budget, Sequence: sequence})
	}
	return response
}

func (a *Acceptor) sortedRecords() []*storedRecord {
	records := slices.Collect(maps.Values(a.records))
	slices.SortFunc(records, func(left, right *storedRecord) int {
		return cmp.Or(slices.Compare(left.Key[:], right.Key[:]), cmp.Compare(left.Scope, right.Scope))
	})
	return records
}

// mergeRecords merges the records of another acceptor after a restart of this one.
func (a *Acceptor) mergeRecords(now time.Duration, message Message) {
	if a.recovered[message.From] || message.Incarnation < a.incarnations[message.From] {
		return
	}
	for node, incarnation := range message.Fences {
		a.fenced[node] = max(a.fenced[node], incarnation)
	}
	a.raiseWatermarks(message.Watermarks)
	for _, received := range message.Records {
		record := a.record(received.Scope, received.Key)
		if record.Promised.Less(received.Promised) {
			record.Promised = received.Promised
		}
		if received.Claim != nil && record.Accepted.Less(received.Accepted) {
			a.setAccepted(now, record, received.Accepted, received.Claim)
		}
	}
	a.recovered[message.From] = true
}

// Fence refuses all further changes by an incarnation of a node here, and returns the claims that it
// owns and the loans that it received.
func (a *Acceptor) Fence(owner accounts.HolderID) []Record {
	a.fenced[owner.Node] = max(a.fenced[owner.Node], owner.Incarnation)
	var owned []Record
	for _, record := range a.sortedRecords() {
		if record.Claim != nil && (record.Claim.Owner == owner || record.Claim.Borrower == owner) {
			owned = append(owned, record.Record)
		}
	}
	return owned
}

// Fenced reports whether an incarnation of a node is fenced here.
func (a *Acceptor) Fenced(owner accounts.HolderID) bool {
	return owner.Incarnation <= a.fenced[owner.Node]
}

func (a *Acceptor) raiseWatermarks(watermarks []Watermark) {
	for _, mark := range watermarks {
		key := watermarkKey{owner: mark.Owner, budget: mark.Budget}
		a.watermarks[key] = max(a.watermarks[key], mark.Sequence)
	}
}

// isForgotten reports whether a claim was accounted for and forgotten. A late message must not restore
// it.
func (a *Acceptor) isForgotten(claim *Claim) bool {
	if claim.HasCallerKey || claim.Sequence == 0 {
		return false
	}
	return claim.Sequence <= a.watermarks[watermarkKey{owner: claim.Owner, budget: claim.Budget}]
}

// forget drops settled claims that the root has accounted for: those with generated keys immediately,
// those with callers' keys after the retention.
func (a *Acceptor) forget(now time.Duration) {
	for key, record := range a.records {
		claim := record.Claim
		if claim == nil && now-record.promisedAt > promiseRetention {
			delete(a.records, key)
		}
		if claim == nil || claim.State != Settled {
			continue
		}
		accounted := claim.Sequence == 0 || claim.Sequence <= a.watermarks[watermarkKey{owner: claim.Owner, budget: claim.Budget}]
		if accounted && (!claim.HasCallerKey || now-record.settledAt > a.options.Retention) {
			delete(a.records, key)
		}
	}
}
