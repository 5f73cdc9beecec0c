package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	canary "github.com/ravenway/ravenway/internal/coordination/rollout"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/machine"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// analysisTick is the interval of the leader's analysis of the samples of running rollouts.
	analysisTick = 100 * time.Millisecond
	// sampleInterval is the minimum time between a node's reports of its samples.
	// sampleIntervalPerNode is the minimum for each entry node of the fleet, so that the leader
	// receives at most some 400 reports a second.
	sampleInterval        = 250 * time.Millisecond
	sampleIntervalPerNode = 2500 * time.Microsecond
)

var (
	rolloutsDone       = metrics.GetOrCreateCounter(`ravenway_rollouts_total{ended="done"}`)
	rolloutsRolledBack = metrics.GetOrCreateCounter(`ravenway_rollouts_total{ended="rolled_back"}`)
)

// samplesMessage carries the samples that a node recorded of rollouts to the leader.
type samplesMessage struct {
	// Incarnation is the node's incarnation. The counts restart at zero with each.
	Incarnation string           `msgpack:"l"`
	Samples     []canary.Samples `msgpack:"e"`
}

// canaryDuty reports the samples of an entry node to the leader, and on the leading control node
// decides on the rollouts by canary analysis: it compares the responses of the new version with
// those of the old one. Samples are counts of all and of bad responses by version, route and
// instance.
type canaryDuty struct {
	node *Node
	duty *duty.Duty
	// reportedAt is when samples were last sent.
	reportedAt time.Duration
	// analyzers are the leader's canary analyses, by the rollouts' revisions.
	analyzers map[uint64]*canary.Analyzer
	// isProposing is set while a step is proposed to the log and not yet committed.
	isProposing bool
}

func newCanaryDuty(node *Node) *canaryDuty {
	created := &canaryDuty{node: node, duty: duty.New("rollouts", analysisTick), analyzers: map[uint64]*canary.Analyzer{}}
	created.duty.Tick, created.duty.Flush = created.tick, func() {}
	return created
}

func (d *canaryDuty) tick() {
	d.node.rollouts.tick()
	if d.node.pipeline != nil {
		d.report()
	}
	if d.node.replica != nil {
		d.analyze()
	}
}

// report sends this node's samples to the leader.
func (d *canaryDuty) report() {
	now := d.node.now()
	interval := max(sampleInterval, time.Duration(d.node.fleet.view.Load().entries)*sampleIntervalPerNode)
	leader := d.node.leader()
	if now-d.reportedAt < interval || leader == "" {
		return
	}
	samples := d.node.rollouts.recorder.Samples()
	if len(samples) == 0 {
		return
	}
	for position := range samples {
		samples[position].OldInFlight = d.node.table.OldInFlight(samples[position].Service)
	}
	d.reportedAt = now
	d.node.send(leader, peer.KindRollouts, &samplesMessage{Incarnation: d.node.incarnation, Samples: samples})
}

// handleSamples accepts a node's samples.
func (d *canaryDuty) handleSamples(from string, message samplesMessage) {
	d.duty.Offer(func() {
		for _, samples := range message.Samples {
			if analyzer := d.analyzers[samples.Revision]; analyzer != nil {
				analyzer.SetSamples(holderName(from, message.Incarnation), samples)
			}
		}
	})
}

// analyze runs the canary analysis of the running rollouts and proposes their next stages if this
// node leads.
func (d *canaryDuty) analyze() {
	if !d.node.replica.shared.Load().leading {
		clear(d.analyzers)
		return
	}
	var live []string
	for _, one := range d.node.rollouts.current().Rollouts {
		if !one.Stage.IsRunning() {
			delete(d.analyzers, one.Revision)
			continue
		}
		if live == nil {
			live = d.liveEntries()
		}
		analyzer := d.analyzers[one.Revision]
		if analyzer == nil {
			analyzer = canary.NewAnalyzer(one.Duration)
			d.analyzers[one.Revision] = analyzer
		}
		decision := analyzer.Step(d.node.rollouts.elapsed(one), one.Stage, live)
		if decision.Stage != one.Stage && !d.isProposing {
			d.propose(one, decision)
		}
	}
}

// liveEntries are the names of the live entry nodes, as holderName forms them.
func (d *canaryDuty) liveEntries() []string {
	var live []string
	for _, known := range d.node.fleet.view.Load().alive {
		if known.Entry {
			live = append(live, holderName(known.Address, known.Incarnation))
		}
	}
	return live
}

// propose proposes a rollout's next stage to the log. A stage that is not committed is decided
// again.
func (d *canaryDuty) propose(one rollout.Rollout, decision canary.Decision) {
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
