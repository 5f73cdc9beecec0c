package forward

import (
	"context"
	"errors"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Backoff keeps the pauses that instances request of this node: the times for which it sends them
// no requests.
type Backoff interface {
	// Learn applies the signal in an instance's response to a request that was written at
	// writtenAt. The zero time means that the response belongs to an earlier request.
	Learn(instance registry.Instance, request string, signal backoff.Signal, writtenAt time.Time)
}

type noBackoff struct{}

func (noBackoff) Learn(registry.Instance, string, backoff.Signal, time.Time) {}

// send sends the request to an instance if the instance still accepts it at the moment of
// writing.
func (r *request) send(ctx context.Context, choice balance.Choice, lastEvent string) (*exchange, sendState, error) {
	options := r.pipeline.options
	prepared := r.outgoing(choice, lastEvent)
	prepared.admit = func(ctx context.Context) (Slot, error) { return r.admitWrite(ctx, choice) }
	prepared.learn = func(response *exchange, writtenAt time.Time) {
		signal := response.backoffSignal()
		options.Backoff.Learn(choice.Instance, r.call.ID, signal, writtenAt)
		if relayed := response.connection.relayed; relayed != nil && (signal.Pause > 0 || signal.IsLeaving) {
			relayed.ReportSignal(r.call.ID, signal)
		}
		options.RateLimits.Learn(choice.Instance, response.rateLimitSignal(), writtenAt)
		options.Slots.Learn(choice.Instance, response.slotSignal())
		if names := r.pipeline.headers.takeNew(choice.Service, response.response.Header, options.Dialect.KnowsResponseHeader); len(names) > 0 {
			options.Log.UnknownHeaders(r, choice, names)
		}
	}
	r.relayNode = ""
	prepared.opened = func(connection *connection) {
		if connection.relayed != nil {
			r.relayNode = connection.relayed.Relay()
		}
	}
	isLast := r.instancesReached+1 >= max(1, r.route.MaximumAttempts)
	prepared.mayRunAgain = r.route.Idempotent() && !isLast && r.quarantineStatus() < quarantine.Suspected
	prepared.began = func(sending *exchange) { r.sending = sending }
	return r.pipeline.pool.send(ctx, options.Dialect, choice.Address, prepared)
}

// admitWrite is the last check before a request is written to an instance. It repeats the checks
// of the choice, which may no longer hold: the request has waited for its connection since, and
// waits for its permit here. A brittle instance's slot is taken last, since it has to be freed.
// The request may have been quarantined during any of this.
func (r *request) admitWrite(ctx context.Context, choice balance.Choice) (Slot, error) {
	environment, table := r.pipeline.options.Environment, r.pipeline.options.Table
	if err := table.Admit(environment.Now(), choice); err != nil {
		return nil, err
	}
	if err := r.pipeline.options.RateLimits.Permit(ctx, choice.Instance, r.permitNeeds()); err != nil {
		return nil, err
	}
	if err := table.Admit(environment.Now(), choice); err != nil {
		return nil, err
	}
	slot, err := r.pipeline.options.Slots.Acquire(ctx, choice.Instance, time.Until(r.deadline))
	if err != nil {
		return nil, err
	}
	if err := r.checkAfterWaits(); err != nil {
		if slot != nil {
			slot.Free(false)
		}
		return nil, err
	}
	return slot, nil
}

// checkAfterWaits repeats the checks of the request itself, which no longer wait for anything.
func (r *request) checkAfterWaits() error {
	switch {
	case r.quarantineStatus() == quarantine.Quarantined:
		return errQuarantined
	case !r.mayHaveRun && !r.endsBeforeStop():
		return errStopping
	}
	return nil
}

// isNotAdmitted reports whether the request was withheld from the instance: no byte reached it.
func isNotAdmitted(err error) bool {
	return errors.Is(err, ErrNoPermit) || errors.Is(err, ErrNoSlot) || errors.Is(err, balance.ErrNotAdmitted) ||
		errors.Is(err, errQuarantined) || errors.Is(err, errStopping)
}

// noteNotAdmitted records that the request was withheld from an instance. The instance is removed
// from those tried, so it may be chosen again.
func (r *request) noteNotAdmitted(choice balance.Choice, err error) {
	result := "not_admitted"
	if errors.Is(err, ErrNoPermit) {
		result = "no_permit"
		r.permitsRefused++
	}
	if errors.Is(err, ErrNoSlot) {
		result = "no_slot"
	}
	if errors.Is(err, errQuarantined) {
		result = "quarantined"
	}
	if errors.Is(err, errStopping) {
		result = "stopping"
	}
	r.tried = r.tried[:len(r.tried)-1]
	r.pipeline.options.Log.Attempt(r, choice, result, err)
}
