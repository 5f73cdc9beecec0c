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
	// maximumExplainedRequests is the number of requests whose decisions "explain" can find.
	maximumExplainedRequests = 20000
	// maximumLoggedScores is the maximum number of candidates in the log line of a decision.
	maximumLoggedScores = 6
)

// decision is one routing decision about a request.
type decision struct {
	RequestID string
	Tenant    string
	Service   string
	// Kind is what was decided, such as "dispatch", "join" or "give up".
	Kind    string
	Backend string
	// Candidates holds the scores of the back ends that were considered.
	Candidates []routing.Score
	// Wait is the time that the request was queued.
	Wait time.Duration
	// Detail explains a decision other than a dispatch.
	Detail string
}

// decisionLog writes one log line per decision and keeps the newest decisions for "explain".
type decisionLog struct {
	log   zerolog.Logger
	mutex sync.Mutex
	// lines holds the decisions by request id, order the request ids from oldest to newest.
	lines map[string][]string
	order []string
}

func newDecisionLog(log zerolog.Logger) *decisionLog {
	return &decisionLog{log: log, lines: map[string][]string{}}
}

// add records a decision.
func (d *decisionLog) add(record decision) {
	scores := formatScores(record.Candidates)
	d.log.Info().Str("event", "decision").Str("decision", record.Kind).Str("request", record.RequestID).
		Str("tenant", record.Tenant).Str("service", record.Service).Str("backend", record.Backend).
		Str("candidates", scores).Dur("queue_wait_ms", record.Wait).Str("why", record.Detail).Send()
	line := fmt.Sprintf("decision=%s tenant=%s service=%s backend=%s candidates=%q queue_wait=%v why=%q",
		record.Kind, record.Tenant, record.Service, record.Backend, scores, record.Wait.Round(time.Microsecond), record.Detail)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, known := d.lines[record.RequestID]; !known {
		d.order = append(d.order, record.RequestID)
	}
	d.lines[record.RequestID] = append(d.lines[record.RequestID], line)
	if len(d.order) > maximumExplainedRequests {
		delete(d.lines, d.order[0])
		d.order = d.order[1:]
	}
}

// formatScores formats candidates as "backend:cost(cached blocks)"; "+N" stands for N more.
func formatScores(scores []routing.Score) string {
	var parts []string
	for _, score := range scores[:min(maximumLoggedScores, len(scores))] {
		parts = append(parts, fmt.Sprintf("%s:%.1f(%d)", score.Backend, score.Cost, score.Cached))
	}
	if len(scores) > maximumLoggedScores {
		parts = append(parts, fmt.Sprintf("+%d", len(scores)-maximumLoggedScores))
	}
	return strings.Join(parts, " ")
}

// explainRequest requests the decisions that a node made about a request.
type explainRequest struct {
	RequestID string `msgpack:"r"`
}

func (d *decisionLog) explain(requestID string) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return append([]string(nil), d.lines[requestID]...)
}

// storedResponseRequest requests the response to a settled request that a node has stored.
type storedResponseRequest struct {
	RequestID string `msgpack:"r"`
}

// storedResponse is the whole response of a plain service. Found is false if there is none.
type storedResponse struct {
	Found       bool   `msgpack:"f"`
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
}

// responseStore keeps the newest responses of plain services to requests with an idempotency key,
// for retries. maximum and size are in bytes of response bodies; order holds the request ids from
// oldest to newest.
type responseStore struct {
	mutex     sync.Mutex
	maximum   int64
	size      int64
	responses map[string]storedResponse
	order     []string
}

func newResponseStore(maximum int64) *responseStore {
	return &responseStore{maximum: maximum, responses: map[string]storedResponse{}}
}

func (s *responseStore) put(requestID string, response storedResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.responses[requestID]; known || int64(len(response.Body)) > s.maximum {
		return
	}
	response.Found = true
	s.responses[requestID] = response
	s.order = append(s.order, requestID)
	s.size += int64(len(response.Body))
	for s.size > s.maximum {
		s.size -= int64(len(s.responses[s.order[0]].Body))
		delete(s.responses, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *responseStore) find(requestID string) storedResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.responses[requestID]
}
