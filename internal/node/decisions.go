package node

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/coordination/routing"
)

const (
	// decisionsKept bounds the decisions that "explain" can find.
	decisionsKept = 20000
	// scoresLogged bounds the candidates in a decision's line.
	scoresLogged = 6
)

// decision is one routing or placement decision.
type decision struct {
	RequestID string
	Tenant    string
	Service   string
	Kind      string
	Backend   string
	Candidate []routing.Score
	Wait      time.Duration
	Detail    string
}

// decisionLog writes one line a decision and keeps the newest for "explain".
type decisionLog struct {
	log   zerolog.Logger
	mutex sync.Mutex
	lines map[string][]string
	order []string
}

func newDecisionLog(log zerolog.Logger) *decisionLog {
	return &decisionLog{log: log, lines: map[string][]string{}}
}

// add records a decision.
func (d *decisionLog) add(made decision) {
	scores := formatScores(made.Candidate)
	d.log.Info().Str("event", "decision").Str("decision", made.Kind).Str("request", made.RequestID).
		Str("tenant", made.Tenant).Str("service", made.Service).Str("backend", made.Backend).
		Str("candidates", scores).Dur("queue_wait_ms", made.Wait).Str("why", made.Detail).Send()
	line := fmt.Sprintf("decision=%s tenant=%s service=%s backend=%s candidates=%q queue_wait=%v why=%q",
		made.Kind, made.Tenant, made.Service, made.Backend, scores, made.Wait.Round(time.Microsecond), made.Detail)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, known := d.lines[made.RequestID]; !known {
		d.order = append(d.order, made.RequestID)
	}
	d.lines[made.RequestID] = append(d.lines[made.RequestID], line)
	if len(d.order) > decisionsKept {
		delete(d.lines, d.order[0])
		d.order = d.order[1:]
	}
}

// formatScores lists candidates as backend:cost(cached blocks).
func formatScores(scores []routing.Score) string {
	var parts []string
	for _, score := range scores[:min(scoresLogged, len(scores))] {
		parts = append(parts, fmt.Sprintf("%s:%.1f(%d)", score.Backend, score.Cost, score.Cached))
	}
	if len(scores) > scoresLogged {
		parts = append(parts, fmt.Sprintf("+%d", len(scores)-scoresLogged))
	}
	return strings.Join(parts, " ")
}

// explainQuestion asks for the decisions about a request.
type explainQuestion struct {
	RequestID string `msgpack:"r"`
}

func (d *decisionLog) explain(requestID string) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return append([]string(nil), d.lines[requestID]...)
}

// answerQuestion asks for a settled answer that a node keeps.
type answerQuestion struct {
	RequestID string `msgpack:"r"`
}

// storedAnswer is a plain service's whole answer.
type storedAnswer struct {
	Found       bool   `msgpack:"f"`
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
}

// answerStore keeps the newest answers of keyed plain calls, for retries.
type answerStore struct {
	mutex   sync.Mutex
	maximum int64
	size    int64
	answers map[string]storedAnswer
	order   []string
}

func newAnswerStore(maximum int64) *answerStore {
	return &answerStore{maximum: maximum, answers: map[string]storedAnswer{}}
}

func (a *answerStore) put(requestID string, answer storedAnswer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if _, known := a.answers[requestID]; known || int64(len(answer.Body)) > a.maximum {
		return
	}
	answer.Found = true
	a.answers[requestID] = answer
	a.order = append(a.order, requestID)
	a.size += int64(len(answer.Body))
	for a.size > a.maximum {
		a.size -= int64(len(a.answers[a.order[0]].Body))
		delete(a.answers, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *answerStore) find(requestID string) storedAnswer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.answers[requestID]
}
