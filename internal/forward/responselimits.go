package forward

import (
	"bufio"
	"errors"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maximumHeadBytes bounds the heads of one response, in bytes: its own and the informational ones
	// (1xx) before it. Sound engines send less than 2 KB.
	maximumHeadBytes = 16 << 10
	// maximumInformationalHeads bounds the informational heads before a response.
	maximumInformationalHeads = 8
	// maximumErrorBytes bounds the body of a server error.
	maximumErrorBytes = 64 << 10
	// maximumEventBytes bounds one event of a stream, and what stands between two events, in bytes. An
	// event holds a few tokens.
	maximumEventBytes = 64 << 10
)

// Errors of responses that exceed a bound. Such bytes may never end.
var (
	errHeadTooLong          = errors.New("forward: the head of the response is too long")
	errTooManyInformational = errors.New("forward: too many informational heads precede the response")
	errErrorBodyTooLong     = errors.New("forward: the body of the server error is too long")
	errEventTooLong         = errors.New("forward: an event of the stream is too long")
	errTooMuchBetweenEvents = errors.New("forward: too many comments or blank lines stand between two events")
	errResponseTooLong      = errors.New("forward: the response is too long to be discarded")
	errChunkFramingTooLong  = errors.New("forward: the framing of the chunks is too long")
)

// unboundedResponses counts the responses that exceeded a bound, by its error.
var unboundedResponses = map[error]*metrics.Counter{
	errHeadTooLong:          unboundedCounter("head"),
	errTooManyInformational: unboundedCounter("informational_heads"),
	errErrorBodyTooLong:     unboundedCounter("error_body"),
	errEventTooLong:         unboundedCounter("event"),
	errTooMuchBetweenEvents: unboundedCounter("between_events"),
	errResponseTooLong:      unboundedCounter("discarded_body"),
	errChunkFramingTooLong:  unboundedCounter("chunk_framing"),
}

func unboundedCounter(part string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`ravenway_engine_responses_unbounded_total{part="` + part + `"}`)
}

// netHTTPFramingErrors are parts of the texts of those errors of net/http about the framing of chunks and
// trailers that it does not export.
var netHTTPFramingErrors = []string{"too much non-data", "suspiciously long trailer", "chunk length too large"}

// exceededBound returns the error of the bound that a response exceeded, or nil if err has another cause.
// The engine is then alive and sends bytes that are no response.
func exceededBound(err error) error {
	for bound := range unboundedResponses {
		if errors.Is(err, bound) {
			return bound
		}
	}
	if errors.Is(err, http.ErrLineTooLong) || errors.Is(err, bufio.ErrBufferFull) {
		return errChunkFramingTooLong
	}
	for _, text := range netHTTPFramingErrors {
		if err != nil && strings.Contains(err.Error(), text) {
			return errChunkFramingTooLong
		}
	}
	return nil
}

// countExceeded counts a response that exceeded a bound, and reports whether err is about one.
func countExceeded(err error) bool {
	bound := exceededBound(err)
	if bound == nil {
		return false
	}
	unboundedResponses[bound].Inc()
	return true
}
