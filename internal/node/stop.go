package node

import (
	"context"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// balancerLag is how long requests still arrive after readiness went off.
	balancerLag = 2 * time.Second
	stopPoll    = 50 * time.Millisecond
)

// Stop is a planned stop: readiness goes off, requests that still arrive are
// served, leadership moves away, every stream ends, settlements are agreed and
// the unused grant goes back. It returns the number of streams that were still
// open when the context ended, 0 after a clean stop.
func (n *Node) Stop(ctx context.Context) int64 {
	n.stopping.Store(true)
	n.log.Info().Str("event", "stopping").Int64("streams", n.streams.active.Load()).Send()
	n.transferLeadership(ctx)
	pause.For(ctx, balancerLag)
	// No stream may begin between the last look and the end: the listener and
	// connections at rest are closed first.
	if callers := n.callers.Load(); callers != nil {
		_ = callers.Shutdown(ctx)
	}
	for n.streams.active.Load() > 0 && pause.For(ctx, stopPoll) {
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

// ActiveStreams is the number of requests in progress.
func (n *Node) ActiveStreams() int64 { return n.streams.active.Load() }

// transferLeadership hands the lead to a voter that holds the whole log.
func (n *Node) transferLeadership(ctx context.Context) {
	if n.replica == nil {
		return
	}
	_ = n.replica.duty.Do(ctx, func() {
		core := n.replica.replica.Core()
		for _, voter := range core.Configuration().Voters() {
			member, _ := core.Configuration().Member(voter)
			if core.Role() == consensus.Leader && voter != core.ID() && core.CaughtUp(voter) && n.fleet.alive(member.Node) {
				_ = core.TransferLeadership(voter)
				return
			}
		}
	})
}
