package forward

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// RateLimits knows the limits that instances name.
type RateLimits interface {
	// Written notes a request that is written to an instance.
	Written(instance registry.Instance)
	// Learn takes what an answer of an instance says, to a request written at a time; the
	// zero time stands for one of which that is not known.
	Learn(instance registry.Instance, said ratelimit.Said, writtenAt time.Time)
}

type noRateLimits struct{}

func (noRateLimits) Written(registry.Instance) {}

func (noRateLimits) Learn(registry.Instance, ratelimit.Said, time.Time) {}
