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
	// Body is the request's body.
	Body string
	// Arrived and Ended are times since the fleet's start; Ended is 0 while the
	// run goes on.
	Arrived, Ended time.Duration
}

// Truth is what the engines saw and the callers got.
type Truth struct {
	began time.Time
	mutex sync.Mutex
	runs  []*Run
	// arrivals are when requests came to each instance, also those that it turned away.
	arrivals map[string][]time.Duration
	// pauses are what instances asked nodes for.
	pauses map[senderAt]*pausecheck.Record
	// received are the tokens that the callers with each key got: of a request of
	// which anything came, the prompt once and each event.
	received map[string]uint64
}

// senderAt is a node that sends requests to an instance.
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
	t.pausesOf(instance, node).AddArrival(now)
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
	t.pausesOf(instance, node).AddPause(time.Since(t.began), lasting)
}

func (t *Truth) leave(instance, node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.pausesOf(instance, node).AddShutdown(time.Since(t.began))
}

// AfterLeaving is what an instance got from a node after it had told it that it leaves, and
// whether it did.
func (t *Truth) AfterLeaving(instance, node string) (late int, wasTold bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.pausesOf(instance, node).AfterShutdown()
}

// InPause is the most that an instance got from a node in a pause that it had asked it for,
// and how often it asked for one.
func (t *Truth) InPause(instance, node string) (most, pauses int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	record := t.pausesOf(instance, node)
	return record.MaximumRequests(), record.PauseCount()
}

// Arrivals returns when requests came to an instance, in order.
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

// Received returns the tokens that the callers with a key got in all.
func (t *Truth) Received(key string) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.received[key]
}

// Engine is a stand-in for one instance of a service.
type Engine struct {
	registry.Instance
	truth *Truth
	mutex sync.Mutex
	// Work is the time of a whole answer, or between events of a stream.
	Work time.Duration
	// Events is the number of events of a stream; 0 makes whole answers.
	Events int
	// BreakAfter breaks a stream off behind that many events; 0 means never.
	BreakAfter int
	// Status is the answer's status; 0 means 200.
	Status int
	// TurnAway makes the engine run nothing.
	TurnAway bool
	// EndsOn is the body of requests that end the engine EndsAfter they began to run,
	// with all that runs beside them; "" means that there are none.
	EndsOn    string
	EndsAfter time.Duration
	// RateLimit is the requests a second that the engine names in its answers; "" means
	// that it names none.
	RateLimit string
	// BareRefusals is the part of its requests that the engine turns away with an answer
	// that says nothing else, a limit included.
	BareRefusals float64
	// Pause is what the engine asks a node for whose request it turns away; 0 if it doesn't ask.
	Pause time.Duration
	// Leaves has the engine say in all its answers that it leaves; its heartbeats don't say so.
	Leaves bool
	// end ends the engine, hasEnded tells that it did.
	end      func()
	hasEnded atomic.Bool
	// isSilent engines send no heartbeats.
	isSilent bool
}

// Set changes the engine's behaviour while it serves.
func (e *Engine) Set(change func(*Engine)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(e)
}

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

// endBy ends the engine by a request that it has begun. A stream's answer has begun
// by then.
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
