package gateway

import (
	"context"
	"time"

	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// notReadyWait is how long the platform may continue to send callers to a node that reports
	// itself not ready.
	notReadyWait = 3200 * time.Millisecond
	// leadershipTransferWait is the time that a control node needs to transfer its leadership.
	leadershipTransferWait = 600 * time.Millisecond
	// returnTimeout is the maximum time for the return of unspent tokens.
	returnTimeout = 500 * time.Millisecond
	// defaultRequestsWait is the maximum wait for requests in flight if the context has no
	// deadline.
	defaultRequestsWait = time.Minute
	// finalAnswersTime is the time before the end of a stop in which the callers of requests whose response has not begun
	// are answered.
	finalAnswersTime = 200 * time.Millisecond
	// stopPollInterval is the interval at which the number of requests in flight is checked.
	stopPollInterval = 20 * time.Millisecond
)

// plannedStop is a planned stop that has begun.
type plannedStop struct {
	// began is when the stop began, and abortsAt when requests still in flight are aborted. Both
	// are on the clock of Node.now.
	began, abortsAt time.Duration
}

func (n *Node) isStopping() bool { return n.stop.Load() != nil }

// Stop performs a planned stop: the node reports itself not ready, serves requests that still
// arrive, waits for the requests in flight as long as the context allows, and returns the tokens
// that it holds. It returns the number of requests that are aborted.
func (n *Node) Stop(ctx context.Context) int64 {
	startedAt := n.now()
	n.stop.Store(&plannedStop{began: startedAt, abortsAt: startedAt + time.Until(n.requestsDeadline(ctx).Add(-finalAnswersTime))})
	n.log.Info().Str("event", "stopping").Int64("requests", n.active()).Send()
	n.fleet.duty.Offer(n.fleet.sendHelloToAll)
	if n.replica != nil {
		n.transferLeadership()
	}
	if n.pipeline != nil {
		n.tokens.setStopping()
		n.drain(ctx)
	}
	aborted := n.active()
	n.log.Info().Str("event", "stopped").Int64("requests_cut", aborted).Int64("elapsed_ms", (n.now() - startedAt).Milliseconds()).Send()
	return aborted
}

// active is the number of requests in flight, including those that this node relays for others.
func (n *Node) active() int64 {
	if n.pipeline == nil {
		return 0
	}
	return n.pipeline.Active() + n.relays.active.Load()
}

// drain waits until the platform has removed the node from its list and the requests in flight are
// done, then accepts no more connections. Requests that arrive before that are served, since the
// platform may have no other node to send them to. The tokens are returned last, because a request
// that still arrives must be able to reserve some.
func (n *Node) drain(ctx context.Context) {
	serving, cancel := context.WithDeadline(ctx, n.requestsDeadline(ctx))
	defer cancel()
	pause.For(serving, notReadyWait)
	waiting, cancelWaiting := context.WithDeadline(serving, n.requestsDeadline(ctx).Add(-finalAnswersTime))
	defer cancelWaiting()
	for n.active() > 0 && pause.For(waiting, stopPollInterval) {
	}
	n.pipeline.CancelWaiting()
	for n.active() > 0 && pause.For(serving, stopPollInterval) {
	}
	n.callers.shutdown(serving)
	returning, cancelReturning := context.WithTimeout(ctx, returnTimeout)
	defer cancelReturning()
	if err := n.tokens.returnOrHandOver(returning); err != nil {
		n.log.Warn().Str("event", "tokens_not_given_away").Err(err).Send()
	}
}

// requestsDeadline is the deadline for requests in flight. It leaves time for the return of the
// tokens.
func (n *Node) requestsDeadline(ctx context.Context) time.Time {
	if deadline, found := ctx.Deadline(); found {
		return deadline.Add(-returnTimeout)
	}
	return time.Now().Add(defaultRequestsWait)
}

// transferLeadership transfers leadership to another voter, so that no work has to wait for an
// election.
func (n *Node) transferLeadership() {
	n.replica.duty.Offer(func() {
		if !n.replica.leading() {
			return
		}
		core := n.replica.replica.Core()
		for _, member := range core.Configuration().Members {
			if member.Learner || member.ID == n.replica.id || !core.CaughtUp(member.ID) || core.TicksSinceContact(member.ID) > electionTicks {
				continue
			}
			err := core.TransferLeadership(member.ID)
			n.log.Info().Str("event", "leadership_handed_over").Str("to", member.Node).AnErr("error", err).Send()
			if err == nil {
				return
			}
		}
	})
	time.Sleep(leadershipTransferWait)
}
