package gateway

import (
	"context"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/state/document"
)

// instancesPatience is how long an entry node that has its configuration waits
// for a list of instances before it calls itself ready without one.
const instancesPatience = 4 * time.Second

// entryEnvironment is the node as the pipeline sees it.
type entryEnvironment struct{ node *Node }

// Configuration implements forward.Environment.
func (e *entryEnvironment) Configuration() *document.Index { return e.node.documents.index.Load() }

// HasNewestConfiguration implements forward.Environment: a control node that lately had word
// of a quorum has no higher version.
func (e *entryEnvironment) HasNewestConfiguration() bool {
	view := e.node.fleet.view.Load()
	return e.node.now() < view.rootHeardAt+certainFor && e.node.documents.version() >= view.certainVersion
}

// NewestKnown implements forward.Environment.
func (e *entryEnvironment) NewestKnown() (version uint64, since time.Duration) {
	return e.node.documents.newestHeard()
}

// Reserve implements forward.Environment.
func (e *entryEnvironment) Reserve(ctx context.Context, tenant string, tokens uint64, patience time.Duration) (forward.Reservation, error) {
	return e.node.tokens.reserve(ctx, tenant, tokens, patience)
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
	return forward.StopState{Begun: true, Since: now - stop.began, Left: stop.cutsAt - now}
}

// LinkDelay implements forward.Environment.
func (e *entryEnvironment) LinkDelay() time.Duration {
	return time.Duration(e.node.link.current.Load())
}

// Shedding implements forward.Environment.
func (e *entryEnvironment) Shedding() bool { return e.node.link.shedding.Load() }

// Admit implements forward.Environment.
func (e *entryEnvironment) Admit(caller string, bodyBytes int64, mustServe bool) bool {
	return e.node.gate.letsIn(caller, bodyBytes, mustServe)
}

// Now implements forward.Environment.
func (e *entryEnvironment) Now() time.Duration { return e.node.now() }

// ready tells whether this entry node should get callers.
func (n *Node) ready() bool {
	if n.isStopping() || n.documents.version() == 0 || n.link.shedding.Load() || n.link.busy.Load() {
		return false
	}
	return n.fleet.instances.Load() > 0 || n.now() > instancesPatience
}
