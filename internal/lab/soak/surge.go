package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// surgeRandomStream is the second seed of the random numbers for the surge that is checked.
	surgeRandomStream = 6300
	// surgeLead is the time before the surge whose calls are compared, and surgeTime that of the surge after
	// contactTime.
	surgeLead, surgeTime = 3 * time.Second, 3 * time.Second
	// surgeCallInterval is the time between calls in a surge, in which callers open more connections.
	surgeCallInterval = 9 * time.Millisecond
	// surgeIncrements is how often each tenant's budget is raised by prepaidIncrement.
	surgeIncrements = 4
	// minimumSurgeCalls is the number of calls from which shares are compared.
	minimumSurgeCalls = 20
	// minimumSurgeRatio is the minimum share of the calls served in a surge, of the share before.
	minimumSurgeRatio = 0.75
)

// surgeFault is the name of the fault that sends all new connections to one entry node.
const surgeFault = "connection_surge"

// surge sends all calls to one entry node for a time, each over a new connection.
func (r *run) surge(ctx context.Context, random *rand.Rand, lasting time.Duration) {
	one := r.pick(random, false)
	r.reportf("all new connections go to %s", one.name)
	r.callers.surgeNode.Store(one)
	pause.For(ctx, lasting)
	r.callers.surgeNode.CompareAndSwap(one, nil)
}

// checkSurge sends all calls to one entry node while there is no other fault, and checks that it serves them.
// The tenants' budgets are raised before: near its end, requests of a budget are refused everywhere.
func (r *run) checkSurge(ctx context.Context, seed uint64) {
	for number := range surgeIncrements * tenantCount {
		r.fleet.changeConfiguration(number)
	}
	if err := r.fleet.waitFor(ctx, maximumRecoveryWait, "raised budgets", func() bool { return r.fleet.sendConfiguration(ctx) }); err != nil {
		r.violationf("%v", err)
	}
	pause.For(ctx, time.Second)
	from := time.Since(r.startedAt)
	pause.For(ctx, surgeLead)
	surgeFrom := time.Since(r.startedAt)
	r.surge(ctx, rand.New(rand.NewPCG(seed, surgeRandomStream)), contactTime+surgeTime)
	until := time.Since(r.startedAt)
	// Calls that were sent at the end of the surge end within their timeout.
	pause.For(ctx, callTimeout)
	sentBefore, servedBefore := r.countServed(from, surgeFrom)
	sent, served := r.countServed(surgeFrom+contactTime, until)
	text := fmt.Sprintf("while all new connections went to one node, %d of %d calls were served, before %d of %d", served, sent, servedBefore, sentBefore)
	r.reportf("%s", text)
	hasEnough := min(sent, sentBefore) >= minimumSurgeCalls
	if hasEnough && float64(served)*float64(sentBefore) < minimumSurgeRatio*float64(servedBefore)*float64(sent) {
		r.violationf("%s", text)
	}
}

// countServed counts the calls that were sent in a span, without those whose tenant has used up its tokens and
// those beside which an engine had crashed by a poison request or a part of a prompt.
func (r *run) countServed(from, until time.Duration) (sent, served int) {
	for _, one := range r.callers.snapshot() {
		if one.startedAt < from || one.startedAt >= until || strings.HasPrefix(one.detail, statusPrepaidSpent) || r.wasDisrupted(one) {
			continue
		}
		sent++
		if one.outcome == Complete {
			served++
		}
	}
	return sent, served
}
