package gateway

import (
	"context"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/state/document"
)

// instancesTimeout is how long after its start an entry node that has its configuration waits for
// a list of instances before it reports itself ready without one.
const instancesTimeout = 4 * time.Second

// entryEnvironment implements forward.Environment, the pipeline's view of the node.
type entryEnvironment struct{ node *Node }

// Configuration implements forward.Environment.
func (e *entryEnvironment) Configuration() *document.Index { return e.node.documents.index.Load() }

// HasNewestConfiguration implements forward.Environment: no control node that recently had contact
// with a quorum has a higher version.
func (e *entryEnvironment) HasNewestConfiguration() bool {
	view := e.node.fleet.view.Load()
	return e.node.now() < view.rootContactAt+versionValidity && e.node.documents.version() >= view.certainVersion
}

// NewestKnown implements forward.Environment.
func (e *entryEnvironment) NewestKnown() (version uint64, since time.Duration) {
	return e.node.documents.newestKnown()
}

// Reserve implements forward.Environment.
func (e *entryEnvironment) Reserve(ctx context.Context, tenant string, tokens uint64, maximumWait time.Duration) (forward.Reservation, error) {
	return e.node.tokens.reserve(ctx, tenant, tokens, maximumWait)
}

// RetryPolicy implements forward.Environment.
func (e *entryEnvironment) RetryPolicy() balance.RetryPolicy {
	bounds := e.node.settings.Load().Bounds
	return balance.RetryPolicy{
		Window: bounds.RetryWindow, Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Nodes: e.EntryNodes(),
	}
}

// EntryNodes implements forward.Environment.
func (e *entryEnvironment) EntryNodes() int { return max(1, e.node.fleet.view.Load().entries) }

// Stop implements forward.Environment.
func (e *entryEnvironment) Stop() forward.StopState {
	stop := e.node.stop.Load()
	if stop == nil {
		return forward.StopState{}
	}
	now := e.node.now()
	return forward.StopState{Begun: true, Since: now - stop.began, Left: stop.abortsAt - now}
}

// LinkDelay implements forward.Environment.
func (e *entryEnvironment) LinkDelay() time.Duration {
	return time.Duration(e.node.link.currentDelay.Load())
}

// Shedding implements forward.Environment.
func (e *entryEnvironment) Shedding() bool { return e.node.link.shedding.Load() }

// Admit implements forward.Environment.
func (e *entryEnvironment) Admit(caller string, bodyBytes int64, mustServe bool) bool {
	return e.node.gate.admits(caller, bodyBytes, mustServe)
}

// Now implements forward.Environment.
func (e *entryEnvironment) Now() time.Duration { return e.node.now() }

// asksForNoConnections reports whether the node's link asks for new connections to go to other nodes. In a surge
// the next node would get all of them; there the node refuses what it can't serve.
func (n *Node) asksForNoConnections() bool { return n.link.busy.Load() && !n.gate.refusesConnections() }

// ready reports whether callers should be sent to this entry node.
func (n *Node) ready() bool {
	if n.isStopping() || n.documents.version() == 0 || n.link.shedding.Load() || n.asksForNoConnections() || n.paths.IsIsolated() {
		return false
	}
	return n.fleet.instanceCount.Load() > 0 || n.now() > instancesTimeout
}
