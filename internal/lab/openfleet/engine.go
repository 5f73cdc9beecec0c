package openfleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/lab/pausecheck"
	"github.com/ravenway/ravenway/internal/lab/wire"
)

// Run is one run of a request at an engine.
type Run struct {
	Request  string
	Instance string
	Tenant   string
	Body     string
	// Arrived and Ended are times since the fleet was made; Ended is 0 while the run is in progress.
	Arrived, Ended time.Duration
}

// Truth records what the engines ran and what the callers received, independently of the nodes under
// test.
type Truth struct {
	began time.Time
	mutex sync.Mutex
	runs  []*Run
	// arrivals are the times at which requests arrived at each instance, rejected ones included.
	arrivals map[string][]time.Duration
	// pauses are what instances requested from nodes: pauses, and no more requests once they leave.
	pauses map[senderAt]*pausecheck.Record
	// received are the tokens that the callers with each key received. A request of whose response
	// anything arrived counts its prompt once, and each event.
	received map[string]uint64
}

// senderAt identifies an instance and a node that sends requests to it.
type senderAt struct{ instance, node string }

func (t *Truth) begin(request, instance, tenant, body string) *Run {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	run := &Run{Request: request, Instance: instance, Tenant: tenant, Body: body, Arrived: time.Since(t.began)}
	t.runs = append(t.runs, run)
	return run
}

func (t *Truth) arrive(instance, node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Since(t.began)
	t.arrivals[instance] = append(t.arrivals[instance], now)
	t.pausesOf(instance, node).Arrive(now)
}

func (t *Truth) pausesOf(instance, node string) *pausecheck.Record {
	of := senderAt{instance: instance, node: node}
	if t.pauses[of] == nil {
		t.pauses[of] = &pausecheck.Record{}
	}
	return t.pauses[of]
}

func (t *Truth) askForPause(instance, node string, lasting time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.pausesOf(instance, node).Ask(time.Since(t.began), lasting)
}

func (t *Truth) leave(instance, node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.pausesOf(instance, node).Leave(time.Since(t.began))
}

// AfterLeaving returns the number of requests that an instance got from a node after a response had
// told the node that the instance leaves, and reports whether a response did.
func (t *Truth) AfterLeaving(instance, node string) (late int, wasTold bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.pausesOf(instance, node).AfterLeaving()
}

// InPause returns the maximum number of requests that an instance got from a node in a pause that it
// had requested from it, and the number of pauses that it requested.
func (t *Truth) InPause(instance, node string) (most, pauses int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	record := t.pausesOf(instance, node)
	return record.Most(), record.Pauses()
}

// Arrivals returns the times at which requests arrived at an instance, in order.
func (t *Truth) Arrivals(instance string) []time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.arrivals[instance])
}

func (t *Truth) receive(key string, tokens uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.received[key] += tokens
}

func (t *Truth) end(run *Run) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	run.Ended = time.Since(t.began)
}

// Runs returns a copy of all runs.
func (t *Truth) Runs() []Run {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	runs := make([]Run, 0, len(t.runs))
	for _, run := range t.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Received returns the total number of tokens that the callers with a key received.
func (t *Truth) Received(key string) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.received[key]
}

// Engine simulates one instance of a service.
type Engine struct {
	registry.Instance
	truth *Truth
	mutex sync.Mutex
	// Work is the time that a whole response takes, or each event of a stream.
	Work time.Duration
	// Events is the number of events of a stream; 0 makes whole responses.
	Events int
	// BreakAfter aborts a stream after that many events; 0 means never.
	BreakAfter int
	// Status is the status of whole responses; 0 means 200.
	Status int
	// TurnAway makes the engine reject all requests.
	TurnAway bool
	// EndsOn is the body of requests that crash the engine, with all runs in progress, EndsAfter
	// they began to run; "" means that there are none.
	EndsOn    string
	EndsAfter time.Duration
	// RateLimit is the rate limit in requests per second that the engine's responses name; "" means
	// that they name none.
	RateLimit string
	// BareRefusals is the fraction of its requests that the engine rejects with a response that
	// carries no other signal, not even the rate limit.
	BareRefusals float64
	// Pause is the pause that the engine requests from a node whose request it rejects; 0 means none.
	Pause time.Duration
	// Leaves makes all responses of the engine signal that it leaves; its heartbeats don't report it.
	Leaves bool
	// end crashes the engine; hasEnded reports that it has crashed.
	end      func()
	hasEnded atomic.Bool
	// isSilent engines send no heartbeats.
	isSilent bool
}

// Set changes the engine's behaviour while it serves requests.
func (e *Engine) Set(change func(*Engine)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(e)
}

// behaviour is a copy of an engine's settings, taken for one request.
type behaviour struct {
	work               time.Duration
	events, breakAfter int
	status             int
	turnAway           bool
	endsOn             string
	endsAfter          time.Duration
	rateLimit          string
	bareRefusals       float64
	pause              time.Duration
	leaves             bool
}

func (e *Engine) behaviour() behaviour {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return behaviour{
		work: e.Work, events: e.Events, breakAfter: e.BreakAfter, status: e.Status, turnAway: e.TurnAway,
		endsOn: e.EndsOn, endsAfter: e.EndsAfter, rateLimit: e.RateLimit, bareRefusals: e.BareRefusals,
		pause: e.Pause, leaves: e.Leaves,
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	id := request.Header.Get(wire.HeaderRequest)
	writer.Header().Set(wire.HeaderRequest, id)
	if request.Header.Get(wire.HeaderInstance) != e.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	node := request.RemoteAddr
	e.truth.arrive(e.ID, node)
	how := e.behaviour()
	isBare := rand.Float64() < how.bareRefusals
	if how.rateLimit != "" && !isBare {
		writer.Header().Set(wire.HeaderRateLimit, how.rateLimit)
	}
	if how.leaves {
		writer.Header().Set(wire.HeaderLeaving, "1")
		e.truth.leave(e.ID, node)
	}
	if how.turnAway || isBare {
		writer.Header().Set(wire.HeaderNotRun, "1")
		if how.pause > 0 && !isBare {
			writer.Header().Set(wire.HeaderPause, strconv.FormatFloat(how.pause.Seconds(), 'f', -1, 64))
			e.truth.askForPause(e.ID, node, how.pause)
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := e.truth.begin(id, e.ID, request.Header.Get(wire.HeaderTenant), string(body))
	defer e.truth.end(run)
	if how.endsOn != "" && how.endsOn == string(body) {
		e.endBy(writer, how)
	}
	if how.events == 0 {
		e.answerWhole(writer, request, how)
		return
	}
	e.answerStream(writer, request, run, how)
}

// endBy crashes the engine while it runs a request. The head of a stream's response has been sent by
// then.
func (e *Engine) endBy(writer http.ResponseWriter, how behaviour) {
	if how.events > 0 {
		writer.Header().Set("Content-Type", "text/event-stream")
		writer.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(writer).Flush()
	}
	time.Sleep(how.endsAfter)
	e.end()
	panic(http.ErrAbortHandler)
}

func (e *Engine) answerWhole(writer http.ResponseWriter, request *http.Request, how behaviour) {
	select {
	case <-time.After(how.work):
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if how.status != 0 {
		writer.WriteHeader(how.status)
	}
	_, _ = fmt.Fprintf(writer, "%s by %s", request.Header.Get(wire.HeaderRequest), e.ID)
}

func (e *Engine) answerStream(writer http.ResponseWriter, request *http.Request, run *Run, how behaviour) {
	first := 1
	if after, err := strconv.Atoi(request.Header.Get(wire.HeaderAfter)); err == nil {
		first = after + 1
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := first; number <= how.events; number++ {
		select {
		case <-time.After(how.work):
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if how.breakAfter > 0 && number > how.breakAfter {
			_, _ = io.WriteString(writer, "id: ")
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s-%d\n\n", number, run.Request, number); err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(writer).Flush()
	}
}
