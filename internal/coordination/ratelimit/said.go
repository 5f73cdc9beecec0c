package ratelimit

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaximumRate bounds what an instance may name, in requests a second: beyond it a limit
// is none.
const MaximumRate = 1e5

// errNotARate says that a limit is no number of requests a second.
var errNotARate = errors.New("ratelimit: not a number of requests a second")

// Said is what one answer of an instance says of its limit.
type Said struct {
	// IsNamed tells that it names one, of PerSecond requests a second.
	IsNamed   bool
	PerSecond float64
	// IsFailure tells that the instance turned the request away or failed it: such an answer
	// may say nothing else, so that it names no limit does not end one.
	IsFailure bool
	// Fault is why what it names can't be read. Such an answer neither sets a limit nor
	// lifts one.
	Fault error
}

// Read reads the values of the field that names a limit: a decimal number, from 0 on, with
// or without an exponent. Of several the lowest holds. One above MaximumRate is taken for
// MaximumRate.
func Read(values []string) Said {
	said := Said{PerSecond: MaximumRate}
	for _, value := range values {
		perSecond, err := readRate(value)
		if err != nil {
			return Said{Fault: err}
		}
		said.IsNamed, said.PerSecond = true, min(said.PerSecond, perSecond)
	}
	if !said.IsNamed {
		return Said{}
	}
	return said
}

func readRate(value string) (float64, error) {
	trimmed := strings.TrimSpace(value)
	if trimmed == "" || strings.Trim(trimmed, "0123456789.eE+-") != "" {
		return 0, fmt.Errorf("%w: %q", errNotARate, value)
	}
	perSecond, err := strconv.ParseFloat(trimmed, 64)
	if errors.Is(err, strconv.ErrRange) && perSecond > 0 {
		return MaximumRate, nil
	}
	if err != nil || perSecond < 0 {
		return 0, fmt.Errorf("%w: %q", errNotARate, value)
	}
	return perSecond, nil
}
