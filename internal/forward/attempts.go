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
	// A repeatable request that has no answer after this many objectives is
	// sent to another instance.
	patienceObjectives = 2.5
	// leastTimeLeft is what another attempt needs at least. The connection's
	// own deadline may also fire a moment before the request's.
	leastTimeLeft   = 10 * time.Millisecond
	minimumPatience = 200 * time.Millisecond
)

// verdict is what follows from one attempt.
type verdict uint8

const (
	// done: the caller has its answer.
	done verdict = iota
	// unreached: no byte reached the instance; another may be tried freely.
	unreached
	// turnedAway: the instance said that it did not run the request.
	turnedAway
	// unknown: the instance may have run it, and there is no answer.
	unknown
	// failed: the instance answered with a failure of its own.
	failed
	// brokenOff: the answer had begun and can't be completed.
	brokenOff
	// notAdmitted: the instance takes no request now, or its limit has no room; no byte
	// reached it.
	notAdmitted
)

// failure is an instance's own failure, the caller's answer if nothing better
// comes.
type failure struct {
	exchange *exchange
	choice   balance.Choice
}

// serve sends the request to instances until one answers.
func (r *request) serve(ctx context.Context) {
	service := r.chooseService()
	environment := r.pipeline.options.Environment
	policy := environment.RetryPolicy()
	r.pipeline.retries.Request(environment.Now(), service, policy)
	dials := 0
	var last failure
	for {
		choice, found := r.choose(service)
		if !found {
			r.giveUp(last, r.reasonOfNone(service))
			return
		}
		ended, result := r.attempt(ctx, choice)
		if result == done {
			return
		}
		if result == brokenOff {
			// The connection is cut, so that the answer does not look complete.
			panic(http.ErrAbortHandler)
		}
		if ended != nil {
			last = failure{exchange: ended, choice: choice}
		}
		if ctx.Err() != nil || time.Until(r.deadline) < leastTimeLeft {
			r.giveUp(last, reasonOfEnd(ctx))
			return
		}
		if result == notAdmitted {
			continue
		}
		if result == unreached {
			if dials++; dials < maximumDials {
				continue
			}
			r.giveUp(last, ReasonNoInstance)
			return
		}
		r.arrivals++
		if !r.mayTryAgain(result, service, policy) {
			r.giveUp(last, r.reasonOf(result, service))
			return
		}
		if r.standing() == quarantine.Quarantined {
			r.giveUp(last, ReasonQuarantined)
			return
		}
		r.pipeline.options.Log.Again(r, choice)
	}
}

// reasonOfNone tells why no instance could be chosen.
func (r *request) reasonOfNone(service string) Reason {
	if regions := r.regions(); regions.IsBound && !r.pipeline.options.Table.HasInRegions(service, regions) {
		return ReasonNoRegion
	}
	if next, isKeptAway := r.nextAvailable(service); isKeptAway {
		return r.planReturn(service, next)
	}
	return ReasonNoInstance
}

// reasonOfEnd tells why a request has no more time.
func reasonOfEnd(ctx context.Context) Reason {
	if errors.Is(context.Cause(ctx), errQuarantined) {
		return ReasonQuarantined
	}
	return ReasonTimeout
}

// reasonOf tells why a request that reached instances ends without an answer.
func (r *request) reasonOf(result verdict, service string) Reason {
	if result != turnedAway {
		return ReasonOutcomeUnknown
	}
	if next, isKeptAway := r.nextAvailable(service); isKeptAway && next.IsPause {
		return r.planReturn(service, next)
	}
	return ReasonTurnedAway
}

// mayTryAgain decides on another attempt after one that reached an instance.
func (r *request) mayTryAgain(result verdict, service string, policy balance.RetryPolicy) bool {
	if r.arrivals >= max(1, r.route.MaximumAttempts) {
		return false
	}
	if result != turnedAway && (!r.route.Idempotent() || r.standing() >= quarantine.Suspected) {
		// A suspect is not carried on to the next engine by this node: in simulations of two
		// poison requests at once 7 in 100 fewer engines end, and 2 in 100 more of the other
		// requests are served (simulate.RunPoison).
		return false
	}
	return r.pipeline.retries.Take(r.pipeline.options.Environment.Now(), service, policy)
}

// chooseService draws one of the route's services by weight.
func (r *request) chooseService() string {
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

// regions are where the request may be served: in those that both its route and its
// tenant allow.
func (r *request) regions() balance.Regions {
	if r.tenant == nil {
		return balance.BoundTo(r.route.Regions)
	}
	return balance.BoundTo(r.route.Regions, r.tenant.Regions)
}

// wanted describes the request for the choice of an instance.
func (r *request) wanted(service string) balance.Request {
	environment := r.pipeline.options.Environment
	wanted := balance.Request{
		Service: service, Part: r.call.attemptKey(), Cost: r.call.cost(), Exclude: r.tried, Bytes: len(r.body),
		Tokens: int(r.call.TokensIn), SharedTokens: r.call.sharedTokens(), Gap: r.route.EventGap, Regions: r.regions(),
		PermitPatience: r.permitPatience(), IsLastAttempt: r.arrivals+1 >= max(1, r.route.MaximumAttempts),
	}
	configured := r.index.Service(service)
	if configured != nil {
		wanted.Cold = balance.ColdPolicy{Rate: configured.ColdRate, Time: configured.ColdTime}
	}
	if configured != nil && configured.MaximumConnections > 0 {
		wanted.MaxInFlight = max(2, configured.MaximumConnections/max(1, environment.EntryNodes()))
	}
	return wanted
}

func (r *request) choose(service string) (balance.Choice, bool) {
	choice, found := r.pipeline.options.Table.Choose(r.pipeline.options.Environment.Now(), r.wanted(service))
	if found {
		r.tried = append(r.tried, choice.ID)
	}
	return choice, found
}

// attempt sends the request to one instance and relays its answer if it is one
// for the caller. An exchange that is returned holds a failure's head and body.
func (r *request) attempt(ctx context.Context, choice balance.Choice) (*exchange, verdict) {
	outcome := balance.Abandoned
	var sending *exchange
	// relay notes in the choice that the instance has begun.
	defer func() {
		r.pipeline.options.Table.Done(r.pipeline.options.Environment.Now(), choice, outcome)
		r.recordAnswer(choice, outcome, sending)
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
	if state == notSent {
		if ctx.Err() == nil {
			outcome = balance.Unreachable
		}
		r.pipeline.options.Log.Attempt(r, choice, "not_sent", err)
		r.pipeline.ends.notConnected(choice, err)
		return nil, unreached
	}
	if err != nil {
		r.mayHaveRun = true
		if r.incoming.Context().Err() == nil {
			outcome = balance.Failed
		}
		r.noteBroken(ctx, brokenRun{choice: choice}, "no_answer", err)
		return nil, unknown
	}
	if sending.head.NotRun || sending.head.OtherInstance {
		outcome = balance.Full
		result := "turned_away"
		if sending.head.OtherInstance {
			outcome = balance.Replaced
			result = "other_instance"
		}
		sending.discard(r.call.ID)
		r.pipeline.options.Log.TurnedAway(r, choice, result, sending)
		return nil, turnedAway
	}
	r.mayHaveRun = true
	result := done
	outcome, result = r.relay(ctx, sending, &choice)
	if result == failed {
		return sending, failed
	}
	return nil, result
}

// leastPaceEvents are the events that a stream needs for the pace of its events to say
// something.
const leastPaceEvents = 3

// recordAnswer records how an instance answered, for those who compare its version with
// another one.
func (r *request) recordAnswer(choice balance.Choice, outcome balance.Outcome, sending *exchange) {
	if outcome != balance.Served && outcome != balance.Failed {
		return
	}
	answer := rollout.Answer{
		Service: choice.Service, Version: choice.Version, Instance: choice.ID, Route: r.route.Name, IsFailed: outcome == balance.Failed,
		Tokens: choice.Ahead + choice.Unread,
	}
	switch {
	case sending == nil:
	case r.route.Kind != document.Stream:
		answer.First = sending.answeredAt.Sub(sending.sentAt)
	case r.events > 0:
		answer.First = r.arrived.Add(r.pace.first).Sub(sending.sentAt)
		if r.events >= leastPaceEvents {
			answer.Pace = (r.pace.last - r.pace.first) / time.Duration(r.events-1)
		}
	}
	r.pipeline.options.Recorder.Note(answer)
}

// attemptContext limits the wait for a repeatable request's answer, so that
// there is time left for another instance.
func (r *request) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	isLast := r.arrivals+1 >= max(1, r.route.MaximumAttempts)
	if r.route.Kind != document.Repeatable || isLast {
		return context.WithCancel(ctx)
	}
	patience := max(time.Duration(patienceObjectives*float64(r.route.Objective)), minimumPatience)
	return context.WithTimeout(ctx, patience)
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
		header: r.pipeline.options.Dialect.EngineHeader(attempt), body: r.body, life: choice.Life(),
	}
}

// giveUp answers a request that no instance has answered.
func (r *request) giveUp(last failure, reason Reason) {
	if r.incoming.Context().Err() != nil {
		r.pipeline.options.Log.Refused(r, Refusal{Reason: ReasonCallerLeft})
		panic(http.ErrAbortHandler)
	}
	if last.exchange != nil && last.exchange.failure != nil {
		r.writeWhole(last.exchange, last.exchange.failure, last.choice)
		return
	}
	if r.mayHaveRun {
		status := http.StatusBadGateway
		if reason == ReasonTimeout {
			status = http.StatusGatewayTimeout
		}
		switch reason {
		case ReasonNoInstance, ReasonNoRegion, ReasonTurnedAway, ReasonRateLimited, ReasonPaused:
			reason = ReasonOutcomeUnknown
		}
		r.refuse(Refusal{Status: status, Reason: reason})
		return
	}
	r.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: reason})
}
