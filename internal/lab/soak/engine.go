package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"

	"github.com/ravenway/ravenway/internal/lab/badresponse"
	"github.com/ravenway/ravenway/internal/lab/standin"
)

const (
	// eventTokens is the number of tokens in an event of a stream.
	eventTokens = 2
	// streamEvents is the length of each stream.
	streamEvents  = 8
	eventInterval = 40 * time.Millisecond
	plainDuration = 15 * time.Millisecond
	// One in closeDelimitedShare responses has neither a length nor chunks and ends with its connection.
	closeDelimitedShare = 4
)

// GroundTruth records what the engines really ran and what the callers received, independently of
// the system under test.
type GroundTruth struct {
	mutex sync.Mutex
	// runs counts the runs of each request, by id.
	runs map[string]int
	// plainRuns counts the runs of plain calls, which are those without tokens, by the version of the
	// engine.
	plainRuns map[string]int
	// zoneRuns counts the runs by the zone of the engine.
	zoneRuns map[string]int
	// tokens counts what the callers of each tenant received: for a stream of which at least one
	// event arrived, the prompt once and each event.
	tokens map[string]uint64
	// poisonCrashes counts the engines that each poison request crashed, by the kind that its body
	// names, and those that each crashing part of prompts crashed, by its id. Both crash each engine that
	// starts a request with them.
	poisonCrashes map[string]int
	// senders maps each request to the entry node that sends it.
	senders senders
}

func newTruth() *GroundTruth {
	return &GroundTruth{runs: map[string]int{}, plainRuns: map[string]int{}, zoneRuns: map[string]int{}, tokens: map[string]uint64{}, poisonCrashes: map[string]int{}, senders: senders{machines: map[string]*machine{}}}
}

func (t *GroundTruth) recordPoisonCrash(request string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.poisonCrashes[request]++
}

// PoisonCrashes returns how many engines a request has crashed.
func (t *GroundTruth) PoisonCrashes(request string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.poisonCrashes[request]
}

func (t *GroundTruth) recordRun(request standin.EngineRequest, zone string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs[request.ID]++
	t.zoneRuns[zone]++
}

// ZoneRuns returns the number of runs on the engines of a zone.
func (t *GroundTruth) ZoneRuns(zone string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.zoneRuns[zone]
}

func (t *GroundTruth) recordDelivery(tenant string, tokens uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.tokens[tenant] += tokens
}

func (t *GroundTruth) recordPlainRun(version string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.plainRuns[version]++
}

// PlainRuns returns the number of runs of plain calls on engines of a version; "" means all
// versions.
func (t *GroundTruth) PlainRuns(version string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	total := 0
	for of, count := range t.plainRuns {
		if version == "" || of == version {
			total += count
		}
	}
	return total
}

// Runs returns how often a request ran.
func (t *GroundTruth) Runs(request string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.runs[request]
}

// DeliveredTokens returns the number of tokens that a tenant's callers received.
func (t *GroundTruth) DeliveredTokens(tenant string) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.tokens[tenant]
}

// engine is one incarnation of an engine stand-in.
type engine struct {
	registry.Instance
	wire   standin.Wire
	truth  *GroundTruth
	server *http.Server
	// hasCrashed is set before the server is closed.
	hasCrashed atomic.Bool
	mutex      sync.Mutex
	state      registry.State
	// failsPlainCalls makes the engine fail each plain call.
	failsPlainCalls bool
	// limit holds the rate limits that the engine named, and the requests that it received.
	limit limitRecord
	// brittle holds the room of the engine and its rejections for want of room.
	brittle brittleRecord
	// backoff holds the pauses that the engine requested, and the requests that it received.
	backoff backoffRecord
	// crashByPoison crashes the engine because of a request, and names the cause.
	crashByPoison func(ended *engine, cause string)
}

// startEngine starts an engine that listens on the instance's address. If failsPlainCalls is set,
// it fails each plain call.
func startEngine(instance registry.Instance, wire standin.Wire, truth *GroundTruth, failsPlainCalls bool, crashByPoison func(*engine, string)) (*engine, error) {
	listener, err := net.Listen("tcp", instance.Address)
	if err != nil {
		return nil, fmt.Errorf("starting engine %s: %w", instance.ID, err)
	}
	made := &engine{Instance: instance, wire: wire, truth: truth, state: registry.Ready, failsPlainCalls: failsPlainCalls, crashByPoison: crashByPoison, limit: limitRecord{startedAt: time.Now()}}
	made.server = &http.Server{Handler: made, ConnState: made.closeAfterCrash}
	go func() { _ = made.server.Serve(listener) }()
	return made, nil
}

// closeAfterCrash closes a connection that the server accepted while it was being closed, and would keep: no connection
// outlasts a process.
func (e *engine) closeAfterCrash(connection net.Conn, state http.ConnState) {
	if state == http.StateNew && e.hasCrashed.Load() {
		_ = connection.Close()
	}
}

// crash ends the engine without a drain.
func (e *engine) crash() {
	e.endLimit()
	e.hasCrashed.Store(true)
	_ = e.server.Close()
}

func (e *engine) setState(state registry.State) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.state = state
}

// heartbeat returns the engine's next heartbeat.
func (e *engine) heartbeat() registry.Instance {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.Sequence++
	beat := e.Instance
	beat.State = e.state
	return beat
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	request := e.wire.ReadRequest(incoming.Header)
	isHere := request.Instance == e.ID
	for name, values := range e.wire.ResponseHeader(request.ID, e.ID, !isHere) {
		writer.Header()[name] = values
	}
	if kind, isAsked := badresponse.IsAsked(incoming); isAsked && isHere {
		badresponse.Write(writer, kind)
		return
	}
	body, _ := io.ReadAll(incoming.Body)
	if !isHere {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.recordAndReject(writer.Header(), request.ID) {
		e.recordArrival(writer.Header(), true)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !e.enter(writer.Header()) {
		e.recordArrival(writer.Header(), true)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	isFailure := e.failsPlainCalls && request.TokensIn == 0
	e.recordArrival(writer.Header(), isFailure)
	e.truth.recordRun(request, e.Zone)
	if rand.IntN(closeDelimitedShare) == 0 {
		// net/http then sends neither a length nor chunks.
		writer.Header().Set("Transfer-Encoding", "identity")
	}
	if cause := crashCause(string(body), request); cause != "" {
		writer.Header().Set("Content-Type", "text/event-stream")
		writer.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(minimumPoisonRun + rand.N(maximumPoisonRun-minimumPoisonRun))
		e.crashByPoison(e, cause)
		panic(http.ErrAbortHandler)
	}
	if request.TokensIn > 0 {
		e.stream(writer, incoming, request)
		return
	}
	e.truth.recordPlainRun(e.Version)
	respondBadly(writer, incoming, string(body))
	time.Sleep(plainDuration)
	if isFailure {
		writer.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprint(writer, plainBody(request.ID))
}

// plainBody is the expected response to a plain call.
func plainBody(request string) string { return "answer to " + request }

// eventText is the expected event of a stream at a position, counted from 1. It names the version, so
// that a stream that continues on another one shows.
func eventText(request, version string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%s/%d\n\n", number, version, request, number)
}

func (e *engine) stream(writer http.ResponseWriter, incoming *http.Request, request standin.EngineRequest) {
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := request.LastEvent + 1; number <= streamEvents; number++ {
		select {
		case <-time.After(eventInterval):
		case <-incoming.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(writer, eventText(request.ID, e.Version, number)); err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(writer).Flush()
	}
}
