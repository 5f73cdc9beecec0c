// Package backoff keeps what instances ask of this node in their answers: to send them
// nothing for a time, or nothing more since they leave.
//
// It goes by lives of instances. A pause ends with its time, that an instance leaves holds
// for the rest of its life; neither changes of the registry nor of the configuration end
// one. Nothing is written to an instance in its pause, and after it few requests show first
// whether the instance takes work again.
//
// The package has no network and no clock: times are those of a steady clock of the caller.
// Such a clock doesn't count the time for which the machine is suspended, so that a pause
// never ends early.
package backoff

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// MaximumPause bounds what an instance may ask for: one that needs longer asks again.
const MaximumPause = 24 * time.Hour

// errNotAPause says that a pause is no number of seconds.
var errNotAPause = errors.New("backoff: not a number of seconds")

// Said is what one answer of an instance asks for.
type Said struct {
	// Pause is how long the instance wants no request from this node; 0 if it doesn't ask.
	Pause time.Duration
	// IsLeaving tells that the instance leaves: it wants nothing more.
	IsLeaving bool
	// HasRun tells that the instance took the request and ran it.
	HasRun bool
	// Fault is why a field can't be read. That field asks for nothing.
	Fault error
}

// ReadPause reads the values of the field that asks for a pause: seconds, with or without
// decimals. Of several the longest holds. One above MaximumPause is taken for that.
func ReadPause(values []string) Said {
	var said Said
	for _, value := range values {
		asked, err := readSeconds(value)
		if err != nil {
			return Said{Fault: err}
		}
		said.Pause = max(said.Pause, asked)
	}
	return said
}

// errNotAFlag says that a flag is neither 0 nor 1.
var errNotAFlag = errors.New("backoff: neither 0 nor 1")

// WithLeaving adds what the values of the field say that tells of an instance that leaves:
// 1 if it does, 0 if not. Of several any 1 holds.
func (s Said) WithLeaving(values []string) Said {
	for _, value := range values {
		switch strings.TrimSpace(value) {
		case "0":
		case "1":
			s.IsLeaving = true
		default:
			s.Fault = errors.Join(s.Fault, fmt.Errorf("%w: %q", errNotAFlag, value))
		}
	}
	return s
}

func readSeconds(value string) (time.Duration, error) {
	trimmed := strings.TrimSpace(value)
	if trimmed == "" || strings.Trim(trimmed, "0123456789.") != "" {
		return 0, fmt.Errorf("%w: %q", errNotAPause, value)
	}
	seconds, err := strconv.ParseFloat(trimmed, 64)
	if errors.Is(err, strconv.ErrRange) {
		return MaximumPause, nil
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %q", errNotAPause, value)
	}
	if seconds >= MaximumPause.Seconds() {
		return MaximumPause, nil
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), nil
}
