package forward

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Reason is why a request was refused or ended without an engine's complete response.
type Reason string

// Reasons.
const (
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonNotCertain      Reason = "configuration_not_certain"
	ReasonNoRoute         Reason = "no_route"
	ReasonUnknownKey      Reason = "unknown_key"
	ReasonMalformed       Reason = "malformed"
	ReasonTooLarge        Reason = "too_large"
	ReasonNoMemory        Reason = "no_memory"
	ReasonStopping        Reason = "stopping"
	ReasonOverloaded      Reason = "node_overloaded"
	ReasonPrepaidSpent    Reason = "prepaid_spent"
	ReasonNotReserved     Reason = "tokens_not_reserved"
	ReasonNotReservedYet  Reason = "tokens_not_reserved_yet"
	ReasonNoInstance      Reason = "no_instance"
	// ReasonIsolated: this node reaches no engine, directly or through other nodes, which may.
	ReasonIsolated Reason = "node_isolated"
	// ReasonNoRegion: the service has no instance in the regions that the request is restricted
	// to.
	ReasonNoRegion Reason = "no_instance_in_allowed_regions"
	ReasonRejected Reason = "engines_turned_it_away"
	// ReasonRateLimited: the rate limits of the service's instances have no headroom for the
	// request.
	ReasonRateLimited Reason = "instances_rate_limited"
	// ReasonPaused: all of the service's instances have requested a pause.
	ReasonPaused Reason = "instances_paused"
	// ReasonFull: the service's brittle instances have no free slot.
	ReasonFull Reason = "instances_full"
	// ReasonVersionUnknown: no node knows on which version the stream began that the caller takes up
	// again.
	ReasonVersionUnknown Reason = "stream_version_unknown"
	// ReasonVersionNotConfirmed: nodes that may know on which version the stream began did not respond.
	ReasonVersionNotConfirmed Reason = "stream_version_not_confirmed"
	// ReasonVersionGone: no instance runs the version on which the stream began that the caller takes
	// up again.
	ReasonVersionGone    Reason = "stream_version_gone"
	ReasonTimeout        Reason = "timeout"
	ReasonOutcomeUnknown Reason = "outcome_unknown"
	ReasonCallerLeft     Reason = "caller_left"
	ReasonBrokenStream   Reason = "broken_stream"
	// ReasonInternal: the handling of the request panicked.
	ReasonInternal Reason = "internal_error"
	// ReasonQuarantined: the request crashed engines, so it is sent to no further one.
	ReasonQuarantined Reason = "quarantined"
)

// Refusal is a response that ravenway makes itself in place of an engine.
type Refusal struct {
	Status int
	Reason Reason
	Detail string
}

func refuse(status int, reason Reason) *Refusal {
	return &Refusal{Status: status, Reason: reason}
}

// retryRange is a range of Retry-After times in seconds. The time is drawn from it at random, so
// that callers don't retry simultaneously.
type retryRange struct{ minimum, maximum float64 }

// minimumRedirectObjective is the objective from which an overloaded node may redirect a request
// to another node, by a refusal with a short Retry-After: the redirection takes up to a quarter of
// the objective.
const minimumRedirectObjective = 400 * time.Millisecond

var (
	// retryElsewhere is for requests that any other node serves immediately: the time is random
	// only to spread the retries of a burst.
	retryElsewhere = retryRange{minimum: 0.03, maximum: 0.1}
	// retrySoon is for requests that another node can serve, or this one a moment later.
	retrySoon = retryRange{minimum: 0.2, maximum: 0.7}
	// retryAfterStart is for what a node that has just started lacks: after a power loss of all
	// machines a leader is elected within 0.6 s and all requests are served within 1.2 s.
	retryAfterStart = retryRange{minimum: 0.9, maximum: 1.8}
	// retryLater is for tokens that can't be reserved and for missing instances in an allowed
	// region: both last as long as a network partition, and an earlier retry is only refused
	// again.
	retryLater = retryRange{minimum: 2.5, maximum: 4.5}
)

func (a retryRange) draw() string {
	return strconv.FormatFloat(a.minimum+rand.Float64()*(a.maximum-a.minimum), 'f', 2, 64)
}

type refusalBody struct {
	Error  Reason `json:"error"`
	NotRun bool   `json:"not_run"`
	Detail string `json:"detail,omitempty"`
}

// notRun reports whether a status promises that the request has not run.
func notRun(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		return false
	}
	return true
}

// refuse sends a refusal. If the request has not run, it names the time after which the caller
// should retry.
func (r *request) refuse(refused Refusal) {
	metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_forward_refused_total{reason=%q}", refused.Reason)).Inc()
	r.pipeline.options.Log.Refused(r, refused)
	header := r.writer.Header()
	header.Set("Content-Type", "application/json")
	switch {
	case refused.Reason == ReasonQuarantined, refused.Reason == ReasonVersionUnknown, refused.Reason == ReasonVersionGone:
		// A retry would be refused again, so no retry time is sent.
	case refused.Reason == ReasonRateLimited, refused.Reason == ReasonPaused, refused.Reason == ReasonFull:
		header.Set("Retry-After", formatRetryAfter(r.retryTime))
	case refused.Reason == ReasonIsolated:
		// The caller's next connection reaches another node.
		header.Set("Connection", "close")
		header.Set("Retry-After", retryElsewhere.draw())
	case refused.Reason == ReasonOverloaded:
		header.Set("Retry-After", retryElsewhere.draw())
	case refused.Reason == ReasonNotReserved, refused.Reason == ReasonNoRegion:
		header.Set("Retry-After", retryLater.draw())
	case refused.Reason == ReasonNoConfiguration, refused.Reason == ReasonNotReservedYet:
		header.Set("Retry-After", retryAfterStart.draw())
	case refused.Status == http.StatusServiceUnavailable, refused.Status == http.StatusTooManyRequests:
		header.Set("Retry-After", retrySoon.draw())
	}
	body, _ := json.Marshal(refusalBody{Error: refused.Reason, NotRun: notRun(refused.Status), Detail: refused.Detail})
	header.Set("Content-Length", strconv.Itoa(len(body)))
	r.writeStatus(refused.Status)
	r.finishResponse(body)
}
