package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// quarantineTick is the interval at which it is checked whether a crash has begun to count.
	quarantineTick = 100 * time.Millisecond
	// quarantineDecisionInterval is the minimum time between two decisions.
	quarantineDecisionInterval = 20 * time.Millisecond
	// quarantineRequestInterval is the minimum time between two requests for a control node's list:
	// if two control nodes hold different lists, they are about to exchange them.
	quarantineRequestInterval = 2 * time.Second
	// toleratedMismatches is the number of consecutive hellos that may report a digest other than
	// the known one before the list is requested: a change of it may be in transit.
	toleratedMismatches = 1
	// quarantineHintTicks is the number of ticks between checks whether the list on a control
	// node's disk is outdated.
	quarantineHintTicks = 3
)

// quarantineMessage carries the crashes that a node has recorded against requests. Entry nodes send
// their own crash reports to the control nodes. Control nodes send changes that all nodes need to
// the entry nodes of their zone, and the full list to any node that requests it.
type quarantineMessage struct {
	Records []quarantine.Record `msgpack:"r"`
	// Digest is the digest of the sender's list if IsList is set, which only control nodes do.
	Digest uint64 `msgpack:"d"`
	IsList bool   `msgpack:"l,omitempty"`
	// Request requests the receiver's full list.
	Request bool `msgpack:"a,omitempty"`
	// Parts are the records of parts of prompts, and PartsDigest is their digest as Digest is that of
	// Records.
	Parts       []quarantine.Record `msgpack:"p,omitempty"`
	PartsDigest uint64              `msgpack:"pd,omitempty"`
}

// newQuarantineMessage returns a message with records of requests and parts.
func newQuarantineMessage(records []quarantine.Record) quarantineMessage {
	var message quarantineMessage
	for _, record := range records {
		if record.Fingerprint.IsPart() {
			message.Parts = append(message.Parts, record)
		} else {
			message.Records = append(message.Records, record)
		}
	}
	return message
}

// newQuarantineList returns a control node's message with all records that have changed, or all.
func newQuarantineList(records []quarantine.Record, digest quarantine.Digest) quarantineMessage {
	message := newQuarantineMessage(records)
	message.IsList, message.Digest, message.PartsDigest = true, digest.Requests, digest.Parts
	return message
}

// quarantineDuty owns this node's records of requests that crash their engines (poison requests).
type quarantineDuty struct {
	node    *Node
	duty    *duty.Duty
	tracker *quarantine.Tracker
	guard   *quarantine.Guard
	ticks   int
	// digest is the digest of the tracker's list.
	digest atomic.Pointer[quarantine.Digest]
	// knownDigest is the digest of the control nodes' list that was last merged here.
	knownDigest quarantine.Digest
	// mismatches is the number of consecutive hellos that reported another digest.
	mismatches int
	// decidedAt is when the tracker last decided.
	decidedAt    time.Duration
	requestedAt  time.Duration
	hasRequested bool
	// hints is nil on nodes without a disk.
	hints *hintFile[[]quarantine.Record]
}

var (
	quarantineReports  = metrics.GetOrCreateCounter("ravenway_quarantine_evidence_total")
	quarantineCleared  = metrics.GetOrCreateCounter("ravenway_quarantine_cleared_total")
	quarantineVerdicts = metrics.GetOrCreateCounter("ravenway_quarantine_verdicts_total")
)

func newQuarantineDuty(node *Node) *quarantineDuty {
	bounds := node.settings.Load().Quarantine
	created := &quarantineDuty{
		node: node, duty: duty.New("quarantine", quarantineTick),
		tracker: quarantine.NewTracker(quarantine.Options{Retention: bounds.Retention, MaximumRequests: bounds.MaximumRequests}),
	}
	created.guard = quarantine.NewGuard(created)
	created.digest.Store(&quarantine.Digest{})
	created.duty.Tick, created.duty.Flush = created.tick, created.flush
	if node.isControlRole() {
		created.hints = newHintFile[[]quarantine.Record](node, quarantineHintFile)
		created.tracker.Merge(node.now(), created.hints.load())
	}
	return created
}

// EnginesCrashed implements quarantine.Sink.
func (q *quarantineDuty) EnginesCrashed(reports []quarantine.CrashReport) {
	q.duty.Offer(func() {
		for _, one := range reports {
			quarantineReports.Inc()
			q.tracker.Report(q.node.now(), one)
		}
	})
}

// RequestCompleted implements quarantine.Sink.
func (q *quarantineDuty) RequestCompleted(fingerprint quarantine.Fingerprint) {
	q.duty.Offer(func() { q.clear(fingerprint, "ran_to_its_end") })
}

// PartWritten implements quarantine.Sink.
func (q *quarantineDuty) PartWritten(fingerprint quarantine.Fingerprint) {
	q.duty.Offer(func() { q.clear(fingerprint, "response_written") })
}

func (q *quarantineDuty) clear(fingerprint quarantine.Fingerprint, why string) bool {
	if !q.tracker.Clear(q.node.now(), fingerprint) {
		return false
	}
	quarantineCleared.Inc()
	q.node.log.Info().Str("event", "quarantine_cleared").Stringer("fingerprint", fingerprint).Str("why", why).Send()
	return true
}

func (q *quarantineDuty) tick() {
	q.ticks++
	if q.hints != nil && q.ticks%quarantineHintTicks == 0 {
		digest := q.digest.Load()
		q.hints.writeIfChanged(digest.Requests^digest.Parts, func() []quarantine.Record { return q.tracker.SharedRecords(q.node.now()) })
	}
}

// flush decides on the reports received and distributes the results. An engine's crash interrupts
// many runs of many nodes, whose reports arrive within milliseconds of each other, so they are decided
// on together.
func (q *quarantineDuty) flush() {
	now := q.node.now()
	if !q.tracker.IsDue(now) || now-q.decidedAt < quarantineDecisionInterval {
		return
	}
	q.decidedAt = now
	verdicts := q.tracker.Decide(now)
	// Rebuilding the view takes a sixth of a millisecond for a list of a thousand requests.
	q.guard.SetView(now, q.tracker.View())
	for _, verdict := range verdicts {
		q.logVerdict(verdict)
		if verdict.IsQuarantined && q.node.pipeline != nil {
			q.node.pipeline.CancelQuarantined(verdict.Fingerprint)
		}
	}
	digest := q.tracker.Digest()
	q.digest.Store(&digest)
	updates := q.tracker.TakeUpdates(now)
	if len(updates) > 0 {
		q.sendTo(q.controls(), newQuarantineMessage(updates))
	}
	if q.node.replica == nil {
		return
	}
	if changed := q.tracker.TakeChanged(now); len(changed) > 0 {
		q.sendTo(q.entriesOfZone(), newQuarantineList(changed, digest))
	}
}

// logVerdict logs a verdict with the crashes that it is based on.
func (q *quarantineDuty) logVerdict(verdict quarantine.Verdict) {
	event := "quarantine_ended"
	if verdict.IsQuarantined {
		event = "quarantined"
		quarantineVerdicts.Inc()
	}
	incarnations, ages, suspicions := make([]string, 0, len(verdict.Crashes)), make([]int64, 0, len(verdict.Crashes)), make([]string, 0, len(verdict.Crashes))
	for _, crash := range verdict.Crashes {
		incarnations = append(incarnations, crash.Incarnation.String())
		ages = append(ages, crash.Age.Milliseconds())
		suspicions = append(suspicions, crash.Suspicion.String())
	}
	line := q.node.log.Warn().Str("event", event)
	if verdict.Part != "" {
		line = line.Str("part", verdict.Part)
	}
	line.Stringer("fingerprint", verdict.Fingerprint).Str("route", verdict.Route).
		Str("tenant", verdict.Tenant).Int("counted", verdict.Counted).Int("beside", verdict.OtherRequests).
		Strs("lives", incarnations).Ints64("ages_ms", ages).Strs("suspicions", suspicions).Uint32("generation", verdict.Generation).Send()
}

// controls are the addresses of the other live control nodes.
func (q *quarantineDuty) controls() []string {
	var addresses []string
	for _, known := range q.node.fleet.view.Load().alive {
		if known.Control && known.Address != q.node.address {
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}

// entriesOfZone are the entry nodes to which this control node sends changes immediately. Entry
// nodes of zones without a control node request them after the next hellos.
func (q *quarantineDuty) entriesOfZone() []string {
	var addresses []string
	for _, known := range q.node.fleet.view.Load().alive {
		if known.Entry && known.Zone == q.node.settings.Load().Node.Zone {
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}

func (q *quarantineDuty) sendTo(receivers []string, message quarantineMessage) {
	if len(receivers) > 0 {
		q.node.sendAll(receivers, peer.NewMessage(peer.KindQuarantine, &message))
	}
}

// handleMessage merges what another node sent.
func (q *quarantineDuty) handleMessage(from string, message quarantineMessage) {
	q.duty.Offer(func() {
		now := q.node.now()
		q.tracker.Merge(now, message.Records)
		q.tracker.Merge(now, message.Parts)
		if message.IsList {
			q.knownDigest, q.mismatches = quarantine.Digest{Requests: message.Digest, Parts: message.PartsDigest}, 0
		}
		if message.Request && q.node.replica != nil {
			q.sendTo([]string{from}, newQuarantineList(q.tracker.Records(now), q.tracker.Digest()))
		}
	})
}

// handleHello compares a control node's digest with the known one, and requests its list if they
// differ. A control node that is new or reachable again is sent all records of this node:
// it may have been partitioned, or have lost its state.
func (q *quarantineDuty) handleHello(hello peer.Hello, isNew bool) {
	digest := quarantine.Digest{Requests: hello.QuarantineDigest, Parts: hello.QuarantinedPartsDigest}
	if digest == (quarantine.Digest{}) && *q.digest.Load() == digest && !isNew {
		return
	}
	q.duty.Offer(func() {
		if isNew {
			q.sendAllTo(hello.Address)
		}
		if hello.ProtocolVersion < peer.ProtocolPromptParts {
			// The control node records no parts, so its list has none.
			digest.Parts = q.tracker.Digest().Parts
			if digest.Requests == q.knownDigest.Requests {
				digest = q.knownDigest
			}
		}
		q.compare(hello.Address, digest)
	})
}

// sendAllTo sends all records of this node to one node.
func (q *quarantineDuty) sendAllTo(receiver string) {
	if records := q.tracker.Records(q.node.now()); len(records) > 0 {
		q.sendTo([]string{receiver}, newQuarantineMessage(records))
	}
}

func (q *quarantineDuty) compare(from string, digest quarantine.Digest) {
	if digest == q.knownDigest || digest == q.tracker.Digest() {
		q.mismatches = 0
		return
	}
	now := q.node.now()
	isFirst := q.knownDigest == quarantine.Digest{}
	q.mismatches++
	if !isFirst && q.mismatches <= toleratedMismatches || q.hasRequested && now-q.requestedAt < quarantineRequestInterval {
		return
	}
	q.requestedAt, q.hasRequested, q.mismatches = now, true, 0
	request := quarantineMessage{}
	if q.node.replica != nil {
		request = newQuarantineMessage(q.tracker.Records(now))
	}
	request.Request = true
	q.sendTo([]string{from}, request)
}

// ErrNotRecorded means that no crash is recorded against a request.
var ErrNotRecorded = errors.New("gateway: nothing is held against the request")

// summaries lists the summaries of the requests with recorded crashes: those in quarantine first,
// then those with the most crashes.
func (q *quarantineDuty) summaries(ctx context.Context) ([]quarantine.Summary, error) {
	return duty.Call(ctx, q.duty, func(respond func([]quarantine.Summary)) { respond(q.tracker.Summaries(q.node.now())) })
}

// release clears the crashes recorded against a request, on all nodes.
func (q *quarantineDuty) release(ctx context.Context, fingerprint quarantine.Fingerprint) error {
	wasRecorded, err := duty.Call(ctx, q.duty, func(respond func(bool)) { respond(q.clear(fingerprint, "released by an operator")) })
	if err == nil && !wasRecorded {
		err = ErrNotRecorded
	}
	return err
}
