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
	"github.com/ravenway/ravenway/internal/lab/brittlecheck"
	"github.com/ravenway/ravenway/internal/lab/pausecheck"
	"github.com/ravenway/ravenway/internal/lab/wire"
)

// Run is one run of a request at an engine.
type Run struct {
	Request  string
	Instance string
	Tenant   string
	Body     string
	// Parts are the ids of the parts of the prompt.
	Parts []string
	// Arrived and Ended are times since the fleet was made; Ended is 0 while the run is in progress.
	Arrived, Ended time.Duration
}

// GroundTruth records what the engines ran and what the callers received, independently of the nodes under
// test.
type GroundTruth struct {
	startedAt time.Time
	mutex     sync.Mutex
	runs      []*Run
	// arrivals are the times at which requests arrived at each instance, rejected ones included.
	arrivals map[string][]time.Duration
	// pauses records, for each instance and each node, the pauses that the instance requested from the
	// node, its signals that it leaves, and the requests that it got from the node.
	pauses map[instanceAndNode]*pausecheck.Record
	// received is the number of tokens that the callers with each key received: for each response of
	// which anything arrived, the prompt's tokens once and one token per event.
	received map[string]uint64
}

// instanceAndNode identifies an instance and a node that sends requests to it.
type instanceAndNode struct{ instance, node string }

func (t *GroundTruth) beginRun(request, instance, tenant, body string, parts []string) *Run {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	run := &Run{Request: request, Instance: instance, Tenant: tenant, Body: body, Parts: parts, Arrived: time.Since(t.startedAt)}
	t.runs = append(t.runs, run)
	return run
}

func (t *GroundTruth) recordArrival(instance, node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Since(t.startedAt)
	t.arrivals[instance] = append(t.arrivals[instance], now)
	t.pauseRecord(instance, node).AddArrival(now)
}

func (t *GroundTruth) pauseRecord(instance, node string) *pausecheck.Record {
	key := instanceAndNode{instance: instance, node: node}
	if t.pauses[key] == nil {
		t.pauses[key] = &pausecheck.Record{}
	}
	return t.pauses[key]
}

func (t *GroundTruth) recordPause(instance, node string, duration time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.pauseRecord(instance, node).AddPause(time.Since(t.startedAt), duration)
}

func (t *GroundTruth) recordLeaving(instance, node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.pauseRecord(instance, node).AddShutdown(time.Since(t.startedAt))
}

// RequestsAfterLeaving returns the number of requests that an instance got from a node later than
// pausecheck.DrainTime after a response had signalled to the node that the instance leaves. wasSignalled
// reports whether there was such a response.
func (t *GroundTruth) RequestsAfterLeaving(instance, node string) (late int, wasSignalled bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.pauseRecord(instance, node).AfterShutdown()
}

// MaximumInPause returns the maximum number of requests that a node sent to an instance during any single
// pause, and the number of pauses that the instance requested from the node.
func (t *GroundTruth) MaximumInPause(instance, node string) (maximum, pauses int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	record := t.pauseRecord(instance, node)
	return record.MaximumRequests(), record.PauseCount()
}

// Arrivals returns the times at which requests arrived at an instance, in order.
func (t *GroundTruth) Arrivals(instance string) []time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.arrivals[instance])
}

func (t *GroundTruth) recordTokens(key string, tokens uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.received[key] += tokens
}

func (t *GroundTruth) endRun(run *Run) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	run.Ended = time.Since(t.startedAt)
}

// Runs returns a copy of all runs.
func (t *GroundTruth) Runs() []Run {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	runs := make([]Run, 0, len(t.runs))
	for _, run := range t.runs {
		runs = append(runs, *run)
	}
	return runs
}

// ReceivedTokens returns the total number of tokens that the callers with a key received.
func (t *GroundTruth) ReceivedTokens(key string) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.received[key]
}

// Engine simulates one instance of a service.
type Engine struct {
	registry.Instance
	truth *GroundTruth
	mutex sync.Mutex
	// WorkTime is the time that a whole response takes, or each event of a stream.
	WorkTime time.Duration
	// Events is the number of events of a stream; 0 makes whole responses.
	Events int
	// BreakAfter aborts a stream after that many events; 0 means never.
	BreakAfter int
	// Status is the status of whole responses; 0 means 200.
	Status int
	// RejectsAll makes the engine reject all requests.
	RejectsAll bool
	// CrashesOn is the body of requests that crash the engine and so break all runs in progress; ""
	// means that there are none. CrashesAfter is the time from the start of such a run to the crash.
	CrashesOn    string
	CrashesAfter time.Duration
	// CrashesOnParts are parts of prompts that crash the engine as CrashesOn does.
	CrashesOnParts []string
	// RateLimit is the rate limit in requests per second that the engine's responses name; "" means
	// that they name none.
	RateLimit string
	// BareRejections is the fraction of its requests that the engine rejects with a response that
	// carries no other signal, not even the rate limit.
	BareRejections float64
	// Pause is the pause that the engine requests from a node whose request it rejects; 0 means none.
	Pause time.Duration
	// IsLeaving makes all responses of the engine signal that it leaves; its heartbeats don't report it.
	IsLeaving bool
	// Room bounds the requests that run or wait at the engine, which rejects further ones; 0 means no
	// bound. Of those with room, Slots run at a time.
	Room int
	// Brittle is the number of rejections for want of room that the engine survives in a second, as its
	// responses name it; "" means that they name none and that it survives all.
	Brittle string
	// occupied is the number of requests that run or wait, running that of those that run.
	occupied, running int
	rejections        brittlecheck.Rejections
	// crash crashes the engine; hasCrashed reports that it has crashed.
	crash      func()
	hasCrashed atomic.Bool
	// sendsNoHeartbeats is set once the heartbeats are stopped; the engine continues to serve. The
	// fleet's enginesMutex guards it.
	sendsNoHeartbeats bool
}

// Update changes the engine's behaviour while it serves requests.
func (e *Engine) Update(change func(*Engine)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(e)
}

// behaviour is a copy of an engine's settings, taken for one request.
type behaviour struct {
	workTime           time.Duration
	events, breakAfter int
	status             int
	rejectsAll         bool
	crashesOn          string
	crashesAfter       time.Duration
	crashesOnParts     []string
	rateLimit          string
	bareRejections     float64
	pause              time.Duration
	isLeaving          bool
	brittle            string
}

func (e *Engine) behaviour() behaviour {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return behaviour{
		workTime: e.WorkTime, events: e.Events, breakAfter: e.BreakAfter, status: e.Status, rejectsAll: e.RejectsAll,
		crashesOn: e.CrashesOn, crashesAfter: e.CrashesAfter, crashesOnParts: e.CrashesOnParts, rateLimit: e.RateLimit, bareRejections: e.BareRejections,
		pause: e.Pause, isLeaving: e.IsLeaving, brittle: e.Brittle,
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
	e.truth.recordArrival(e.ID, node)
	current := e.behaviour()
	isBare := rand.Float64() < current.bareRejections
	if current.rateLimit != "" && !isBare {
		writer.Header().Set(wire.HeaderRateLimit, current.rateLimit)
	}
	if current.isLeaving {
		writer.Header().Set(wire.HeaderLeaving, "1")
		e.truth.recordLeaving(e.ID, node)
	}
	if current.brittle != "" {
		writer.Header().Set(wire.HeaderBrittle, current.brittle)
	}
	if current.rejectsAll || isBare {
		writer.Header().Set(wire.HeaderNotRun, "1")
		if current.pause > 0 && !isBare {
			writer.Header().Set(wire.HeaderPause, strconv.FormatFloat(current.pause.Seconds(), 'f', -1, 64))
			e.truth.recordPause(e.ID, node, current.pause)
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !e.enter() {
		e.rejectForWantOfRoom(writer)
		return
	}
	defer e.leave()
	run := e.truth.beginRun(id, e.ID, request.Header.Get(wire.HeaderTenant), string(body), wire.Parts(request.Header))
	defer e.truth.endRun(run)
	if current.crashesOn != "" && current.crashesOn == string(body) || slices.ContainsFunc(run.Parts, func(part string) bool { return slices.Contains(current.crashesOnParts, part) }) {
		e.crashDuring(writer, current)
	}
	if current.events == 0 {
		e.respondWhole(writer, request, current)
		return
	}
	e.respondStream(writer, request, run, current)
}

// crashDuring crashes the engine while it runs a request. The head of a stream's response has been sent by
// then.
func (e *Engine) crashDuring(writer http.ResponseWriter, current behaviour) {
	if current.events > 0 {
		writer.Header().Set("Content-Type", "text/event-stream")
		writer.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(writer).Flush()
	}
	time.Sleep(current.crashesAfter)
	e.crash()
	panic(http.ErrAbortHandler)
}

func (e *Engine) respondWhole(writer http.ResponseWriter, request *http.Request, current behaviour) {
	select {
	case <-time.After(current.workTime):
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if current.status != 0 {
		writer.WriteHeader(current.status)
	}
	_, _ = fmt.Fprintf(writer, "%s by %s", request.Header.Get(wire.HeaderRequest), e.ID)
}

func (e *Engine) respondStream(writer http.ResponseWriter, request *http.Request, run *Run, current behaviour) {
	first := 1
	if after, err := strconv.Atoi(request.Header.Get(wire.HeaderAfter)); err == nil {
		first = after + 1
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := first; number <= current.events; number++ {
		select {
		case <-time.After(current.workTime):
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if current.breakAfter > 0 && number > current.breakAfter {
			_, _ = io.WriteString(writer, "id: ")
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s%s-%d\n\n", number, versionPrefix(e.Version), run.Request, number); err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(writer).Flush()
	}
}

// versionPrefix begins the data of each event of an engine that runs a version, so that a stream that
// continues on another version shows.
func versionPrefix(version string) string {
	if version == "" {
		return ""
	}
	return version + "/"
}
