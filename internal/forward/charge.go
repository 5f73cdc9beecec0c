package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/state/document"
)

// Errors of reservations, see Environment.Reserve.
var (
	// ErrPrepaidSpent means that the remainder of a tenant's prepaid tokens definitely can't
	// cover the request.
	ErrPrepaidSpent = errors.New("forward: the tenant's prepaid tokens can't cover the request")
	// ErrNotReserved means that the tokens could not be reserved now.
	ErrNotReserved = errors.New("forward: the tokens could not be reserved now")
	// ErrNotReservedYet means that the tokens could not be reserved now but probably can be in a
	// moment.
	ErrNotReservedYet = errors.New("forward: the tokens could not be reserved yet")
)

// Reservation holds tokens for one request until it is settled.
type Reservation interface {
	// Settle ends the reservation and charges the tokens used. It is called once.
	Settle(used uint64)
}

// reserve reserves the maximum number of tokens that the request can use.
func (r *request) reserve(ctx context.Context) *Refusal {
	if r.tenant == nil || !r.tenant.HasPrepaid || !r.call.HasTokens {
		return nil
	}
	began := time.Now()
	defer func() {
		r.tokenWait = time.Since(began)
		reserveSeconds.Update(r.tokenWait.Seconds())
	}()
	reservation, err := r.pipeline.options.Environment.Reserve(ctx, r.tenant.Name, r.call.TokensIn+r.call.TokensOut, tokenMaximumWait)
	switch {
	case errors.Is(err, ErrPrepaidSpent):
		return refuse(http.StatusPaymentRequired, ReasonPrepaidSpent)
	case err != nil:
		refused := refuse(http.StatusTooManyRequests, ReasonNotReserved)
		if errors.Is(err, ErrNotReservedYet) {
			refused.Reason = ReasonNotReservedYet
		}
		refused.Detail = err.Error()
		return refused
	}
	r.reservation = reservation
	return nil
}

// settle charges what the caller received.
func (r *request) settle() {
	if r.reservation == nil {
		return
	}
	used := r.deliveredTokens()
	r.reservation.Settle(used)
	noteCharged(r, used)
}

// deliveredTokens returns the tokens delivered to the caller: the prompt once a response has
// begun, and the events that were relayed. Work of an instance of which the caller received
// nothing is not charged, whether its response was lost or the caller left before it arrived. So
// the charge is always known exactly on this node, and nothing is charged on a guess.
func (r *request) deliveredTokens() uint64 {
	switch {
	case !r.isResponding:
		return 0
	case r.route.Kind != document.Stream:
		return r.call.TokensIn + r.call.TokensOut
	}
	eventTokens := uint64(1)
	for _, target := range r.route.Targets {
		if service := r.index.Service(target.Service); service != nil {
			eventTokens = max(eventTokens, uint64(service.EventTokens))
		}
	}
	return r.call.TokensIn + min(r.events*eventTokens, r.call.TokensOut)
}

// Tokens charged for responses that were relayed completely, tokens charged for interrupted ones,
// and the maximum charge of requests whose callers received nothing though an instance may have
// worked on them.
var (
	chargedComplete    = metrics.GetOrCreateCounter(`ravenway_tokens_total{outcome="whole"}`)
	chargedInterrupted = metrics.GetOrCreateCounter(`ravenway_tokens_total{outcome="broken_off"}`)
	notDelivered       = metrics.GetOrCreateCounter(`ravenway_tokens_total{outcome="nothing_handed_out"}`)
)

func noteCharged(r *request, used uint64) {
	switch {
	case used > 0 && r.isComplete:
		chargedComplete.AddInt64(int64(used))
	case used > 0:
		chargedInterrupted.AddInt64(int64(used))
	case r.mayHaveRun:
		notDelivered.AddInt64(int64(r.call.TokensIn + r.call.TokensOut))
	}
}
