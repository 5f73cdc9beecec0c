package forward

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/state/document"
)

const (
	// linesPerSecond bounds the log lines on single requests; lines beyond it are counted in the
	// next summary.
	linesPerSecond = 40
	// promptLinesPerSecond bounds the log lines on reservations of prompts.
	promptLinesPerSecond = 10
	// maximumDecisions bounds the decisions that Explain can find.
	maximumDecisions = 2048
)

// DecisionLog writes one line for each decision that deviates from the normal course, summarizes
// the others, and keeps the latest ones for Explain.
type DecisionLog struct {
	logger zerolog.Logger
	lines  *LineBudget
	// promptLines bounds the lines on reservations of prompts.
	promptLines *LineBudget

	mutex sync.Mutex
	// served, lateCount and relayed are counts since the last summary: of requests that were served,
	// late, and through a relay. refused counts refusals by reason.
	served, lateCount, relayed int
	refused                    map[Reason]int
	// kept is a ring buffer of the latest decisions; next is the index of the oldest.
	kept []decision
	next int
}

type decision struct {
	request string
	text    string
}

// NewDecisionLog returns a log that writes to logger.
func NewDecisionLog(logger zerolog.Logger) *DecisionLog {
	return &DecisionLog{logger: logger, lines: NewLineBudget(linesPerSecond), promptLines: NewLineBudget(promptLinesPerSecond), refused: map[Reason]int{}}
}

// Explain returns the recent decisions on a request, oldest first.
func (l *DecisionLog) Explain(request string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []string
	for position := range l.kept {
		entry := l.kept[(l.next+position)%len(l.kept)]
		if entry.request == request {
			found = append(found, entry.text)
		}
	}
	return found
}

// keep stores a decision for Explain and reports whether its line may be written.
func (l *DecisionLog) keep(r *request, text string) bool {
	l.remember(r, text)
	return l.lines.Take()
}

// remember stores a decision for Explain.
func (l *DecisionLog) remember(r *request, text string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rememberLocked(r, text)
}

// rememberLocked stores a decision for Explain. The caller holds the mutex.
func (l *DecisionLog) rememberLocked(r *request, text string) {
	if r.call == nil {
		return
	}
	entry := decision{request: r.call.ID, text: fmt.Sprintf("after %d ms: %s", time.Since(r.arrived).Milliseconds(), text)}
	if len(l.kept) < maximumDecisions {
		l.kept = append(l.kept, entry)
		return
	}
	l.kept[l.next] = entry
	l.next = (l.next + 1) % maximumDecisions
}

func (l *DecisionLog) line(r *request, event string) *zerolog.Event {
	line := l.logger.Info().Str("event", event).Int64("elapsed_ms", time.Since(r.arrived).Milliseconds())
	if r.index != nil {
		line = line.Uint64("version", r.index.Document.Version)
	}
	if r.route != nil {
		line = line.Str("route", r.route.Name)
	}
	if r.call != nil {
		line = line.Str("request", r.call.ID)
	}
	if r.tenant != nil {
		line = line.Str("tenant", r.tenant.Name)
	}
	if r.relayNode != "" {
		line = line.Str("relay", r.relayNode)
	}
	return line
}

// Refused logs a request that ended without a complete response from an engine.
func (l *DecisionLog) Refused(r *request, refused Refusal) {
	text := fmt.Sprintf("ended with %d for %s, may have run %v, %d events passed on, tried %s: %s",
		refused.Status, refused.Reason, r.mayHaveRun, r.events, strings.Join(r.tried, " "), refused.Detail)
	l.mutex.Lock()
	l.refused[refused.Reason]++
	l.mutex.Unlock()
	if !l.keep(r, text) {
		return
	}
	line := l.line(r, "refused").Int("status", refused.Status).Str("reason", string(refused.Reason)).Str("detail", refused.Detail)
	if r.route != nil {
		line = line.Int64("objective_ms", r.route.Objective.Milliseconds())
	}
	if refused.Reason == ReasonRateLimited || refused.Reason == ReasonPaused || refused.Reason == ReasonFull {
		line = line.Int64("come_back_ms", r.retryTime.Milliseconds()).Int("permits_refused", r.permitsRefused)
	}
	if r.call != nil && r.call.LastEvent != "" {
		line = line.Str("resumes", r.call.Resumes).Str("after_event", r.call.LastEvent).Str("stream_version", r.stream.Version).
			Str("source", string(r.stream.resumed.Source))
	}
	line.Int64("token_wait_ms", r.tokenWait.Milliseconds()).
		Bool("may_have_run", r.mayHaveRun).Uint64("events", r.events).Strs("tried", r.tried).Send()
}

// NotSent logs that a response that was logged as a refusal or as served did not reach the caller.
func (l *DecisionLog) NotSent(r *request, err error) {
	if l.keep(r, "the response could not be sent: "+err.Error()) {
		l.line(r, "response_not_sent").AnErr("error", err).Send()
	}
}

// Panicked logs that the handling of a request panicked.
func (l *DecisionLog) Panicked(r *request, cause any, stack []byte) {
	l.remember(r, fmt.Sprintf("its handling panicked: %v", cause))
	l.line(r, "panic").Str("error", fmt.Sprint(cause)).Bytes("stack", stack).Bool("response_begun", r.hasBegun).Send()
}

// Attempt logs an attempt that did not end with a response for the caller.
func (l *DecisionLog) Attempt(r *request, choice balance.Choice, result string, err error) {
	text := fmt.Sprintf("instance %s at %s, one of %d: %s %v", choice.ID, choice.Address, choice.Candidates, result, err)
	if !l.keep(r, text) {
		return
	}
	addChoice(l.line(r, "attempt"), choice).Str("address", choice.Address).Str("result", result).
		Uint64("events", r.events).AnErr("error", err).Send()
}

// Streams that callers took up again at this node, and streams that this node resumed within a
// response at an instance of the version of the last one, or of another.
var (
	streamsTakenUp      = metrics.GetOrCreateCounter("ravenway_streams_taken_up_total")
	streamsResumedSame  = metrics.GetOrCreateCounter(`ravenway_streams_resumed_total{version="same"}`)
	streamsResumedOther = metrics.GetOrCreateCounter(`ravenway_streams_resumed_total{version="other"}`)
)

// StreamTakenUp logs that a stream that its caller takes up again continues at an instance.
func (l *DecisionLog) StreamTakenUp(r *request, choice balance.Choice) {
	streamsTakenUp.Inc()
	found := r.stream.resumed
	text := fmt.Sprintf("takes up the stream of %q after event %s at %s, which runs version %q, known from %s %s for %d ms", r.call.Resumes,
		r.call.LastEvent, choice.Incarnation(), choice.Version, found.Source, found.Node, found.Age.Milliseconds())
	if l.keep(r, text) {
		l.line(r, "stream_taken_up").Str("resumes", r.call.Resumes).Str("after_event", r.call.LastEvent).
			Stringer("life", choice.Incarnation()).Str("instance_version", choice.Version).Str("stream_version", found.Version).
			Str("source", string(found.Source)).Str("holder", found.Node).Int64("age_ms", found.Age.Milliseconds()).Send()
	}
}

// StreamResumed logs that this node resumed a stream at another instance.
func (l *DecisionLog) StreamResumed(r *request, choice balance.Choice) {
	resumed := streamsResumedSame
	if choice.Version != r.stream.Version {
		resumed = streamsResumedOther
	}
	resumed.Inc()
	text := fmt.Sprintf("resumed at %s, which runs version %q; the stream began on %q", choice.Incarnation(), choice.Version, r.stream.Version)
	if l.keep(r, text) {
		addChoice(l.line(r, "attempt"), choice).Str("address", choice.Address).Str("result", "resumed").Stringer("life", choice.Incarnation()).
			Str("stream_version", r.stream.Version).Uint64("events", r.events).Send()
	}
}

// Rejected logs that an instance rejected the request without running it, and the pause that
// the instance requested of this node.
func (l *DecisionLog) Rejected(r *request, choice balance.Choice, result string, response *exchange) {
	signal := response.head.Backoff
	text := fmt.Sprintf("instance %s at %s, one of %d: %s with status %d, requests a pause of %s", choice.ID, choice.Address, choice.Candidates,
		result, response.response.StatusCode, signal.Pause)
	if !l.keep(r, text) {
		return
	}
	addChoice(l.line(r, "attempt"), choice).Str("address", choice.Address).Str("result", result).
		Int("status", response.response.StatusCode).Int64("asked_pause_ms", signal.Pause.Milliseconds()).AnErr("error", signal.Fault).Send()
}

// UnknownHeaders logs headers of a service's responses that this build doesn't know.
func (l *DecisionLog) UnknownHeaders(r *request, choice balance.Choice, names []string) {
	l.line(r, "answer_headers_unknown").Str("service", choice.Service).Str("instance", choice.ID).Strs("headers", names).Send()
}

// RunInterrupted logs an interrupted run at an instance that may have begun it, with what indicates
// whether the request itself is the cause.
func (l *DecisionLog) RunInterrupted(r *request, run interruptedRun, result string, err error) {
	fingerprint := quarantine.FingerprintOfRequest(r.content())
	text := fmt.Sprintf("instance %s at %s: %s, %s, fingerprint %s: %v", run.choice.ID, run.choice.Address, result, run, fingerprint, err)
	if !l.keep(r, text) {
		return
	}
	addChoice(l.line(r, "attempt"), run.choice).Str("address", run.choice.Address).Str("result", result).
		Uint64("events", r.events).Stringer("fingerprint", fingerprint).Strs("prompt_parts", loggedParts(r.call)).Bool("answer_begun", run.run.ResponseBegan).
		Int64("answered_ms", run.run.ResponseAge.Milliseconds()).AnErr("error", err).Send()
}

// maximumLoggedParts bounds the parts of a prompt in a log line.
const maximumLoggedParts = 16

// loggedParts returns the IDs of a prompt's parts for a log line. The last parts are omitted if there are
// too many.
func loggedParts(call *Call) []string {
	parts := call.Parts[:min(len(call.Parts), maximumLoggedParts)]
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// answersEndedByClose counts the responses whose end only the end of their connection marked.
var answersEndedByClose = metrics.GetOrCreateCounter("ravenway_answers_ended_by_close_total")

// EndedByClose logs that a response without a length and chunks ended with its connection, which a crash of
// the instance would end, too.
func (l *DecisionLog) EndedByClose(r *request, choice balance.Choice) {
	answersEndedByClose.Inc()
	fingerprint := quarantine.FingerprintOfRequest(r.content())
	if !l.keep(r, fmt.Sprintf("the response of %s ended with its connection after %d events, fingerprint %s", choice.Incarnation(), r.events, fingerprint)) {
		return
	}
	l.line(r, "answer_ended_by_close").Stringer("life", choice.Incarnation()).Uint64("events", r.events).Stringer("fingerprint", fingerprint).
		Strs("prompt_parts", loggedParts(r.call)).Send()
}

// EngineCrashed logs that an engine has crashed, and how many of this node's runs were in flight
// there.
func (l *DecisionLog) EngineCrashed(choice balance.Choice, runs int, wasLeaving bool) {
	l.logger.Info().Str("event", "engine_ended").Stringer("life", choice.Incarnation()).Str("address", choice.Address).
		Str("service", choice.Service).Int("runs", runs).Bool("was_leaving", wasLeaving).Send()
}

// OutdatedConfiguration logs a request that is handled under an older document than the newest
// one known.
func (l *DecisionLog) OutdatedConfiguration(r *request, newest uint64, since time.Duration) {
	text := fmt.Sprintf("taken under version %d, %d was heard of %d ms before", r.index.Document.Version, newest, since.Milliseconds())
	if !l.keep(r, text) {
		return
	}
	l.line(r, "behind").Uint64("newest", newest).Int64("newest_heard_ms", since.Milliseconds()).Send()
}

// Retried logs that a request is sent to another instance.
func (l *DecisionLog) Retried(r *request, choice balance.Choice) {
	if !l.keep(r, fmt.Sprintf("sent once more after %s, %d arrivals so far", choice.ID, r.instancesReached)) {
		return
	}
	l.line(r, "again").Str("after", choice.ID).Int("arrivals", r.instancesReached).Send()
}

// Served counts a request that ended with an engine's complete response, and logs why it missed
// its objective if it did.
func (l *DecisionLog) Served(r *request, status int, choice balance.Choice) {
	if r.instancesReached > 0 {
		// An earlier attempt failed.
		if l.keep(r, fmt.Sprintf("served with status %d by %s", status, r.tried[len(r.tried)-1])) {
			l.line(r, "answered").Int("status", status).Strs("tried", r.tried).Uint64("events", r.events).Send()
		}
	}
	first := r.pace.first
	if r.route.Kind != document.Stream {
		first = time.Since(r.arrived)
	}
	isLate := first > r.route.Objective || r.hadLongGap()
	if isLate {
		l.late(r, first, choice)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.served++
	if r.relayNode != "" {
		l.relayed++
		l.rememberLocked(r, "served through the relay "+r.relayNode)
	}
	if isLate {
		l.lateCount++
	}
}

func (l *DecisionLog) late(r *request, first time.Duration, choice balance.Choice) {
	text := fmt.Sprintf("late: first event after %d ms (objective %d ms), longest gap between events %d ms (limit %d ms)", first.Milliseconds(),
		r.route.Objective.Milliseconds(), r.pace.longestGap.Milliseconds(), r.route.EventGap.Milliseconds())
	if !l.keep(r, text) {
		return
	}
	addChoice(l.line(r, "late"), choice).Int64("first_ms", first.Milliseconds()).Int64("objective_ms", r.route.Objective.Milliseconds()).
		Int64("pause_ms", r.pace.longestGap.Milliseconds()).Int64("pause_limit_ms", r.route.EventGap.Milliseconds()).
		Int64("token_wait_ms", r.tokenWait.Milliseconds()).Int("arrivals", r.instancesReached).Uint64("events", r.events).
		Str("reserved", string(r.prompt.result())).Int("ahead_told", r.prompt.last.Ahead).Int("reservations_refused", r.prompt.refusals).Send()
}

// addChoice adds the factors in the choice of an instance, in tokens where they are amounts of
// work.
func addChoice(line *zerolog.Event, choice balance.Choice) *zerolog.Event {
	return line.Str("instance", choice.ID).Str("instance_version", choice.Version).Int("candidates", choice.Candidates).Bool("spilled", choice.Spilled).
		Int("ahead", choice.Ahead).Bool("ahead_known", choice.AheadKnown).Int("unread", choice.Unread).
		Int("reread", choice.RereadCost).Int("far", choice.CrossZoneCost).Int("streams", choice.RequestsInFlight).Int("paused", choice.StallCost).Int("permit", choice.PermitCost)
}

// Summarize logs the totals since the last call, including the number of omitted lines.
func (l *DecisionLog) Summarize() {
	l.mutex.Lock()
	served, late, relayed, refused := l.served, l.lateCount, l.relayed, l.refused
	l.served, l.lateCount, l.relayed, l.refused = 0, 0, 0, map[Reason]int{}
	l.mutex.Unlock()
	omitted := l.lines.TakeOmitted() + l.promptLines.TakeOmitted()
	if served == 0 && omitted == 0 && len(refused) == 0 {
		return
	}
	line := l.logger.Info().Str("event", "summary").Int("served", served).Int("late", late).Int("lines_left_out", omitted)
	if relayed > 0 {
		line = line.Int("relayed", relayed)
	}
	if len(refused) > 0 {
		line = line.Interface("refused", refused)
	}
	line.Send()
}
