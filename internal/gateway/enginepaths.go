package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/enginepath"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

var (
	enginesUnreachable = metrics.GetOrCreateGauge("ravenway_engines_unreachable", nil)
	enginePathLost     = metrics.GetOrCreateGauge("ravenway_engine_path_lost", nil)
	nodeIsolated       = metrics.GetOrCreateGauge("ravenway_node_isolated", nil)
	relayedConnections = metrics.GetOrCreateGauge("ravenway_engine_connections_through_relays", nil)
)

// enginePaths decides how this entry node opens connections to engines, directly and through other
// entry nodes, and logs when it loses and regains its own path to them.
type enginePaths struct {
	node    *Node
	tracker *enginepath.Tracker
	peers   *enginepath.Peers
	// generation is the generation of the neighbours that the peers were last given.
	generation uint64
	// peersUpdatedAt is when the peers were last given: the nodes' versions may become known later.
	peersUpdatedAt time.Duration
	// prunedAt is when the state of engines that are no longer listed was last dropped.
	prunedAt time.Duration
	// wasIsolated is whether the node was isolated at the last tick.
	wasIsolated bool
}

func newEnginePaths(node *Node) *enginePaths {
	return &enginePaths{node: node, tracker: enginepath.NewTracker(), peers: enginepath.NewPeers(node.settings.Load().Node.Zone)}
}

// Plan implements forward.EnginePaths.
func (p *enginePaths) Plan(address string) enginepath.Plan {
	return p.tracker.Plan(p.node.now(), address)
}

// RecordDial implements forward.EnginePaths.
func (p *enginePaths) RecordDial(address string, outcome enginepath.Outcome, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_engine_dials_total{result=%q}", outcome)).Inc()
	change := p.tracker.Record(p.node.now(), address, outcome, took)
	if change.Kind == enginepath.Unchanged {
		return
	}
	p.node.log.Warn().Str("event", "engine_path").Stringer("change", change.Kind).
		Int("silent", change.Silent).Int("refused", change.Refused).Int64("listed", p.node.fleet.instanceCount.Load()).
		Int64("contact_ago_ms", change.SinceContact.Milliseconds()).Int64("lasted_ms", change.Lasted.Milliseconds()).Send()
}

// IsDoubtful implements forward.EnginePaths.
func (p *enginePaths) IsDoubtful(address string) bool { return p.tracker.IsDoubtful(address) }

// IsLost implements forward.EnginePaths.
func (p *enginePaths) IsLost() bool {
	_, isLost := p.tracker.Loss(p.node.now())
	return isLost
}

// IsPartitioned implements forward.EnginePaths.
func (p *enginePaths) IsPartitioned(address string) bool {
	return p.tracker.IsPartitioned(p.node.now(), address)
}

// TakeCheck implements forward.EnginePaths.
func (p *enginePaths) TakeCheck(address string) bool {
	return p.tracker.TakeCheck(p.node.now(), address)
}

// IsIsolated implements forward.EnginePaths.
func (p *enginePaths) IsIsolated() bool {
	return p.tracker.IsIsolated(p.node.now())
}

// OpenRelayed implements forward.EnginePaths.
func (p *enginePaths) OpenRelayed(ctx context.Context, address string, incarnation registry.Incarnation) (forward.RelayedConnection, error) {
	search := &relaySearch{paths: p, request: peer.RelayRequest{Instance: incarnation.ID, StartedAt: incarnation.StartedAt, Address: address}}
	found, err := search.run(ctx)
	if !errors.Is(err, context.Canceled) {
		outcome := search.outcome(err)
		metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_relay_searches_total{result=%q}", outcome)).Inc()
		p.tracker.RecordRelay(p.node.now(), address, outcome)
	}
	if err != nil {
		return nil, err
	}
	return found, nil
}

// forget drops the state of engines of which newer incarnations are known.
func (p *enginePaths) forget(replaced []registry.Instance) {
	for _, previous := range replaced {
		p.tracker.Forget(previous.Address)
	}
}

// tick updates the peers and the metrics and drops the state of engines that are no longer listed.
// The loads duty calls it.
func (p *enginePaths) tick() {
	now := p.node.now()
	p.updatePeers(now)
	p.tracker.SetListed(int(p.node.fleet.instanceCount.Load()))
	if !p.tracker.IsEmpty() && now-p.prunedAt >= pruneInterval {
		p.tracker.Prune(now, p.node.table.Addresses())
		p.prunedAt = now
	}
	for _, address := range p.tracker.TakeProbes(now, p.node.table.Addresses) {
		go p.probe(address)
	}
	isIsolated := p.IsIsolated()
	enginesUnreachable.Set(float64(p.tracker.UnreachableCount()))
	enginePathLost.Set(gaugeOf(p.IsLost()))
	nodeIsolated.Set(gaugeOf(isIsolated))
	relayedConnections.Set(float64(p.peers.Total()))
	if isIsolated != p.wasIsolated {
		p.wasIsolated = isIsolated
		p.node.log.Warn().Str("event", "node_isolated").Bool("isolated", isIsolated).Int("unreachable", p.tracker.UnreachableCount()).
			Int64("listed", p.node.fleet.instanceCount.Load()).Send()
	}
}

// probe connects to an engine directly, to find out whether the path is back.
func (p *enginePaths) probe(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), forward.DialTimeout)
	defer cancel()
	startedAt := time.Now()
	engine, err := p.node.pipeline.DialEngine(ctx, address)
	p.RecordDial(address, forward.DialOutcome(err), time.Since(startedAt))
	if err == nil {
		_ = engine.Close()
	}
}

func gaugeOf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// updatePeers passes the other entry nodes that may relay to the choice of relays. A node whose version
// is not known, since the control nodes have just started, may: one that can't refuses the stream.
func (p *enginePaths) updatePeers(now time.Duration) {
	neighbours := &p.node.fleet.view.Load().neighbours
	if neighbours.generation == p.generation && now-p.peersUpdatedAt < pruneInterval {
		return
	}
	p.generation, p.peersUpdatedAt = neighbours.generation, now
	var peers []enginepath.Peer
	for _, entry := range neighbours.nodes {
		version := p.node.protocols.versionOf(entry.Address)
		if version >= peer.ProtocolRelays || version == peer.ProtocolStrict {
			peers = append(peers, enginepath.Peer{Address: entry.Address, Zone: entry.Zone})
		}
	}
	p.peers.SetNodes(peers)
}
