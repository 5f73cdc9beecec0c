package forward

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/coordination/balance"
)

const (
	// linesPerSecond bounds the lines on single requests; what is left out is
	// counted in the next summary.
	linesPerSecond = 40
	// decisionsKept bounds the decisions that Explain finds.
	decisionsKept = 2048
)

// DecisionLog writes one line for each decision that went other than planned,
// sums up the rest, and keeps the latest ones for Explain.
type DecisionLog struct {
	logger zerolog.Logger

	mutex           sync.Mutex
	second          int64
	lines           int
	served, leftOut int
	// kept is a ring of the latest decisions; next is its oldest place.
	kept []keptDecision
	next int
}

type keptDecision struct {
	request string
	text    string
}

// NewDecisionLog makes a log.
func NewDecisionLog(logger zerolog.Logger) *DecisionLog { return &DecisionLog{logger: logger} }

// Explain returns what was decided on a request of late, oldest first.
func (l *DecisionLog) Explain(request string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []string
	for position := range l.kept {
		one := l.kept[(l.next+position)%len(l.kept)]
		if one.request == request {
			found = append(found, one.text)
		}
	}
	return found
}

// keep remembers a decision and tells whether its line may be written.
func (l *DecisionLog) keep(r *request, text string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if r.call != nil {
		one := keptDecision{request: r.call.ID, text: fmt.Sprintf("after %d ms: %s", time.Since(r.arrived).Milliseconds(), text)}
		if len(l.kept) < decisionsKept {
			l.kept = append(l.kept, one)
		} else {
			l.kept[l.next] = one
			l.next = (l.next + 1) % decisionsKept
		}
	}
	if now := time.Now().Unix(); now != l.second {
		l.second, l.lines = now, 0
	}
	l.lines++
	if l.lines > linesPerSecond {
		l.leftOut++
		return false
	}
	return true
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
	return line
}

// Refused notes a request that no engine's answer ended.
func (l *DecisionLog) Refused(r *request, refused Refusal) {
	text := fmt.Sprintf("ended with %d for %s, may have run %v, %d events passed on, tried %s: %s",
		refused.Status, refused.Reason, r.mayHaveRun, r.events, strings.Join(r.tried, " "), refused.Detail)
	if !l.keep(r, text) {
		return
	}
	l.line(r, "refused").Int("status", refused.Status).Str("reason", string(refused.Reason)).Str("detail", refused.Detail).
		Bool("may_have_run", r.mayHaveRun).Uint64("events", r.events).Strs("tried", r.tried).Send()
}

// Attempt notes an attempt that did not end with an answer for the caller.
func (l *DecisionLog) Attempt(r *request, choice balance.Choice, result string, err error) {
	text := fmt.Sprintf("instance %s at %s, one of %d: %s %v", choice.ID, choice.Address, choice.Candidates, result, err)
	if !l.keep(r, text) {
		return
	}
	l.line(r, "attempt").Str("instance", choice.ID).Str("address", choice.Address).Str("result", result).
		Int("candidates", choice.Candidates).Bool("spilled", choice.Spilled).Uint64("events", r.events).AnErr("error", err).Send()
}

// Again notes that a request is sent once more.
func (l *DecisionLog) Again(r *request, choice balance.Choice) {
	if !l.keep(r, fmt.Sprintf("sent once more after %s, %d arrivals so far", choice.ID, r.arrivals)) {
		return
	}
	l.line(r, "again").Str("after", choice.ID).Int("arrivals", r.arrivals).Send()
}

// Served counts a request that an engine's answer ended.
func (l *DecisionLog) Served(r *request, status int) {
	if r.arrivals > 0 {
		// It went other than planned before.
		if l.keep(r, fmt.Sprintf("answered with %d by %s", status, r.tried[len(r.tried)-1])) {
			l.line(r, "answered").Int("status", status).Strs("tried", r.tried).Uint64("events", r.events).Send()
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.served++
}

// Summarize writes what was not written line by line since the last call.
func (l *DecisionLog) Summarize() {
	l.mutex.Lock()
	served, leftOut := l.served, l.leftOut
	l.served, l.leftOut = 0, 0
	l.mutex.Unlock()
	if served == 0 && leftOut == 0 {
		return
	}
	l.logger.Info().Str("event", "summary").Int("served", served).Int("lines_left_out", leftOut).Send()
}
