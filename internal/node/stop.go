package node

import (
	"context"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// balancerDelay is the time for which a load balancer may still send requests after the readiness
	// probe has begun to fail.
	balancerDelay    = 2 * time.Second
	stopPollInterval = 50 * time.Millisecond
	// finalAnswersTime is the time before the end of a stop in which the callers of requests in progress are answered.
	finalAnswersTime = 200 * time.Millisecond
)

// Stop prepares a graceful stop. The readiness probe fails, leadership moves to another voter,
// requests that still arrive are served, all streams finish, their claims are settled, and the
// unused grants are returned to the root (the leader's side of the escrow). It returns the number
// of streams that were still open when the context ended; 0 after a clean stop.
func (n *Node) Stop(ctx context.Context) int64 {
	n.stopping.Store(true)
	n.log.Info().Str("event", "stopping").Int64("streams", n.streams.active.Load()).Send()
	n.transferLeadership(ctx)
	pause.For(ctx, balancerDelay)
	if deadline, found := ctx.Deadline(); found {
		defer time.AfterFunc(time.Until(deadline.Add(-finalAnswersTime)), n.endAnswers).Stop()
	}
	// The listener and idle connections are closed first, so that no stream can begin between the
	// last check of the count and the end of the process.
	if callers := n.callers.Load(); callers != nil {
		_ = callers.Shutdown(ctx)
	}
	for n.streams.active.Load() > 0 && pause.For(ctx, stopPollInterval) {
	}
	settled := make(chan struct{})
	go func() {
		n.background.wait()
		close(settled)
	}()
	select {
	case <-settled:
		if err := n.escrow.returnAll(ctx); err != nil {
			n.log.Warn().Str("event", "stop_grant_not_returned").Err(err).Send()
		}
	case <-ctx.Done():
	}
	n.log.Info().Str("event", "stopped").Int64("streams", n.streams.active.Load()).Send()
	return n.streams.active.Load()
}

// ActiveStreams returns the number of requests in flight.
func (n *Node) ActiveStreams() int64 { return n.streams.active.Load() }

// transferLeadership moves leadership to a reachable voter that holds the whole log, if this node
// leads.
func (n *Node) transferLeadership(ctx context.Context) {
	if n.replica == nil {
		return
	}
	_ = n.replica.duty.Do(ctx, func() {
		core := n.replica.replica.Core()
		for _, voter := range core.Configuration().Voters() {
			member, _ := core.Configuration().Member(voter)
			if core.Role() == consensus.Leader && voter != core.ID() && core.CaughtUp(voter) && n.fleet.isReachable(member.Node) {
				_ = core.TransferLeadership(voter)
				return
			}
		}
	})
}
