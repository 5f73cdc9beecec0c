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
	// DefaultRetention is how long a settled claim with a caller's key is kept, so that a retry gets the
	// first result and no second charge.
	DefaultRetention = 24 * time.Hour
	// promiseRetention is how long a promise without a value is kept: longer than any message can be in
	// transit.
	promiseRetention = time.Hour
	// recoverInterval is the time between MessageRecover requests.
	recoverInterval = 200 * time.Millisecond
)

// HolderOptions set up a Holder.
type HolderOptions struct {
	Self        string
	Incarnation uint64
	Pool        *membership.Pool
	// Fresh acceptors have no earlier incarnation whose promises were lost, so they require no recovery:
	// the node has never run, or its records survived on disk.
	Fresh bool
	// Retention is how long settled claims with callers' keys are kept; 0 means DefaultRetention.
	Retention time.Duration
	// WithoutVectors is a deliberate defect for the simulation: the acceptor ignores crash vectors.
	WithoutVectors bool
}

// Holder stores the registers of a node's keys and votes on ballots. It is a state machine without
// clock or network access, and is not safe for concurrent use.
type Holder struct {
	options HolderOptions
	// incarnations is the newest known incarnation of each node.
	incarnations Vector
	records      map[Register]*heldRecord
	// fenced is, for each node, the newest incarnation that may not change any register.
	fenced Vector
	marks  map[markKey]uint64
	// answered holds the nodes that have sent this restarted acceptor their records.
	answered    map[string]bool
	nextRecover time.Duration
}

type heldRecord struct {
	Record
	settledAt  time.Duration
	promisedAt time.Duration
}

type markKey struct {
	owner  accounts.HolderID
	budget string
}

// NewHolder returns an acceptor without records.
func NewHolder(options HolderOptions) *Holder {
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	holder := &Holder{
		options: options, incarnations: Vector{options.Self: options.Incarnation},
		records: map[Register]*heldRecord{}, fenced: Vector{}, marks: map[markKey]uint64{}, answered: map[string]bool{},
	}
	if options.Fresh {
		for _, node := range options.Pool.Nodes() {
			holder.answered[node.Name] = true
		}
	}
	return holder
}

// Incarnation returns the acceptor's own incarnation.
func (h *Holder) Incarnation() uint64 { return h.options.Incarnation }

// Recovering returns the nodes whose response a restarted acceptor still waits for.
func (h *Holder) Recovering() []string {
	var waiting []string
	for _, node := range h.options.Pool.Nodes() {
		if node.Name != h.options.Self && !h.answered[node.Name] {
			waiting = append(waiting, node.Name)
		}
	}
	return waiting
}

// Length returns the number of registers.
func (h *Holder) Length() int { return len(h.records) }

// Tick drops records that are no longer required, and returns the recovery requests that are due.
func (h *Holder) Tick(now time.Duration) []Outgoing {
	h.forget(now)
	waiting := h.Recovering()
	if len(waiting) == 0 || now < h.nextRecover {
		return nil
	}
	h.nextRecover = now + recoverInterval
	var outgoing []Outgoing
	for _, node := range waiting {
		outgoing = append(outgoing, Outgoing{To: node, Message: h.message(MessageRecover)})
	}
	return outgoing
}

// Step handles one message and returns the responses.
func (h *Holder) Step(now time.Duration, message Message) []Outgoing {
	h.learn(message)
	switch message.Kind {
	case MessagePrepare:
		return h.answer(message, h.prepare(now, message))
	case MessageAccept:
		return h.answer(message, h.accept(now, message))
	case MessageRecover:
		return h.answer(message, h.recordsFor(message.From))
	case MessageRecovered:
		h.adopt(now, message)
	case MessageWatermark:
		h.raiseMarks(message.Marks)
	}
	return nil
}

// learn records newer incarnations. It runs before the message is handled, so that the response to a
// restarted acceptor's request already contains its new incarnation.
func (h *Holder) learn(message Message) {
	h.learnIncarnation(message.From, message.Incarnation)
	for node, incarnation := range message.Vector {
		h.learnIncarnation(node, incarnation)
	}
}

func (h *Holder) learnIncarnation(node string, incarnation uint64) {
	if node != h.options.Self && incarnation > h.incarnations[node] {
		h.incarnations[node] = incarnation
	}
}

func (h *Holder) message(kind MessageKind) Message {
	return Message{Kind: kind, From: h.options.Self, Incarnation: h.options.Incarnation}
}

func (h *Holder) answer(question, reply Message) []Outgoing {
	// The operation and the ballot's proposer identify the request, so the response need not repeat its
	// key and scope.
	reply.Operation = question.Operation
	reply.Proposer = question.Ballot.Proposer.Incarnation
	return []Outgoing{{To: question.From, Message: reply}}
}

// vectorFor returns this acceptor's view of the incarnations of a key's acceptors.
func (h *Holder) vectorFor(scope string, key Key) Vector {
	vector := Vector{}
	for _, node := range h.options.Pool.Holders(scope, string(key[:])) {
		vector[node] = h.incarnations[node]
	}
	return vector
}

// knows reports whether both other acceptors of a key have sent their records since the restart.
func (h *Holder) knows(scope string, key Key) bool {
	for _, node := range h.options.Pool.Holders(scope, string(key[:])) {
		if node != h.options.Self && !h.answered[node] {
			return false
		}
	}
	return true
}

func (h *Holder) refuse(kind MessageKind, message Message, refusal Refusal, promised Ballot) Message {
	reply := h.message(kind)
	reply.Refusal = refusal
	reply.Ballot = promised
	reply.Vector = h.vectorFor(message.Scope, message.Key)
	return reply
}

// check returns why a proposal is refused regardless of its ballot, or 0.
func (h *Holder) check(message Message) Refusal {
	proposer := message.Ballot.Proposer
	if proposer.Incarnation <= h.fenced[proposer.Node] {
		return RefusedFenced
	}
	if !h.knows(message.Scope, message.Key) {
		return RefusedRecovering
	}
	return 0
}

func (h *Holder) prepare(now time.Duration, message Message) Message {
	if refusal := h.check(message); refusal != 0 {
		return h.refuse(MessagePromise, message, refusal, Ballot{})
	}
	record := h.record(message.Scope, message.Key)
	// After a promise, no lower ballot is promised or accepted.
	if message.Ballot.Less(record.Promised) {
		return h.refuse(MessagePromise, message, RefusedBallot, record.Promised)
	}
	record.Promised = message.Ballot
	record.promisedAt = now
	reply := h.message(MessagePromise)
	reply.Vector = h.vectorFor(message.Scope, message.Key)
	reply.Ballot = message.Ballot
	reply.Accepted = record.Accepted
	reply.Claim = record.Claim
	return reply
}

func (h *Holder) accept(now time.Duration, message Message) Message {
	if refusal := h.check(message); refusal != 0 {
		return h.refuse(MessageAccepted, message, refusal, Ballot{})
	}
	if message.Claim == nil || h.isForgotten(message.Claim) {
		return h.refuse(MessageAccepted, message, RefusedForgotten, Ballot{})
	}
	if !h.options.WithoutVectors && message.Vector[h.options.Self] != h.options.Incarnation {
		return h.refuse(MessageAccepted, message, RefusedStale, Ballot{})
	}
	record := h.record(message.Scope, message.Key)
	if message.Ballot.Less(record.Promised) {
		return h.refuse(MessageAccepted, message, RefusedBallot, record.Promised)
	}
	record.Promised = message.Ballot
	h.setAccepted(now, record, message.Ballot, message.Claim)
	reply := h.message(MessageAccepted)
	reply.Vector = h.vectorFor(message.Scope, message.Key)
	reply.Ballot = message.Ballot
	return reply
}

func (h *Holder) setAccepted(now time.Duration, record *heldRecord, ballot Ballot, claim *Claim) {
	record.Accepted = ballot
	copied := *claim
	record.Claim = &copied
	if claim.State == Settled {
		record.settledAt = now
	}
}

func (h *Holder) record(scope string, key Key) *heldRecord {
	name := Register{Scope: scope, Key: key}
	record := h.records[name]
	if record == nil {
		record = &heldRecord{Record: Record{Key: key, Scope: scope}}
		h.records[name] = record
	}
	return record
}

// recordsFor returns a response with everything about the keys that another node is an acceptor of too.
func (h *Holder) recordsFor(node string) Message {
	reply := h.message(MessageRecovered)
	reply.Vector = maps.Clone(h.incarnations)
	reply.Fences = maps.Clone(h.fenced)
	for _, record := range h.sortedRecords() {
		if slices.Contains(h.options.Pool.Holders(record.Scope, string(record.Key[:])), node) {
			reply.Records = append(reply.Records, record.Record)
		}
	}
	for mark, sequence := range h.marks {
		reply.Marks = append(reply.Marks, Watermark{Owner: mark.owner, Budget: mark.budget, Sequence: sequence})
	}
	return reply
}

func (h *Holder) sortedRecords() []*heldRecord {
	records := slices.Collect(maps.Values(h.records))
	slices.SortFunc(records, func(a, b *heldRecord) int {
		return cmp.Or(slices.Compare(a.Key[:], b.Key[:]), cmp.Compare(a.Scope, b.Scope))
	})
	return records
}

// adopt merges the records of another acceptor after a restart of this one.
func (h *Holder) adopt(now time.Duration, message Message) {
	if h.answered[message.From] || message.Incarnation < h.incarnations[message.From] {
		return
	}
	for node, incarnation := range message.Fences {
		h.fenced[node] = max(h.fenced[node], incarnation)
	}
	h.raiseMarks(message.Marks)
	for _, received := range message.Records {
		record := h.record(received.Scope, received.Key)
		if record.Promised.Less(received.Promised) {
			record.Promised = received.Promised
		}
		if received.Claim != nil && record.Accepted.Less(received.Accepted) {
			h.setAccepted(now, record, received.Accepted, received.Claim)
		}
	}
	h.answered[message.From] = true
}

// Fence refuses all further changes by an incarnation of a node here, and returns the claims that it
// owns and the loans that it received.
func (h *Holder) Fence(owner accounts.HolderID) []Record {
	h.fenced[owner.Node] = max(h.fenced[owner.Node], owner.Incarnation)
	var owned []Record
	for _, record := range h.sortedRecords() {
		if record.Claim != nil && (record.Claim.Owner == owner || record.Claim.Borrower == owner) {
			owned = append(owned, record.Record)
		}
	}
	return owned
}

// Fenced reports whether an incarnation of a node is fenced here.
func (h *Holder) Fenced(owner accounts.HolderID) bool {
	return owner.Incarnation <= h.fenced[owner.Node]
}

func (h *Holder) raiseMarks(marks []Watermark) {
	for _, mark := range marks {
		key := markKey{owner: mark.Owner, budget: mark.Budget}
		h.marks[key] = max(h.marks[key], mark.Sequence)
	}
}

// isForgotten reports whether a claim was accounted for and forgotten. A late message must not restore
// it.
func (h *Holder) isForgotten(claim *Claim) bool {
	if claim.CallerKey || claim.Sequence == 0 {
		return false
	}
	return claim.Sequence <= h.marks[markKey{owner: claim.Owner, budget: claim.Budget}]
}

// forget drops settled claims that the root has accounted for: those with generated keys immediately,
// those with callers' keys after the retention.
func (h *Holder) forget(now time.Duration) {
	for key, record := range h.records {
		claim := record.Claim
		if claim == nil && now-record.promisedAt > promiseRetention {
			delete(h.records, key)
		}
		if claim == nil || claim.State != Settled {
			continue
		}
		accounted := claim.Sequence == 0 || claim.Sequence <= h.marks[markKey{owner: claim.Owner, budget: claim.Budget}]
		if accounted && (!claim.CallerKey || now-record.settledAt > h.options.Retention) {
			delete(h.records, key)
		}
	}
}
