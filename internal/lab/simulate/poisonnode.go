package simulate

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/quarantine"
)

// poisonNode is an entry node: its tracker and its guard.
type poisonNode struct {
	world   *poisonWorld
	number  int
	tracker *quarantine.Tracker
	guard   *quarantine.Guard
	// hasList reports for each control node whether it has sent its list to this node since it was last
	// out of reach.
	hasList [poisonControls]bool
}

// EnginesCrashed implements quarantine.Sink: it records crash reports.
func (n *poisonNode) EnginesCrashed(reports []quarantine.CrashReport) {
	if !n.world.options.Policy.usesTracker() {
		return
	}
	for _, one := range reports {
		n.tracker.Report(n.world.Now, one)
	}
	n.decide()
}

// RequestCompleted implements quarantine.Sink: it clears a request that ran to completion.
func (n *poisonNode) RequestCompleted(fingerprint quarantine.Fingerprint) {
	n.tracker.Clear(n.world.Now, fingerprint)
	n.decide()
}

// PartWritten implements quarantine.Sink.
func (n *poisonNode) PartWritten(fingerprint quarantine.Fingerprint) { n.RequestCompleted(fingerprint) }

// decide updates the node's verdicts and sends its updates to the reachable control nodes.
func (n *poisonNode) decide() {
	n.tracker.Decide(n.world.Now)
	n.guard.SetView(n.world.Now, n.tracker.View())
	updates := n.tracker.TakeUpdates(n.world.Now)
	for number, control := range n.world.controls {
		if len(updates) > 0 && n.world.isReachable(n.number, number) {
			n.world.After(n.world.between(time.Millisecond, 10*time.Millisecond), func() { control.Merge(n.world.Now, updates) })
		}
	}
}

// isReachable reports whether a node reaches a control node. A partition separates the last third of
// the nodes and the last control node from the others.
func (w *poisonWorld) isReachable(node, control int) bool {
	return !w.isPartitioned || (node*poisonControls/poisonNodes == poisonControls-1) == (control == poisonControls-1)
}

// exchange is one round of each control node: it sends changed records to the nodes, and, unless
// there is a partition, all its records to the other control nodes every two seconds.
func (w *poisonWorld) exchange() {
	for number, control := range w.controls {
		var changed []quarantine.Record
		if control.IsDue(w.Now) {
			control.Decide(w.Now)
			changed = control.TakeChanged(w.Now)
		}
		for position, node := range w.nodes {
			records := changed
			isReachable := w.isReachable(position, number)
			if isReachable && !node.hasList[number] {
				records = control.SharedRecords(w.Now)
			}
			node.hasList[number] = isReachable
			if node.hasList[number] && len(records) > 0 {
				node.tracker.Merge(w.Now, records)
				node.tracker.Decide(w.Now)
				node.guard.SetView(w.Now, node.tracker.View())
			}
		}
		for other := range w.controls {
			if !w.isPartitioned && other != number && w.Now%(2*time.Second) < exchangeInterval {
				w.controls[other].Merge(w.Now, control.Records(w.Now))
			}
		}
	}
}
