package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

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
)

var (
	rolloutsDone       = metrics.GetOrCreateCounter(`ravenway_rollouts_total{ended="done"}`)
	rolloutsRolledBack = metrics.GetOrCreateCounter(`ravenway_rollouts_total{ended="rolled_back"}`)
)

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
	for _, one := range d.node.rollouts.inForce().Rollouts {
		if !one.Stage.IsRunning() {
			delete(d.judges, one.Revision)
			continue
		}
		if live == nil {
			live = d.liveEntries()
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

// liveEntries are the names of the entry nodes that are heard: holderName of each.
func (d *rolloutsDuty) liveEntries() []string {
	var live []string
	for _, known := range d.node.fleet.view.Load().alive {
		if known.Entry {
			live = append(live, holderName(known.Address, known.Incarnation))
		}
	}
	return live
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
