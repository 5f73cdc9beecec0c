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
	// decisionsKept is the number of requests whose decisions "explain" can find.
	decisionsKept = 20000
	// scoresLogged is the maximum number of candidates in the log line of a decision.
	scoresLogged = 6
)

// decision is one routing decision about a request.
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

// decisionLog writes one log line per decision and keeps the newest decisions for "explain".
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

// formatScores formats candidates as "backend:cost(cached blocks)"; "+N" stands for N more.
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

// explainQuestion requests the decisions that a node made about a request.
type explainQuestion struct {
	RequestID string `msgpack:"r"`
}

func (d *decisionLog) explain(requestID string) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return append([]string(nil), d.lines[requestID]...)
}

// answerQuestion requests the response to a settled request that a node has stored.
type answerQuestion struct {
	RequestID string `msgpack:"r"`
}

// storedAnswer is the whole response of a plain service. Found is false if there is none.
type storedAnswer struct {
	Found       bool   `msgpack:"f"`
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
}

// answerStore keeps the newest responses of plain services to requests with an idempotency key, for
// retries. maximum and size are in bytes of response bodies.
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
