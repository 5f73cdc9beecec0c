package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/coordination/balance"
)

// linesPerSecond bounds the lines on single requests; what is left out is
// counted in the next summary.
const linesPerSecond = 40

// DecisionLog writes one line for each decision that went other than planned,
// and sums up the rest.
type DecisionLog struct {
	logger  zerolog.Logger
	served  atomic.Int64
	leftOut atomic.Int64

	mutex  sync.Mutex
	second int64
	lines  int
}

// NewDecisionLog makes a log.
func NewDecisionLog(logger zerolog.Logger) *DecisionLog { return &DecisionLog{logger: logger} }

func (l *DecisionLog) allowed() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now := time.Now().Unix(); now != l.second {
		l.second, l.lines = now, 0
	}
	l.lines++
	if l.lines > linesPerSecond {
		l.leftOut.Add(1)
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
	if !l.allowed() {
		return
	}
	l.line(r, "refused").Int("status", refused.Status).Str("reason", string(refused.Reason)).Str("detail", refused.Detail).
		Bool("may_have_run", r.mayHaveRun).Uint64("events", r.events).Strs("tried", r.tried).Send()
}

// Attempt notes an attempt that did not end with an answer for the caller.
func (l *DecisionLog) Attempt(r *request, choice balance.Choice, result string, err error) {
	if !l.allowed() {
		return
	}
	l.line(r, "attempt").Str("instance", choice.ID).Str("address", choice.Address).Str("result", result).
		Int("candidates", choice.Candidates).Bool("spilled", choice.Spilled).Uint64("events", r.events).AnErr("error", err).Send()
}

// Again notes that a request is sent once more.
func (l *DecisionLog) Again(r *request, choice balance.Choice, result verdict) {
	if !l.allowed() {
		return
	}
	l.line(r, "again").Str("after", choice.ID).Int("arrivals", r.arrivals).Uint8("verdict", uint8(result)).Send()
}

// Served counts a request that an engine's answer ended.
func (l *DecisionLog) Served(_ *request, _ int) { l.served.Add(1) }

// Summarize writes what was not written line by line since the last call.
func (l *DecisionLog) Summarize() {
	served, leftOut := l.served.Swap(0), l.leftOut.Swap(0)
	if served == 0 && leftOut == 0 {
		return
	}
	l.logger.Info().Str("event", "summary").Int64("served", served).Int64("lines_left_out", leftOut).Send()
}
