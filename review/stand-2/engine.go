package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	plainWork = 30 * time.Millisecond
	// eventTime is the time between two events of a stream.
	eventTime = 25 * time.Millisecond
	// streamEvents is the number of events of a stream.
	streamEvents = 20
	stride       = 3
)

// run is one request that an engine began to work on.
type run struct {
	at              time.Time
	id, engine, via string
	path            string
	// failed is set if the engine answered with a failure.
	failed bool
	tenant string
}

// standIn is an engine.
type standIn struct {
	fleet   *fleet
	id      string
	service string
	version string
	// failPath makes the engine fail every third request whose path begins with it, if it is set.
	failPath string
	// onFailPath counts these requests.
	onFailPath int
	address    string
	zone       string
	stall      *stallable
	server     *http.Server
	seq        atomic.Uint64
	state      atomic.Pointer[string]
	// stopped ends the heartbeats.
	stopped context.CancelFunc
	mutex   sync.Mutex
	runs    []run
}

// startEngine starts an engine at a place and sends its heartbeats.
func (f *fleet) startEngine(ctx context.Context, place int, service string) (*standIn, error) {
	return f.startVersion(ctx, place, service, "v1")
}

// startVersion starts an engine of a version.
func (f *fleet) startVersion(ctx context.Context, place int, service, version string) (*standIn, error) {
	started := &standIn{
		fleet: f, id: fmt.Sprintf("i-%04x%04x", place+1, time.Now().UnixNano()&0xffff), service: service, version: version,
		address: f.engineAddress(place), zone: f.zones[place%len(f.zones)].name,
	}
	started.setState("ready")
	listener, err := net.Listen("tcp", started.address)
	if err != nil {
		return nil, err
	}
	started.server = &http.Server{Handler: http.HandlerFunc(started.serve), IdleTimeout: f.engineIdle()}
	started.stall = &stallable{Listener: listener}
	go func() { _ = started.server.Serve(started.stall) }()
	beating, stop := context.WithCancel(ctx)
	started.stopped = stop
	go func() {
		for beating.Err() == nil {
			started.beat(beating)
			sleep(beating, heartbeatTime)
		}
	}()
	return started, nil
}

func (s *standIn) setState(state string) { s.state.Store(&state) }

// beat sends one heartbeat.
func (s *standIn) beat(ctx context.Context) int {
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": 64, "state": *s.state.Load(),
		"cold_left_ms": 0, "stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "seq": s.seq.Add(1),
	})
	status, _, node := s.fleet.callControl(ctx, http.MethodPut, "/ravenway/instances/"+s.id, body)
	if ctx.Err() == nil {
		s.fleet.record.linef("engine", "%s says %s: %s answers %d", s.id, *s.state.Load(), node, status)
	}
	return status
}

// leave says that the engine leaves, until that is acknowledged. It sends no heartbeats any more.
func (s *standIn) leave(ctx context.Context) error {
	s.stopped()
	for range 20 {
		status, _, node := s.fleet.callControl(ctx, http.MethodDelete, "/ravenway/instances/"+s.id, nil)
		s.fleet.record.linef("engine", "%s says that it leaves: %s answers %d", s.id, node, status)
		if status >= 200 && status < 300 {
			return nil
		}
	}
	return fmt.Errorf("nobody acknowledges that %s leaves", s.id)
}

// end ends the engine.
func (s *standIn) end() {
	s.stopped()
	_ = s.server.Close()
	s.fleet.record.linef("engine", "%s ends", s.id)
}

// takeFailure reports whether the engine fails a request. The caller holds the mutex.
func (s *standIn) takeFailure(path string) bool {
	if s.failPath == "" || !strings.HasPrefix(path, s.failPath) {
		return false
	}
	s.onFailPath++
	return s.onFailPath%3 == 0
}

// runsSince returns what the engine ran since a moment.
func (s *standIn) runsSince(moment time.Time) []run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var later []run
	for _, one := range s.runs {
		if one.at.After(moment) {
			later = append(later, one)
		}
	}
	return later
}

func (s *standIn) serve(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/healthz" {
		writer.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrivedAt, via := time.Now(), s.fleet.ownerOf(request.RemoteAddr)
	s.mutex.Lock()
	fails := s.takeFailure(request.URL.Path)
	s.runs = append(s.runs, run{failed: fails, path: request.URL.Path, at: arrivedAt, id: id, engine: s.id, via: via, tenant: request.Header.Get("X-Tenant")})
	s.mutex.Unlock()
	s.fleet.record.linef("run", "%s in %s runs %s %s, which came from %s", s.id, s.zone, id, request.URL.Path, via)
	writer.Header().Set("X-Server-Stamp", s.id+"."+id)
	if s.service == modelService {
		s.stream(writer, request)
		return
	}
	select {
	case <-time.After(plainWork):
	case <-request.Context().Done():
		return
	}
	body := strings.Repeat("x", plainBytes)
	if fails {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = writer.Write([]byte(body))
}

// plainBytes is the length of a plain answer, the mean of the site sheets.
const plainBytes = 800

// stream sends the events of a stream that the client lacks.
func (s *standIn) stream(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(writer)
	for number := last + 1; number <= streamEvents; number++ {
		select {
		case <-time.After(eventTime):
		case <-request.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, strings.Repeat("t", 12)); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
}
