package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	judging "github.com/ravenway/ravenway/internal/coordination/rollout"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/machine"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// rolloutTick is the time between two looks of the leader at its evidence.
	rolloutTick = 100 * time.Millisecond
	// evidenceInterval is the time between a node's reports of what it recorded, and
	// evidenceOfNode what it grows by for each entry node: the leader has some 400 reports
	// a second at most.
	evidenceInterval = 250 * time.Millisecond
	evidenceOfNode   = 2500 * time.Microsecond
	// canaryShare is the part of the exposure that a bad version may have that a canary
	// uses. The rest is for nodes that end and are forgotten with what they had served.
	canaryShare = 0.8
	// leastRollout is the shortest time in which a version can be judged and all work moved;
	// mostRollout keeps a mistaken figure from standing for weeks.
	leastRollout, mostRollout = 3 * time.Second, 24 * time.Hour
	// tellDoneFor is how long nodes are told of a rollout that is done, and keep from the
	// old version: its instances end meanwhile. Later ones of any version get work again.
	tellDoneFor = 15 * time.Second
)

// Errors of orders for rollouts.
var (
	// ErrUnknownService says that the configuration has no such service.
	ErrUnknownService = errors.New("gateway: no such service")
	// ErrRolloutUnderWay says that the same order was taken before.
	ErrRolloutUnderWay = errors.New("gateway: the rollout is under way")
	// ErrOtherRollout says that another rollout of the service is running.
	ErrOtherRollout = errors.New("gateway: another rollout of the service is running")
	// ErrVersionRuns says that all of the service's instances have the version already.
	ErrVersionRuns = errors.New("gateway: the version runs already")
	// ErrRolloutDuration says that an order can't be met in its time.
	ErrRolloutDuration = errors.New("gateway: a rollout can't take that time")
	// ErrNoRollout says that no rollout of the service was ordered.
	ErrNoRollout = errors.New("gateway: no rollout of the service was ordered")
	// errConfigurationNotRead says that the leader does not know the configuration yet.
	errConfigurationNotRead = errors.New("the leader has not read its configuration yet")
	// errOlderNodes says that nodes run builds that know no rollouts.
	errOlderNodes = errors.New("nodes run a build that knows no rollouts")
)

var (
	rolloutsDone       = metrics.GetOrCreateCounter(`ravenway_rollouts_total{ended="done"}`)
	rolloutsRolledBack = metrics.GetOrCreateCounter(`ravenway_rollouts_total{ended="rolled_back"}`)
)

// rolloutStore holds the rollouts in force at this node: a control node has them from the
// log, an entry node from the hellos of control nodes. It is used by several duties.
type rolloutStore struct {
	node     *Node
	recorder *judging.Recorder
	mutex    sync.Mutex
	held     rollout.Set
	// seen is when this node first held each rollout by its revision, as if it had held it
	// since the order.
	seen map[uint64]time.Duration
	// steppedAt is when it was last seen to move on.
	steppedAt map[uint64]time.Duration
	// kept is the number of rollouts that the table keeps to.
	kept int
}

func newRolloutStore(node *Node) *rolloutStore {
	return &rolloutStore{node: node, recorder: judging.NewRecorder(), seen: map[uint64]time.Duration{}, steppedAt: map[uint64]time.Duration{}}
}

// inForce are the rollouts as this node keeps to them.
func (s *rolloutStore) inForce() rollout.Set {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.held
}

// hear takes a control node's word of the rollouts.
func (s *rolloutStore) hear(hello peer.Hello) {
	if s.node.replica == nil && hello.Rollouts != nil {
		s.put(hello.Address, *hello.Rollouts, false)
	}
}

// put takes rollouts that a control node or this node's own log tells of. A control node
// says hello to all at once. One whose log is read again after a start has missed a part of
// a rollout's time, which the time of day tells.
func (s *rolloutStore) put(from string, set rollout.Set, isRestored bool) {
	now := s.node.now()
	s.mutex.Lock()
	isNewer := set.Supersedes(s.held)
	if isNewer {
		s.noteTimes(now, set, isRestored)
		s.held = set
		s.recorder.Watch(set.Rollouts)
		s.keepTo(now)
	}
	s.mutex.Unlock()
	if !isNewer {
		return
	}
	for _, one := range set.Rollouts {
		s.node.log.Info().Str("event", "rollout").Str("service", one.Service).Str("target", one.Version).Stringer("stage", one.Stage).
			Uint64("rollout", one.Revision).Uint64("revision", set.Revision).Str("reason", one.Reason).Str("from", from).Send()
	}
	if s.node.replica != nil {
		s.node.fleet.duty.Offer(s.node.fleet.hello)
	}
}

func (s *rolloutStore) noteTimes(now time.Duration, set rollout.Set, isRestored bool) {
	for _, one := range set.Rollouts {
		before, wasHeld := s.held.Find(one.Service)
		if !wasHeld || before.Revision != one.Revision || before.Stage != one.Stage {
			s.steppedAt[one.Revision] = now
		}
		if _, found := s.seen[one.Revision]; found {
			continue
		}
		age := time.Duration(0)
		if isRestored {
			age = min(max(0, time.Since(time.UnixMilli(one.OrderedMS))), one.Duration)
		}
		s.seen[one.Revision] = now - age
	}
	isHeld := func(revision uint64) bool {
		return slices.ContainsFunc(set.Rollouts, func(one rollout.Rollout) bool { return one.Revision == revision })
	}
	for revision := range s.seen {
		if !isHeld(revision) {
			delete(s.seen, revision)
			delete(s.steppedAt, revision)
		}
	}
}

func (s *rolloutStore) share() balance.RolloutShare {
	return balance.RolloutShare{
		Share: canaryShare * s.node.settings.Load().Bounds.ExposureShare, Nodes: max(1, s.node.fleet.view.Load().entries),
	}
}

// keepTo has the table keep to the rollouts that say where requests go. The caller holds
// the mutex.
func (s *rolloutStore) keepTo(now time.Duration) {
	kept := s.effective(now)
	s.kept = len(kept)
	s.node.table.SetRollouts(kept, s.share())
}

// tick gives up rollouts that are done for long enough.
func (s *rolloutStore) tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now := s.node.now(); s.kept > 0 && len(s.effective(now)) != s.kept {
		s.keepTo(now)
	}
}

// effective are the rollouts but those that are done for some time. The caller holds the
// mutex.
func (s *rolloutStore) effective(now time.Duration) []rollout.Rollout {
	return slices.DeleteFunc(slices.Clone(s.held.Rollouts), func(one rollout.Rollout) bool {
		return one.Stage == rollout.Done && now-s.steppedAt[one.Revision] >= tellDoneFor
	})
}

// told is what this control node's hellos tell of rollouts; nil is nothing.
func (s *rolloutStore) told() *rollout.Set {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if told := s.effective(s.node.now()); len(told) > 0 {
		return &rollout.Set{Revision: s.held.Revision, Rollouts: told}
	}
	return nil
}

// elapsed is the time since a rollout was ordered.
func (s *rolloutStore) elapsed(one rollout.Rollout) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.node.now() - s.seen[one.Revision]
}

// evidenceMessage carries what a node has recorded of rollouts to the leader.
type evidenceMessage struct {
	// Life is the node's life: its counts begin anew with each.
	Life     string             `msgpack:"l"`
	Evidence []judging.Evidence `msgpack:"e"`
}

// rolloutsDuty reports what this entry node has recorded, or judges rollouts if this
// control node leads.
type rolloutsDuty struct {
	node *Node
	duty *duty.Duty
	// reportedAt is when evidence was last sent.
	reportedAt time.Duration
	// judges are the leader's, by the rollouts' revisions.
	judges map[uint64]*judging.Judge
	// isProposing tells that a step is on its way into the log.
	isProposing bool
}

func newRolloutsDuty(node *Node) *rolloutsDuty {
	made := &rolloutsDuty{node: node, duty: duty.New("rollouts", rolloutTick), judges: map[uint64]*judging.Judge{}}
	made.duty.Tick, made.duty.Flush = made.tick, func() {}
	return made
}

func (d *rolloutsDuty) tick() {
	d.node.rollouts.tick()
	if d.node.pipeline != nil {
		d.report()
	}
	if d.node.replica != nil {
		d.judge()
	}
}

// report sends what this node has recorded to the leader.
func (d *rolloutsDuty) report() {
	now := d.node.now()
	interval := max(evidenceInterval, time.Duration(d.node.fleet.view.Load().entries)*evidenceOfNode)
	leader := d.node.leader()
	if now-d.reportedAt < interval || leader == "" {
		return
	}
	evidence := d.node.rollouts.recorder.Evidence()
	if len(evidence) == 0 {
		return
	}
	for position := range evidence {
		evidence[position].OldUnderWay = d.node.table.OldUnderWay(evidence[position].Service)
	}
	d.reportedAt = now
	d.node.send(leader, peer.KindRollouts, &evidenceMessage{Life: d.node.life, Evidence: evidence})
}

// take takes a node's evidence.
func (d *rolloutsDuty) take(from string, message evidenceMessage) {
	d.duty.Offer(func() {
		for _, evidence := range message.Evidence {
			if judge := d.judges[evidence.Rollout]; judge != nil {
				judge.Take(holderName(from, message.Life), evidence)
			}
		}
	})
}

// judge moves the running rollouts on if this node leads.
func (d *rolloutsDuty) judge() {
	if !d.node.replica.shared.Load().leading {
		clear(d.judges)
		return
	}
	var live []string
	for _, known := range d.node.fleet.view.Load().alive {
		if known.Entry {
			live = append(live, holderName(known.Address, known.Life))
		}
	}
	for _, one := range d.node.rollouts.inForce().Rollouts {
		if !one.Stage.IsRunning() {
			delete(d.judges, one.Revision)
			continue
		}
		judge := d.judges[one.Revision]
		if judge == nil {
			judge = judging.NewJudge(one.Duration)
			d.judges[one.Revision] = judge
		}
		decision := judge.Step(d.node.rollouts.elapsed(one), one.Stage, live)
		if decision.Stage != one.Stage && !d.isProposing {
			d.propose(one, decision)
		}
	}
}

// propose commits a rollout's next stage. What is not committed is decided again.
func (d *rolloutsDuty) propose(one rollout.Rollout, decision judging.Decision) {
	d.isProposing = true
	step := rollout.Step{Service: one.Service, Rollout: one.Revision, Stage: decision.Stage, Reason: decision.Reason}
	replica := d.node.replica
	replica.duty.Offer(func() {
		replica.propose(machine.Command{Rollout: &machine.RolloutCommand{Step: &step}}, func(_ machine.Result, err error) {
			d.node.log.Info().Str("event", "rollout_step").Str("service", one.Service).Str("target", one.Version).Uint64("rollout", one.Revision).
				Stringer("stage", step.Stage).Str("reason", step.Reason).Int64("elapsed_ms", d.node.rollouts.elapsed(one).Milliseconds()).AnErr("error", err).Send()
			if err == nil && step.Stage == rollout.Done {
				rolloutsDone.Inc()
			}
			if err == nil && step.Stage == rollout.RolledBack {
				rolloutsRolledBack.Inc()
			}
			d.duty.Offer(func() { d.isProposing = false })
		})
	})
}

// rolloutRefusal tells why an order was not taken.
type rolloutRefusal uint8

const (
	rolloutTaken rolloutRefusal = iota
	refusedUnknownService
	refusedVersionRuns
	refusedOlderNodes
)

// rolloutAnswer answers an order for a rollout, or a question for one.
type rolloutAnswer struct {
	Refused rolloutRefusal  `msgpack:"f"`
	Answer  rollout.Answer  `msgpack:"a"`
	Rollout rollout.Rollout `msgpack:"r"`
	Found   bool            `msgpack:"o"`
}

// rolloutQuestion asks the leader for a service's newest rollout.
type rolloutQuestion struct {
	Service string `msgpack:"s"`
}

// OrderRollout implements Control.
func (n *Node) OrderRollout(ctx context.Context, service, version string, duration time.Duration) error {
	if duration < leastRollout || duration > mostRollout {
		return fmt.Errorf("%w: %s; from %s to %s are possible", ErrRolloutDuration, duration, leastRollout, mostRollout)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := rollout.Order{Service: service, Version: version, Duration: duration}
	answer, err := atLeader(ctx, n, peer.MethodOrderRollout, &order, func() (rolloutAnswer, error) { return n.orderRolloutHere(ctx, order) })
	if err == nil {
		err = answer.err(order)
	} else {
		err = fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	n.log.Info().Str("event", "rollout_order").Str("service", service).Str("target", version).Dur("duration", duration).
		Uint64("rollout", answer.Rollout.Revision).AnErr("error", err).Send()
	return err
}

func (a rolloutAnswer) err(order rollout.Order) error {
	switch {
	case a.Refused == refusedUnknownService:
		return fmt.Errorf("%w: %q", ErrUnknownService, order.Service)
	case a.Refused == refusedVersionRuns:
		return fmt.Errorf("%w: %q of service %q", ErrVersionRuns, order.Version, order.Service)
	case a.Refused == refusedOlderNodes:
		return fmt.Errorf("%w: %w", ErrUnavailable, errOlderNodes)
	case a.Answer == rollout.UnderWay:
		return fmt.Errorf("%w: to %q since entry %d, now %s", ErrRolloutUnderWay, a.Rollout.Version, a.Rollout.Revision, a.Rollout.Stage)
	case a.Answer == rollout.OtherUnderWay:
		return fmt.Errorf("%w: to %q", ErrOtherRollout, a.Rollout.Version)
	}
	return nil
}

// orderRolloutHere commits an order if this node leads.
func (n *Node) orderRolloutHere(ctx context.Context, order rollout.Order) (rolloutAnswer, error) {
	held, err := readHere(ctx, n, (*machine.Machine).Document)
	if err != nil {
		return rolloutAnswer{}, err
	}
	if held.Version == 0 || n.documents.version() < held.Version {
		// This node has just started: it can't tell which services there are.
		return rolloutAnswer{}, errConfigurationNotRead
	}
	if refused := n.refusesRollout(order); refused != rolloutTaken {
		return rolloutAnswer{Refused: refused}, nil
	}
	order.OrderedMS = time.Now().UnixMilli()
	result, err := n.commitHere(ctx, machine.Command{Rollout: &machine.RolloutCommand{Order: &order}})
	if err != nil {
		return rolloutAnswer{}, err
	}
	return rolloutAnswer{Answer: result.Rollout.Answer, Rollout: result.Rollout.Rollout, Found: true}, nil
}

// refusesRollout tells why an order can't be taken as things are.
func (n *Node) refusesRollout(order rollout.Order) rolloutRefusal {
	index := n.documents.index.Load()
	if index.Service(order.Service) == nil {
		return refusedUnknownService
	}
	for _, known := range n.fleet.view.Load().alive {
		if known.Dialect < peer.DialectSums {
			return refusedOlderNodes
		}
	}
	versions := n.table.Versions(order.Service)
	if running, found := n.rollouts.inForce().Find(order.Service); found && running.Stage.IsRunning() {
		return rolloutTaken
	}
	if len(versions) == 1 && slices.Contains(versions, order.Version) {
		return refusedVersionRuns
	}
	return rolloutTaken
}

// Rollout implements Control.
func (n *Node) Rollout(ctx context.Context, service string) (rollout.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	question := rolloutQuestion{Service: service}
	answer, err := atLeader(ctx, n, peer.MethodReadRollout, &question, func() (rolloutAnswer, error) { return n.readRolloutHere(ctx, question) })
	switch {
	case err != nil:
		return rollout.Rollout{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case !answer.Found:
		return rollout.Rollout{}, fmt.Errorf("%w: %q", ErrNoRollout, service)
	}
	return answer.Rollout, nil
}

// readRolloutHere reads a rollout once a quorum has confirmed that this node leads.
func (n *Node) readRolloutHere(ctx context.Context, question rolloutQuestion) (rolloutAnswer, error) {
	return readHere(ctx, n, func(state *machine.Machine) rolloutAnswer {
		found, isFound := state.Rollouts().Find(question.Service)
		return rolloutAnswer{Rollout: found, Found: isFound}
	})
}
