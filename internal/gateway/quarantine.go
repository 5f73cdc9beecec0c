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
	// quarantineTick is the time between looks whether an end has come to count.
	quarantineTick = 100 * time.Millisecond
	// quarantinePause is the least time between two decisions.
	quarantinePause = 20 * time.Millisecond
	// quarantineAskPause is the least time between two questions for a control node's
	// list: where two control nodes hold different ones, they are about to exchange them.
	quarantineAskPause = 2 * time.Second
	// quarantineMismatches is how many hellos in a row may tell another list than the one
	// known here: a change of it may be on its way.
	quarantineMismatches = 1
	// rememberQuarantineTicks is the number of ticks between looks whether the list on a
	// control node's disk is outdated.
	rememberQuarantineTicks = 3
)

// quarantineMessage carries what a node holds against requests. Entry nodes send their
// own evidence to the control nodes; these send what all are to know to the entry nodes
// of their zone as it changes, and the whole list to whoever asks.
type quarantineMessage struct {
	Records []quarantine.Record `msgpack:"r"`
	// Digest is that of the sender's list, if IsList is set: control nodes' only.
	Digest uint64 `msgpack:"d"`
	IsList bool   `msgpack:"l,omitempty"`
	// Answer asks the receiver for its whole list.
	Answer bool `msgpack:"a,omitempty"`
}

// quarantineDuty owns what this node holds against requests that end their engines.
type quarantineDuty struct {
	node    *Node
	duty    *duty.Duty
	tracker *quarantine.Tracker
	guard   *quarantine.Guard
	ticks   int
	// digest is that of the tracker's list.
	digest atomic.Uint64
	// known is the digest of the control nodes' list as it was last taken here.
	known      uint64
	mismatches int
	// decidedAt is when the tracker last decided.
	decidedAt time.Duration
	askedAt   time.Duration
	hasAsked  bool
	// remembered is nil on nodes without a disk.
	remembered *rememberedFile[[]quarantine.Record]
}

var (
	quarantineEvidence = metrics.GetOrCreateCounter("ravenway_quarantine_evidence_total")
	quarantineCleared  = metrics.GetOrCreateCounter("ravenway_quarantine_cleared_total")
	quarantineVerdicts = metrics.GetOrCreateCounter("ravenway_quarantine_verdicts_total")
)

func newQuarantineDuty(node *Node) *quarantineDuty {
	bounds := node.settings.Load().Quarantine
	made := &quarantineDuty{
		node: node, duty: duty.New("quarantine", quarantineTick),
		tracker: quarantine.NewTracker(quarantine.Options{Memory: bounds.Retention, Requests: bounds.MaximumRequests}),
	}
	made.guard = quarantine.NewGuard(made)
	made.duty.Tick, made.duty.Flush = made.tick, made.flush
	if node.isControlRole() {
		made.remembered = newRememberedFile[[]quarantine.Record](node, rememberedQuarantine)
		made.tracker.Merge(node.now(), made.remembered.recall())
	}
	return made
}

// EnginesEnded implements quarantine.Sink.
func (q *quarantineDuty) EnginesEnded(evidence []quarantine.Evidence) {
	q.duty.Offer(func() {
		for _, one := range evidence {
			quarantineEvidence.Inc()
			q.tracker.Report(q.node.now(), one)
		}
	})
}

// RanToItsEnd implements quarantine.Sink.
func (q *quarantineDuty) RanToItsEnd(fingerprint quarantine.Fingerprint) {
	q.duty.Offer(func() { q.clear(fingerprint, "ran_to_its_end") })
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
	if q.remembered != nil && q.ticks%rememberQuarantineTicks == 0 {
		q.remembered.look(q.digest.Load(), func() []quarantine.Record { return q.tracker.Told(q.node.now()) })
	}
}

// flush decides on what has come, and tells others of it. An engine that ends takes
// many runs of many nodes along, whose words come within milliseconds: they are weighed
// together.
func (q *quarantineDuty) flush() {
	now := q.node.now()
	if !q.tracker.IsDue(now) || now-q.decidedAt < quarantinePause {
		return
	}
	q.decidedAt = now
	verdicts := q.tracker.Decide(now)
	// A list of a thousand requests is made anew in a sixth of a millisecond.
	q.guard.SetView(q.tracker.View())
	for _, verdict := range verdicts {
		q.logVerdict(verdict)
		if verdict.IsQuarantined && q.node.pipeline != nil {
			q.node.pipeline.Quarantined(verdict.Fingerprint)
		}
	}
	digest := q.tracker.Digest()
	q.digest.Store(digest)
	news := q.tracker.TakeNews(now)
	if len(news) > 0 {
		q.sendTo(q.controls(), quarantineMessage{Records: news})
	}
	if q.node.replica == nil {
		return
	}
	if changed := q.tracker.TakeChanged(now); len(changed) > 0 {
		q.sendTo(q.entriesOfZone(), quarantineMessage{Records: changed, Digest: digest, IsList: true})
	}
}

// logVerdict writes a verdict with what it rests on.
func (q *quarantineDuty) logVerdict(verdict quarantine.Verdict) {
	event := "quarantine_ended"
	if verdict.IsQuarantined {
		event = "quarantined"
		quarantineVerdicts.Inc()
	}
	lives, ages, suspicions := make([]string, 0, len(verdict.Ends)), make([]int64, 0, len(verdict.Ends)), make([]string, 0, len(verdict.Ends))
	for _, end := range verdict.Ends {
		lives = append(lives, end.Life.String())
		ages = append(ages, end.Age.Milliseconds())
		suspicions = append(suspicions, end.Suspicion.String())
	}
	q.node.log.Warn().Str("event", event).Stringer("fingerprint", verdict.Fingerprint).Str("route", verdict.Route).
		Str("tenant", verdict.Tenant).Int("counted", verdict.Counted).Int("beside", verdict.Beside).
		Strs("lives", lives).Ints64("ages_ms", ages).Strs("suspicions", suspicions).Uint32("generation", verdict.Generation).Send()
}

// controls are the control nodes that are heard.
func (q *quarantineDuty) controls() []string {
	var addresses []string
	for _, known := range q.node.fleet.view.Load().alive {
		if known.Control && known.Address != q.node.address {
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}

// entriesOfZone are the entry nodes whom this control node tells of changes at once.
// Those of zones without one have them from the next hello on.
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

// take merges what another node sent.
func (q *quarantineDuty) take(from string, message quarantineMessage) {
	q.duty.Offer(func() {
		now := q.node.now()
		q.tracker.Merge(now, message.Records)
		if message.IsList {
			q.known, q.mismatches = message.Digest, 0
		}
		if message.Answer && q.node.replica != nil {
			q.sendTo([]string{from}, quarantineMessage{Records: q.tracker.Records(now), Digest: q.tracker.Digest(), IsList: true})
		}
	})
}

// hear compares a control node's list with the one known here, and asks for it if it is
// another one. A control node that was not heard of late is told all that this node
// holds: it may have been cut off, or have lost its memory.
func (q *quarantineDuty) hear(from string, digest uint64, isNew bool) {
	if digest == 0 && q.digest.Load() == 0 && !isNew {
		return
	}
	q.duty.Offer(func() {
		if isNew {
			q.sendAllTo(from)
		}
		q.compare(from, digest)
	})
}

// sendAllTo sends all that is held here to one node.
func (q *quarantineDuty) sendAllTo(receiver string) {
	if records := q.tracker.Records(q.node.now()); len(records) > 0 {
		q.sendTo([]string{receiver}, quarantineMessage{Records: records})
	}
}

func (q *quarantineDuty) compare(from string, digest uint64) {
	if digest == q.known || digest == q.tracker.Digest() {
		q.mismatches = 0
		return
	}
	now := q.node.now()
	isFirst := q.known == 0
	q.mismatches++
	if !isFirst && q.mismatches <= quarantineMismatches || q.hasAsked && now-q.askedAt < quarantineAskPause {
		return
	}
	q.askedAt, q.hasAsked, q.mismatches = now, true, 0
	ask := quarantineMessage{Answer: true}
	if q.node.replica != nil {
		ask.Records = q.tracker.Records(now)
	}
	q.sendTo([]string{from}, ask)
}

// ErrNotHeld says that nothing is held against a request.
var ErrNotHeld = errors.New("gateway: nothing is held against the request")

// held lists what this node holds against requests: those in quarantine first, then
// those with the most ends.
func (q *quarantineDuty) held(ctx context.Context) ([]quarantine.Held, error) {
	return duty.Call(ctx, q.duty, func(answer func([]quarantine.Held)) { answer(q.tracker.Held(q.node.now())) })
}

// release forgets the ends of a request; all nodes are told.
func (q *quarantineDuty) release(ctx context.Context, fingerprint quarantine.Fingerprint) error {
	wasHeld, err := duty.Call(ctx, q.duty, func(answer func(bool)) { answer(q.clear(fingerprint, "released by an operator")) })
	if err == nil && !wasHeld {
		err = ErrNotHeld
	}
	return err
}
