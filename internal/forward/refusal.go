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

// Reason tells why a request was refused or ended without an engine's answer.
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
	ReasonSpent           Reason = "prepaid_spent"
	ReasonNotReserved     Reason = "tokens_not_reserved"
	ReasonNotReservedYet  Reason = "tokens_not_reserved_yet"
	ReasonNoInstance      Reason = "no_instance"
	// ReasonNoRegion: the service has no instance in the regions that the request is
	// bound to.
	ReasonNoRegion   Reason = "no_instance_in_allowed_regions"
	ReasonTurnedAway Reason = "engines_turned_it_away"
	// ReasonRateLimited: the limits that the service's instances name have no room for it.
	ReasonRateLimited Reason = "instances_rate_limited"
	// ReasonPaused: all of the service's instances have asked for a pause.
	ReasonPaused         Reason = "instances_paused"
	ReasonTimeout        Reason = "timeout"
	ReasonOutcomeUnknown Reason = "outcome_unknown"
	ReasonCallerLeft     Reason = "caller_left"
	ReasonBrokenStream   Reason = "broken_stream"
	// ReasonQuarantined: engines ended by the request, so it reaches no further one.
	ReasonQuarantined Reason = "quarantined"
)

// Refusal is an answer of ravenway's own.
type Refusal struct {
	Status int
	Reason Reason
	Detail string
}

func refuse(status int, reason Reason) *Refusal {
	return &Refusal{Status: status, Reason: reason}
}

// retryAfter is when a caller may come back, in seconds: a time drawn between
// the two, so that callers don't come back all at once.
type retryAfter struct{ minimum, maximum float64 }

// leastObjectiveElsewhere is the objective from which a request may be sent to
// another node by an overloaded one: the way there takes up to a quarter of it.
const leastObjectiveElsewhere = 400 * time.Millisecond

var (
	// elsewhere is for what any other node serves at once: it is drawn only so
	// that a burst does not come back as one.
	elsewhere = retryAfter{minimum: 0.03, maximum: 0.1}
	// soon is for what another node, or this one a moment later, can serve.
	soon = retryAfter{minimum: 0.2, maximum: 0.7}
	// afterStart is for what a node lacks that has just started: after a loss of
	// all machines' power a leader is there in 0.6 s and all are served in 1.2 s.
	afterStart = retryAfter{minimum: 0.9, maximum: 1.8}
	// later is for tokens that can't be had, and for instances of an allowed region: that
	// lasts as long as a cut does, and a caller that comes back too early is only refused
	// once more.
	later = retryAfter{minimum: 2.5, maximum: 4.5}
)

func (a retryAfter) draw() string {
	return strconv.FormatFloat(a.minimum+rand.Float64()*(a.maximum-a.minimum), 'f', 2, 64)
}

type refusalBody struct {
	Error  Reason `json:"error"`
	NotRun bool   `json:"not_run"`
	Detail string `json:"detail,omitempty"`
}

// notRun tells whether a status promises that the request has not run.
func notRun(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		return false
	}
	return true
}

// refuse answers at once. A request that has not run is told when to come back.
func (r *request) refuse(refused Refusal) {
	metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_forward_refused_total{reason=%q}", refused.Reason)).Inc()
	r.pipeline.options.Log.Refused(r, refused)
	header := r.writer.Header()
	header.Set("Content-Type", "application/json")
	switch {
	case refused.Reason == ReasonQuarantined:
		// It will be refused again: no time is named to come back at.
	case refused.Reason == ReasonRateLimited, refused.Reason == ReasonPaused:
		header.Set("Retry-After", seconds(r.comeBack))
	case refused.Reason == ReasonOverloaded:
		header.Set("Retry-After", elsewhere.draw())
	case refused.Reason == ReasonNotReserved, refused.Reason == ReasonNoRegion:
		header.Set("Retry-After", later.draw())
	case refused.Reason == ReasonNoConfiguration, refused.Reason == ReasonNotReservedYet:
		header.Set("Retry-After", afterStart.draw())
	case refused.Status == http.StatusServiceUnavailable, refused.Status == http.StatusTooManyRequests:
		header.Set("Retry-After", soon.draw())
	}
	body, _ := json.Marshal(refusalBody{Error: refused.Reason, NotRun: notRun(refused.Status), Detail: refused.Detail})
	header.Set("Content-Length", strconv.Itoa(len(body)))
	r.writer.WriteHeader(refused.Status)
	_, _ = r.writer.Write(body)
}
