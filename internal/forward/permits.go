package forward

import (
	"context"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// ErrNoPermit means that an instance's rate limit has no headroom for a request soon enough.
var ErrNoPermit = errors.New("forward: the instance's rate limit has no headroom for the request")

// RateLimits enforces the rate limits that instances name, across all nodes. A permit allows one
// request to be written to an instance. Each instance has an issuer, the entry node that issues its
// permits.
type RateLimits interface {
	// Permit waits until one request may be written to an instance. The error is ErrNoPermit or
	// the context's.
	Permit(ctx context.Context, instance registry.Instance, needs ratelimit.PermitNeeds) error
	// Learn applies the signal in an instance's response to a request that was written at
	// writtenAt. The zero time means that the time of writing is not known.
	Learn(instance registry.Instance, signal ratelimit.Signal, writtenAt time.Time)
}

type noRateLimits struct{}

func (noRateLimits) Permit(context.Context, registry.Instance, ratelimit.PermitNeeds) error {
	return nil
}

func (noRateLimits) Learn(registry.Instance, ratelimit.Signal, time.Time) {}

const (
	// maximumRefusals is how many issuers may refuse a request a permit before it requests no
	// more and goes to an instance without a rate limit: each refusal takes a round trip.
	maximumRefusals = 2
	// permitShare is the share of the route's objective that a request may wait for a permit.
	// resumedPermitShare is the share for a stream in progress, whose caller has waited already.
	permitShare        = 0.125
	resumedPermitShare = 0.5
)

// permitMaximumWait returns the maximum time that the request waits for a permit.
func (r *request) permitMaximumWait() time.Duration {
	if r.permitsRefused >= maximumRefusals {
		return balance.NoPermits
	}
	share := permitShare
	if r.isInProgress() {
		share = resumedPermitShare
	}
	return time.Duration(share * float64(r.route.Objective))
}

// isInProgress reports whether the caller has received part of the response, at this attempt or, of a
// stream that it takes up again, at an earlier one.
func (r *request) isInProgress() bool { return r.isResponding || r.isTakenUp() }

// permitNeeds returns what the request needs before it can be sent under a rate limit. A stream in
// progress takes precedence over all others, because its caller has received part of the
// response.
func (r *request) permitNeeds() ratelimit.PermitNeeds {
	needs := ratelimit.PermitNeeds{MaximumWaitMS: uint64(max(0, r.permitMaximumWait()).Milliseconds())}
	if !r.isInProgress() {
		needs.Priority = uint8(min(max(0, r.route.Priority), math.MaxUint8))
	}
	return needs
}

// formatRetryAfter formats a duration as the value of Retry-After.
func formatRetryAfter(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 2, 64)
}
