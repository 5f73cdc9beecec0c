package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/coordination/rollout"
	"github.com/ravenway/ravenway/internal/state/document"
)

const (
	// maximumDials bounds the instances that a request fails to connect to.
	maximumDials = 4
	// attemptTimeoutObjectives is the time, in multiples of the route's objective, after which a
	// repeatable request without a response is sent to another instance, but never before
	// minimumAttemptTimeout.
	attemptTimeoutObjectives = 2.5
	// minimumTimeLeft is the minimum time left for another attempt. It also covers an attempt that
	// failed because the connection's deadline expired slightly before the request's.
	minimumTimeLeft       = 10 * time.Millisecond
	minimumAttemptTimeout = 200 * time.Millisecond
)

// attemptResult is the result of one attempt.
type attemptResult uint8

const (
	// served: the caller has its response.
	served attemptResult = iota
	// unreached: no byte reached the instance; another may be tried without counting against the
	// retry budget.
	unreached
	// rejected: the instance rejected the request and stated that it did not run it.
	rejected
	// outcomeUnknown: the instance may have run the request, and there is no response.
	outcomeUnknown
	// serverError: the instance responded with a server error of its own.
	serverError
	// incomplete: the response had begun and can't be completed.
	incomplete
	// withoutPath: the instance was unreachable a moment ago, so no attempt was made.
	withoutPath
	// notAdmitted: the instance accepts no request now, or its rate limit has no headroom; no
	// byte reached it.
	notAdmitted
)

// errorResponse is an instance's own error response. The caller receives it if no later attempt
// does better.
type errorResponse struct {
	exchange *exchange
	choice   balance.Choice
}

// serve sends the request to instances until one responds or no further attempt is allowed.
func (r *request) serve(ctx context.Context) {
	service := r.chooseService()
	environment := r.pipeline.options.Environment
	policy := environment.RetryPolicy()
	r.pipeline.retries.RecordRequest(environment.Now(), service, policy)
	dials := 0
	var last errorResponse
	for {
		if r.quarantineStatus() == quarantine.Quarantined {
			r.giveUp(last, ReasonQuarantined)
			return
		}
		if !r.mayHaveRun && !r.endsBeforeStop() {
			r.giveUp(last, ReasonStopping)
			return
		}
		choice, found := r.choose(ctx, service)
		if !found {
			r.giveUp(last, r.reasonForNoChoice(service))
			return
		}
		errorExchange, result := r.attempt(ctx, choice)
		if result == served {
			return
		}
		if result == incomplete {
			r.abortResponse()
		}
		if errorExchange != nil {
			last = errorResponse{exchange: errorExchange, choice: choice}
		}
		if ctx.Err() != nil || time.Until(r.deadline) < minimumTimeLeft {
			r.giveUp(last, reasonForNoTime(ctx))
			return
		}
		if result == notAdmitted || result == withoutPath {
			continue
		}
		if result == unreached {
			if dials++; dials < r.maximumDials() {
				continue
			}
			r.giveUp(last, ReasonNoInstance)
			return
		}
		r.instancesReached++
		if !r.mayRetry(result, service, policy) {
			r.giveUp(last, r.reasonForFailedAttempts(result, service))
			return
		}
		r.pipeline.options.Log.Retried(r, choice)
	}
}

// maximumDials is the maximum number of instances that the request may fail to connect to. While the
// path to all of them is lost, each attempt would only hold the request.
func (r *request) maximumDials() int {
	if r.pipeline.options.EnginePaths.IsLost() {
		return 1
	}
	return maximumDials
}

// reasonForNoChoice returns the reason why no instance could be chosen.
func (r *request) reasonForNoChoice(service string) Reason {
	if regions := r.regions(); regions.IsRestricted && !r.pipeline.options.Table.HasInRegions(service, regions) {
		return ReasonNoRegion
	}
	if r.stream.IsBound && !r.pipeline.options.Table.HasVersion(service, r.stream.Version) {
		if !r.pipeline.options.StreamVersions.KnowsInstances() {
			return ReasonVersionNotConfirmed
		}
		return ReasonVersionGone
	}
	if next, isExcluded := r.nextAvailable(service); isExcluded {
		return r.planRetry(service, next)
	}
	return ReasonNoInstance
}

// reasonForNoTime returns the reason why a request has no more time.
func reasonForNoTime(ctx context.Context) Reason {
	switch {
	case errors.Is(context.Cause(ctx), errQuarantined):
		return ReasonQuarantined
	case errors.Is(context.Cause(ctx), errStopping):
		return ReasonStopping
	}
	return ReasonTimeout
}

// reasonForFailedAttempts returns the reason why a request that reached instances ends without a
// response.
func (r *request) reasonForFailedAttempts(result attemptResult, service string) Reason {
	if result != rejected {
		return ReasonOutcomeUnknown
	}
	if next, isExcluded := r.nextAvailable(service); isExcluded && next.IsPause {
		return r.planRetry(service, next)
	}
	return ReasonRejected
}

// mayRetry reports whether another attempt is allowed after one that reached an instance.
func (r *request) mayRetry(result attemptResult, service string, policy balance.RetryPolicy) bool {
	if r.instancesReached >= max(1, r.route.MaximumAttempts) {
		return false
	}
	if result != rejected && (!r.route.Idempotent() || r.quarantineStatus() >= quarantine.Suspected) {
		// This node does not send a suspected request to a further engine: if it is a poison
		// request, it would crash that one too, and the other requests there.
		return false
	}
	return r.pipeline.retries.Take(r.pipeline.options.Environment.Now(), service, policy)
}

// chooseService picks one of the route's services at random by weight. A stream that is taken up again
// stays at its service.
func (r *request) chooseService() string {
	if r.stream.IsBound {
		return r.stream.resumed.Service
	}
	total := 0
	for _, target := range r.route.Targets {
		total += target.Weight
	}
	drawn := rand.IntN(total)
	for _, target := range r.route.Targets {
		if drawn < target.Weight {
			return target.Service
		}
		drawn -= target.Weight
	}
	return r.route.Targets[0].Service
}

// regions returns the regions in which the request may be served: those that both its route and
// its tenant allow.
func (r *request) regions() balance.Regions {
	if r.tenant == nil {
		return balance.IntersectRegions(r.route.Regions)
	}
	return balance.IntersectRegions(r.route.Regions, r.tenant.Regions)
}

// balanceRequest describes the request for the choice of an instance.
func (r *request) balanceRequest(service string) balance.Request {
	environment := r.pipeline.options.Environment
	described := balance.Request{
		Service: service, PromptPart: r.call.affinityPartID(), Cost: r.call.cost(), Exclude: r.tried, Bytes: len(r.body),
		Tokens: int(r.call.TokensIn), SharedTokens: r.call.sharedTokens(), MaximumEventGap: r.route.EventGap, Regions: r.regions(), Version: r.stream.VersionBound,
		MaximumPermitWait: r.permitMaximumWait(), IsLastAttempt: r.instancesReached+1 >= max(1, r.route.MaximumAttempts),
	}
	configured := r.index.Service(service)
	if configured != nil {
		described.Cold = balance.ColdPolicy{Rate: configured.ColdRate, Time: configured.ColdTime}
	}
	if configured != nil && configured.MaximumConnections > 0 {
		described.Connections = balance.ConnectionLimit{Total: configured.MaximumConnections, Nodes: environment.EntryNodes()}
	}
	return described
}

// chooseInstance chooses an instance and counts it as tried.
func (r *request) chooseInstance(service string) (balance.Choice, bool) {
	choice, found := r.pipeline.options.Table.Choose(r.pipeline.options.Environment.Now(), r.balanceRequest(service))
	if found {
		r.tried = append(r.tried, choice.ID)
	}
	return choice, found
}

// attempt sends the request to one instance and relays its response if the caller may receive it.
// A returned exchange holds the head and body of a server error.
func (r *request) attempt(ctx context.Context, choice balance.Choice) (*exchange, attemptResult) {
	outcome := balance.Abandoned
	var sending *exchange
	// The closure reads the choice at the end of the attempt, because relay updates it when the
	// instance starts to generate.
	defer func() {
		r.releasePrompt()
		r.pipeline.options.Table.Done(r.pipeline.options.Environment.Now(), choice, outcome)
		r.recordResponse(choice, outcome, sending)
	}()
	ctx, cancel := r.attemptContext(ctx)
	defer cancel()
	var state sendState
	var err error
	sending, state, err = r.send(ctx, choice, r.call.LastEvent)
	if isNotAdmitted(err) {
		r.noteNotAdmitted(choice, err)
		return nil, notAdmitted
	}
	if errors.Is(err, errNoPath) {
		r.pipeline.options.Log.Attempt(r, choice, "no_path", err)
		return nil, withoutPath
	}
	if state == notSent {
		if ctx.Err() == nil {
			outcome = balance.Unreachable
		}
		r.pipeline.options.Log.Attempt(r, choice, "not_sent", err)
		r.pipeline.crashes.connectionFailed(choice, err)
		return nil, unreached
	}
	if err != nil {
		r.mayHaveRun = true
		if r.incoming.Context().Err() == nil && !errors.Is(context.Cause(ctx), errStopping) {
			outcome = r.failureOutcome(choice)
		}
		r.noteInterrupted(ctx, interruptedRun{choice: choice}, "no_answer", err)
		return nil, outcomeUnknown
	}
	if sending.head.NotRun || sending.head.OtherInstance {
		outcome = balance.Rejected
		result := "turned_away"
		if sending.head.OtherInstance {
			outcome = balance.Replaced
			result = "other_instance"
		}
		sending.discard(r.call.ID)
		r.pipeline.options.Log.Rejected(r, choice, result, sending)
		return nil, rejected
	}
	r.mayHaveRun = true
	result := served
	outcome, result = r.relay(ctx, sending, &choice)
	if result == serverError {
		return sending, serverError
	}
	return nil, result
}

// minimumPaceEvents is the minimum number of events from which the pace of a stream can be
// measured.
const minimumPaceEvents = 3

// recordResponse records how an instance responded, for comparing its version with another one.
func (r *request) recordResponse(choice balance.Choice, outcome balance.Outcome, sending *exchange) {
	if outcome != balance.Served && outcome != balance.Failed {
		return
	}
	response := rollout.Response{
		Service: choice.Service, Version: choice.Version, Instance: choice.ID, Route: r.route.Name, IsFailed: outcome == balance.Failed,
		Tokens: choice.Ahead + choice.Unread,
	}
	switch {
	case sending == nil:
	case r.route.Kind != document.Stream:
		response.FirstEvent = sending.respondedAt.Sub(sending.sentAt)
	case r.events > 0:
		response.FirstEvent = r.arrived.Add(r.pace.first).Sub(sending.sentAt)
		if r.events >= minimumPaceEvents {
			response.EventInterval = (r.pace.last - r.pace.first) / time.Duration(r.events-1)
		}
	}
	r.pipeline.options.Recorder.Record(response)
}

// attemptContext limits the wait for a repeatable request's response, so that there is time left
// for another instance.
func (r *request) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	isLast := r.instancesReached+1 >= max(1, r.route.MaximumAttempts)
	if r.route.Kind != document.Repeatable || isLast {
		return context.WithCancel(ctx)
	}
	maximumWait := max(time.Duration(attemptTimeoutObjectives*float64(r.route.Objective)), minimumAttemptTimeout)
	return context.WithTimeout(ctx, maximumWait)
}

func (r *request) outgoing(choice balance.Choice, lastEvent string) outgoing {
	attempt := Attempt{Call: r.call, Instance: choice.ID, Left: time.Until(r.deadline), LastEvent: lastEvent}
	attempt.Priority, attempt.HasPriority = r.route.Priority, true
	if r.tenant != nil {
		attempt.Tenant = r.tenant.Name
		if r.tenant.HasPriority {
			attempt.Priority = r.tenant.Priority
		}
	}
	return outgoing{
		id: r.call.ID, method: r.incoming.Method, target: r.incoming.RequestURI, host: r.incoming.Host,
		header: r.pipeline.options.Dialect.EngineHeader(attempt), body: r.body, incarnation: choice.Incarnation(),
	}
}

// giveUp responds to a request that no instance has served.
func (r *request) giveUp(last errorResponse, reason Reason) {
	if r.incoming.Context().Err() != nil {
		r.pipeline.options.Log.Refused(r, Refusal{Reason: ReasonCallerLeft})
		panic(http.ErrAbortHandler)
	}
	if last.exchange != nil && last.exchange.errorBody != nil {
		r.writeWhole(last.exchange, last.exchange.errorBody, last.choice)
		return
	}
	if r.mayHaveRun {
		status := http.StatusBadGateway
		if reason == ReasonTimeout {
			status = http.StatusGatewayTimeout
		}
		switch reason {
		case ReasonNoInstance, ReasonNoRegion, ReasonVersionGone, ReasonVersionNotConfirmed, ReasonRejected, ReasonRateLimited, ReasonPaused, ReasonFull:
			reason = ReasonOutcomeUnknown
		}
		r.refuse(Refusal{Status: status, Reason: reason})
		return
	}
	if reason == ReasonNoInstance && r.pipeline.options.EnginePaths.IsIsolated() {
		reason = ReasonIsolated
	}
	r.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: reason})
}
