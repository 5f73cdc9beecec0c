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

// ErrNoPermit says that an instance's limit leaves no room for a request soon enough.
var ErrNoPermit = errors.New("forward: the instance's limit has no room for the request")

// RateLimits keeps the limits that instances name, for all nodes together.
type RateLimits interface {
	// Permit waits until one request may be written to an instance. The error is
	// ErrNoPermit or the context's.
	Permit(ctx context.Context, instance registry.Instance, need ratelimit.PermitNeeds) error
	// Learn takes what an answer of an instance says, to a request written at a time; the
	// zero time stands for one of which that is not known.
	Learn(instance registry.Instance, said ratelimit.Signal, writtenAt time.Time)
}

type noRateLimits struct{}

func (noRateLimits) Permit(context.Context, registry.Instance, ratelimit.PermitNeeds) error {
	return nil
}

func (noRateLimits) Learn(registry.Instance, ratelimit.Signal, time.Time) {}

const (
	// maximumRefusals is how many holders may refuse a request a permit before it asks no
	// more and goes to an instance without a limit: each takes a round trip.
	maximumRefusals = 2
	// permitShare is the part of the objective that a request waits for a permit, and
	// resumedPermitShare that of a stream in progress, whose caller has waited already.
	permitShare        = 0.125
	resumedPermitShare = 0.5
)

// permitPatience is how long the request waits for a permit.
func (r *request) permitPatience() time.Duration {
	if r.permitsRefused >= maximumRefusals {
		return balance.NoPermits
	}
	share := permitShare
	if r.answering {
		share = resumedPermitShare
	}
	return time.Duration(share * float64(r.route.Objective))
}

// permitNeed is what the request needs of a permit. A stream in progress comes before all
// others: its caller has a part of the answer.
func (r *request) permitNeed() ratelimit.PermitNeeds {
	need := ratelimit.PermitNeeds{MaximumWaitMS: uint64(max(0, r.permitPatience()).Milliseconds())}
	if !r.answering {
		need.Priority = uint8(min(max(0, r.route.Priority), math.MaxUint8))
	}
	return need
}

// seconds writes a time for Retry-After.
func seconds(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 2, 64)
}
