package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a plain engine: it registers itself, and answers each request after its work.
type engine struct {
	deployment  *deployment
	id, service string
	zone        string
	address     string
	// work is how long a request takes, in nanoseconds.
	work atomic.Int64
	// hangsInTwenty of twenty requests are never answered; begun counts the requests.
	hangsInTwenty, begun atomic.Int64
	server               *http.Server
	sequence             atomic.Uint64
	stop                 context.CancelFunc

	mutex sync.Mutex
	runs  map[string]int
}

const heartbeatInterval = 1200 * time.Millisecond

// startEngine starts an engine on a port of its own and its heartbeats.
func (d *deployment) startEngine(id, service, zone string, work time.Duration) (*engine, error) {
	listener, err := net.Listen("tcp", d.network+".200:0")
	if err != nil {
		return nil, err
	}
	started := &engine{deployment: d, id: id, service: service, zone: zone, address: listener.Addr().String(), runs: map[string]int{}}
	started.work.Store(int64(work))
	started.server = &http.Server{Handler: started, ReadHeaderTimeout: time.Minute}
	go func() { _ = started.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	started.stop = cancel
	go started.beat(ctx)
	return started, nil
}

// arrived returns the number of runs that began.
func (e *engine) arrived() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.runs)
}

func (e *engine) close() {
	e.stop()
	_ = e.server.Close()
}

func (e *engine) beat(ctx context.Context) {
	cores := e.deployment.cores()
	address := ""
	for number := 0; ctx.Err() == nil; {
		if address == "" {
			address = cores[number%len(cores)].address(controlPort)
		}
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready",
			"cold_left_ms": 0, "seq": e.sequence.Add(1),
		})
		status, answer, err := call(ctx, http.MethodPut, address, "/ravenway/instances/"+e.id, body)
		wait := heartbeatInterval
		var acknowledged struct {
			Address string `json:"beat_addr"`
		}
		switch {
		case err != nil || status/100 != 2:
			number++
			address, wait = "", 100*time.Millisecond
		case json.Unmarshal(answer, &acknowledged) == nil && acknowledged.Address != "":
			address = acknowledged.Address
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// ServeHTTP runs a request.
func (e *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == healthPath {
		writer.Header().Set("X-Instance-Id", e.id)
		return
	}
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	size, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	e.mutex.Lock()
	e.runs[id]++
	e.mutex.Unlock()
	e.deployment.record.event("engine %s runs %s of %d bytes", e.id, id, size)
	writer.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s", e.id, id))
	work := time.Duration(e.work.Load())
	if hangs := e.hangsInTwenty.Load(); e.begun.Add(1)*hangs%20 < hangs {
		e.deployment.record.event("engine %s hangs on %s", e.id, id)
		<-request.Context().Done()
		return
	}
	// An engine stops work at the deadline that it is handed.
	isLate := false
	if left, err := strconv.ParseInt(request.Header.Get("X-Deadline-Ms"), 10, 64); err == nil {
		deadline := time.Duration(left) * time.Millisecond
		isLate, work = work > deadline, min(work, deadline)
	}
	select {
	case <-request.Context().Done():
		return
	case <-time.After(work):
	}
	if isLate {
		writer.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = fmt.Fprintf(writer, "done %s", id)
}
