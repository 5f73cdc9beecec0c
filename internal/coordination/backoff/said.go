// Package backoff keeps what instances ask of this node: to send them nothing for a
// time, since they turned a request away.
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
	// HasRun tells that the instance took the request and ran it.
	HasRun bool
	// Fault is why what it asks for can't be read. Such an answer asks for nothing.
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
