package ratelimit

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaximumRate bounds the limit that an instance may name, in requests per second. A higher
// value counts as MaximumRate, since a limit beyond it has no effect.
const MaximumRate = 1e5

// errInvalidRate reports a limit that is not a number of requests per second.
var errInvalidRate = errors.New("ratelimit: not a number of requests a second")

// Signal is what one response of an instance indicates about its rate limit.
type Signal struct {
	// IsNamed reports whether the response names a limit, of PerSecond requests per second.
	IsNamed   bool
	PerSecond float64
	// IsFailure reports whether the instance rejected or failed the request. Such a response
	// may omit the limit, so a missing limit in it does not end one.
	IsFailure bool
	// Fault is the error of a limit that can't be read. Such a response neither sets nor ends
	// a limit.
	Fault error
}

// Read parses the values of the field that names a limit: decimal numbers from 0 on, with or
// without an exponent. The lowest of several values applies. A value above MaximumRate counts
// as MaximumRate. One unreadable value makes the whole field unreadable.
func Read(values []string) Signal {
	signal := Signal{PerSecond: MaximumRate}
	for _, value := range values {
		perSecond, err := parseRate(value)
		if err != nil {
			return Signal{Fault: err}
		}
		signal.IsNamed, signal.PerSecond = true, min(signal.PerSecond, perSecond)
	}
	if !signal.IsNamed {
		return Signal{}
	}
	return signal
}

func parseRate(value string) (float64, error) {
	trimmed := strings.TrimSpace(value)
	if trimmed == "" || strings.Trim(trimmed, "0123456789.eE+-") != "" {
		return 0, fmt.Errorf("%w: %q", errInvalidRate, value)
	}
	perSecond, err := strconv.ParseFloat(trimmed, 64)
	if errors.Is(err, strconv.ErrRange) && perSecond > 0 {
		return MaximumRate, nil
	}
	if err != nil || perSecond < 0 {
		return 0, fmt.Errorf("%w: %q", errInvalidRate, value)
	}
	return perSecond, nil
}
