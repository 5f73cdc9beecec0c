package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// PromptReservations reserves prompts at the coordinators of instances, so that prompts of several
// nodes do not meet at one instance. The coordinator of an instance is the node that knows which
// prompts the instance has yet to read.
type PromptReservations interface {
	// Reserve requests that a prompt be reserved at an instance. It waits no longer than
	// needs.MaximumWait.
	Reserve(ctx context.Context, needs PromptNeeds) PromptReservation
	// Release ends a reservation, because the instance has read the prompt or will not read it.
	Release(reservation PromptReservation)
}

// PromptNeeds describes the prompt that is to be reserved.
type PromptNeeds struct {
	Instance registry.Instance
	// Tokens is the number of prompt tokens that the instance has to read.
	Tokens int
	// MaximumAhead is the most tokens of other prompts that may be ahead.
	MaximumAhead int
	// Lease is how long the reservation counts unless it is released.
	Lease time.Duration
	// MaximumWait is the maximum time that the coordinator's response is awaited.
	MaximumWait time.Duration
}

// PromptResult is the result of a request to reserve a prompt.
type PromptResult string

// Results of requests to reserve a prompt.
const (
	// PromptNotAsked: no coordinator was asked.
	PromptNotAsked PromptResult = "none"
	// PromptGranted: the coordinator counts the prompt.
	PromptGranted PromptResult = "granted"
	// PromptRefused: more tokens are ahead than the choice of the instance allows.
	PromptRefused PromptResult = "refused"
	// PromptNoAnswer: the coordinator was asked and did not respond in time.
	PromptNoAnswer PromptResult = "no_answer"
)

// PromptReservation is the outcome of a request to reserve a prompt.
type PromptReservation struct {
	Result      PromptResult
	Coordinator string
	Incarnation registry.Incarnation
	// Number identifies the reservation among those of this node.
	Number uint64
	// Ahead is the number of tokens, and Prompts that of prompts, that the coordinator knows to be
	// ahead.
	Ahead, Prompts int
	// Backlog is the number of tokens that the instance has yet to read after the decision.
	Backlog int
}

type noPromptReservations struct{}

func (noPromptReservations) Reserve(context.Context, PromptNeeds) PromptReservation {
	return PromptReservation{Result: PromptNotAsked}
}

func (noPromptReservations) Release(PromptReservation) {}

const (
	// maximumPromptRefusals is how many coordinators may refuse a request: each refusal takes a
	// round trip. After that it goes to the best instance, however much is ahead there.
	maximumPromptRefusals = 4
	// coordinatorWaitShare is the share of the route's objective that a coordinator's response is
	// awaited, between minimumCoordinatorWait and maximumCoordinatorWait. A round trip takes some
	// milliseconds within a region.
	coordinatorWaitShare   = 1.0 / 30
	minimumCoordinatorWait = 10 * time.Millisecond
	maximumCoordinatorWait = 50 * time.Millisecond
	// reservationShare is the share of the route's objective that a request may spend on asking
	// coordinators. After that it is sent without a reservation.
	reservationShare = 0.1
	// promptLeaseObjectives is the lease of a reservation in multiples of the route's objective,
	// between minimumPromptLease and maximumPromptLease. It matters only if the release is lost.
	promptLeaseObjectives = 2
	minimumPromptLease    = 500 * time.Millisecond
	maximumPromptLease    = 5 * time.Second
)

// promptState is a request's part in the reservation of prompts.
type promptState struct {
	// held is the reservation of the attempt in progress; isHeld reports whether it is to be
	// released.
	held   PromptReservation
	isHeld bool
	// last is the outcome of the last request to a coordinator, and refusals the number of
	// coordinators that refused this request.
	last     PromptReservation
	refusals int
	// waited is the time that the request has spent on asking coordinators.
	waited time.Duration
}

// result returns the outcome of the last request to a coordinator.
func (s *promptState) result() PromptResult {
	if s.last.Result == "" {
		return PromptNotAsked
	}
	return s.last.Result
}

// choose chooses an instance that has not been tried, and reserves the prompt there.
// A refused choice leaves no trace: it does not count as tried.
func (r *request) choose(ctx context.Context, service string) (balance.Choice, bool) {
	for {
		choice, found := r.chooseInstance(service)
		if !found || !r.needsReservation(choice) {
			return choice, found
		}
		if r.reservePrompt(ctx, choice) {
			return choice, true
		}
	}
}

// needsReservation reports whether an instance reads a prompt for the request. A short one is
// reserved as well: it is late behind a long one that this node does not know of.
func (r *request) needsReservation(choice balance.Choice) bool {
	if float64(r.prompt.waited) >= reservationShare*float64(r.route.Objective) {
		return false
	}
	configured := r.index.Service(choice.Service)
	return choice.ReadTime > 0 && configured != nil && configured.Slots > 0
}

// reservePrompt requests a reservation for a chosen instance. It returns false if the coordinator
// refused, after which the choice is withdrawn.
func (r *request) reservePrompt(ctx context.Context, choice balance.Choice) bool {
	options := r.pipeline.options
	needs := PromptNeeds{
		Instance: choice.Instance, Tokens: choice.Unread, MaximumAhead: choice.MaximumAhead,
		Lease:       clampDuration(promptLeaseObjectives*r.route.Objective, minimumPromptLease, maximumPromptLease),
		MaximumWait: clampDuration(time.Duration(coordinatorWaitShare*float64(r.route.Objective)), minimumCoordinatorWait, maximumCoordinatorWait),
	}
	if r.prompt.refusals >= maximumPromptRefusals {
		needs.MaximumAhead = balance.UnlimitedAhead
	}
	askedAt := options.Environment.Now()
	response := options.PromptReservations.Reserve(ctx, needs)
	r.prompt.waited += options.Environment.Now() - askedAt
	r.prompt.last = response
	switch response.Result {
	case PromptGranted:
		options.Table.RecordBacklog(options.Environment.Now(), response.Incarnation, response.Backlog)
		r.prompt.held, r.prompt.isHeld = response, true
	case PromptNoAnswer:
		// The coordinator may have granted it.
		r.prompt.held, r.prompt.isHeld = response, true
		if ctx.Err() == nil {
			options.Log.PromptReservation(r, choice, needs, response)
		}
	case PromptRefused:
		options.Log.PromptReservation(r, choice, needs, response)
		// With no more ahead than allowed, the coordinator has no place for a further reservation.
		// The instance is still the best one, and would be refused again.
		if r.prompt.refusals >= maximumPromptRefusals || response.Ahead <= needs.MaximumAhead {
			return true
		}
		r.prompt.refusals++
		r.tried = r.tried[:len(r.tried)-1]
		options.Table.Withdraw(options.Environment.Now(), choice)
		options.Table.RecordBacklog(options.Environment.Now(), response.Incarnation, response.Backlog)
		return false
	case PromptNotAsked:
	}
	return true
}

// releasePrompt ends the reservation of the attempt in progress, if there is one.
func (r *request) releasePrompt() {
	if !r.prompt.isHeld {
		return
	}
	r.prompt.isHeld = false
	r.pipeline.options.PromptReservations.Release(r.prompt.held)
}

func clampDuration(value, minimum, maximum time.Duration) time.Duration {
	return min(max(value, minimum), maximum)
}

// PromptReservation logs that a coordinator refused a reservation, so that another instance is
// chosen, or did not respond.
func (l *DecisionLog) PromptReservation(r *request, choice balance.Choice, needs PromptNeeds, response PromptReservation) {
	if r.call != nil {
		text := fmt.Sprintf("reservation at %s by its coordinator %s: %s, %d tokens of %d prompts ahead, at most %d", choice.ID,
			response.Coordinator, response.Result, response.Ahead, response.Prompts, needs.MaximumAhead)
		l.remember(r, text)
	}
	if !l.promptLines.Take() {
		return
	}
	l.line(r, "prompt_reservation").Str("result", string(response.Result)).Str("instance", choice.ID).Str("coordinator", response.Coordinator).
		Int("tokens", needs.Tokens).Int("ahead", response.Ahead).Int("prompts", response.Prompts).Int("ahead_assumed", choice.Ahead).
		Int("maximum_ahead", needs.MaximumAhead).Int("refusals", r.prompt.refusals).Send()
}
