package gateway

import (
	"context"
	"time"

	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// listedWait is how long the platform may go on sending callers to a node
	// that says that it is not ready.
	listedWait = 3200 * time.Millisecond
	// handOverWait is what a control node needs to hand its leadership over.
	handOverWait = 600 * time.Millisecond
	// returnWait bounds the return of unspent tokens.
	returnWait = 500 * time.Millisecond
	// requestsWait bounds the wait for requests if the caller names no time.
	requestsWait = time.Minute
	// stopPoll is the time between looks at the requests in progress.
	stopPoll = 20 * time.Millisecond
)

// plannedStop is a planned stop that has begun.
type plannedStop struct {
	// began and cutsAt are times of the node's clock.
	began, cutsAt time.Duration
}

func (n *Node) isStopping() bool { return n.stop.Load() != nil }

// Stop is a planned stop: the node calls itself not ready, serves what still
// comes, waits for the requests in progress as long as the context allows, and
// gives back what it holds. It returns the number of requests that are cut.
func (n *Node) Stop(ctx context.Context) int64 {
	began := n.now()
	n.stop.Store(&plannedStop{began: began, cutsAt: began + time.Until(n.endOfRequests(ctx))})
	n.log.Info().Str("event", "stopping").Int64("requests", n.active()).Send()
	n.fleet.duty.Offer(n.fleet.hello)
	if n.replica != nil {
		n.handOver()
	}
	if n.pipeline != nil {
		n.tokens.stopping()
		n.drain(ctx)
	}
	cut := n.active()
	n.log.Info().Str("event", "stopped").Int64("requests_cut", cut).Int64("elapsed_ms", (n.now() - began).Milliseconds()).Send()
	return cut
}

func (n *Node) active() int64 {
	if n.pipeline == nil {
		return 0
	}
	return n.pipeline.Active()
}

// drain waits for the platform's list and for the requests in progress, then
// takes no more connections. Until then those that still come are answered: the
// platform may have nobody else to send them to. The tokens go back last: a
// request that still comes must be able to have some.
func (n *Node) drain(ctx context.Context) {
	serving, cancel := context.WithDeadline(ctx, n.endOfRequests(ctx))
	defer cancel()
	pause.For(serving, listedWait)
	for n.active() > 0 && pause.For(serving, stopPoll) {
	}
	n.callers.shutdown(serving)
	returning, cancelReturning := context.WithTimeout(ctx, returnWait)
	defer cancelReturning()
	if err := n.tokens.giveAway(returning); err != nil {
		n.log.Warn().Str("event", "tokens_not_given_away").Err(err).Send()
	}
}

// endOfRequests leaves time for the return of the tokens.
func (n *Node) endOfRequests(ctx context.Context) time.Time {
	if deadline, found := ctx.Deadline(); found {
		return deadline.Add(-returnWait)
	}
	return time.Now().Add(requestsWait)
}

// handOver gives leadership to another voter, so that nothing waits for an
// election.
func (n *Node) handOver() {
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
	time.Sleep(handOverWait)
}
