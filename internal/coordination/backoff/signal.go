// Package backoff tracks the instances whose responses request a pause (no requests for a
// time) or announce that they are leaving (no further requests).
//
// The state is kept per incarnation, one run of an instance's process. A pause ends when its
// time has passed; leaving lasts for the rest of the incarnation. Changes of the registry or
// of the configuration end neither. No request is written to an instance during its pause.
// After the pause a few trial requests first show whether the instance accepts work again.
//
// The package uses no network and no clock: times are those of the caller's monotonic clock.
// Such a clock doesn't count the time for which the machine is suspended, so a pause never
// ends early.
package backoff

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// MaximumPause bounds the pause that one response can request. An instance that needs a longer
// one has to request it again.
const MaximumPause = 24 * time.Hour

// errInvalidPause reports a pause that is not a number of seconds.
var errInvalidPause = errors.New("backoff: not a number of seconds")

// Signal is what one response of an instance asks of this node.
type Signal struct {
	// Pause is how long this node is to send the instance no request; 0 if none is requested.
	Pause time.Duration
	// IsLeaving reports whether the instance is leaving and wants no further requests.
	IsLeaving bool
	// HasRun reports whether the instance accepted the request and ran it.
	HasRun bool
	// Fault is the error of a field that can't be read. Such a field is ignored.
	Fault error
}

// ReadPause reads the values of the field that requests a pause, in seconds with or without
// decimals. The longest of several values applies. A value above MaximumPause counts as
// MaximumPause. One unreadable value makes the whole field unreadable.
func ReadPause(values []string) Signal {
	var signal Signal
	for _, value := range values {
		requested, err := parseSeconds(value)
		if err != nil {
			return Signal{Fault: err}
		}
		signal.Pause = max(signal.Pause, requested)
	}
	return signal
}

// errInvalidFlag reports a flag that is neither 0 nor 1.
var errInvalidFlag = errors.New("backoff: neither 0 nor 1")

// WithLeaving returns the signal with the values of the field that announces a leaving
// instance: 1 if it is leaving, 0 if not. Any 1 among several values applies.
func (s Signal) WithLeaving(values []string) Signal {
	for _, value := range values {
		switch strings.TrimSpace(value) {
		case "0":
		case "1":
			s.IsLeaving = true
		default:
			s.Fault = errors.Join(s.Fault, fmt.Errorf("%w: %q", errInvalidFlag, value))
		}
	}
	return s
}

func parseSeconds(value string) (time.Duration, error) {
	trimmed := strings.TrimSpace(value)
	if trimmed == "" || strings.Trim(trimmed, "0123456789.") != "" {
		return 0, fmt.Errorf("%w: %q", errInvalidPause, value)
	}
	seconds, err := strconv.ParseFloat(trimmed, 64)
	if errors.Is(err, strconv.ErrRange) {
		return MaximumPause, nil
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %q", errInvalidPause, value)
	}
	if seconds >= MaximumPause.Seconds() {
		return MaximumPause, nil
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), nil
}
