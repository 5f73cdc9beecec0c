package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/ravenway/ravenway/internal/lab/badresponse"
	"github.com/ravenway/ravenway/internal/protocol/engine"
)

// maximumRequestBytes is the maximum request body that a stand-in reads.
const maximumRequestBytes = 32 << 20

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(engine.PathGenerate, e.handleGenerate).Methods(http.MethodPost)
	router.HandleFunc(engine.PathRequests+"{id}/stream", e.handleResume).Methods(http.MethodGet)
	router.HandleFunc(engine.PathRequests+"{id}", e.handleStatus).Methods(http.MethodGet)
	router.HandleFunc(engine.PathRequests+"{id}", e.handleCancel).Methods(http.MethodDelete)
	router.HandleFunc(engine.PathLoad, e.handleLoad).Methods(http.MethodGet)
	router.HandleFunc(engine.PathCacheEvents, e.handleCacheEvents).Methods(http.MethodGet)
	router.HandleFunc(engine.PathOrders, e.handleOrder).Methods(http.MethodPost)
	router.HandleFunc(engine.PathOrders, e.handleOrderState).Methods(http.MethodGet)
	router.HandleFunc(engine.PathCount, e.handleCount).Methods(http.MethodPost)
	router.HandleFunc(engine.PathKVExport, e.handleKVExport).Methods(http.MethodPost)
	router.HandleFunc(engine.PathKVImport, e.handleKVImport).Methods(http.MethodPost)
	return router
}

func (e *Engine) handleGenerate(writer http.ResponseWriter, request *http.Request) {
	var generate engine.GenerateRequest
	if !readJSON(writer, request, &generate) {
		return
	}
	if generate.RequestID == "" || generate.MaxTokens == 0 {
		refuse(writer, http.StatusBadRequest, "bad_request")
		return
	}
	if pause := e.recordAndPause(request.RemoteAddr); pause > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
		refuse(writer, http.StatusServiceUnavailable, "overloaded")
		return
	}
	queued, err := e.submit(generate)
	if err != nil {
		writer.Header().Set("Retry-After", "1")
		refuse(writer, http.StatusServiceUnavailable, err.Error())
		return
	}
	e.stream(writer, request, queued, 0)
}

func (e *Engine) handleResume(writer http.ResponseWriter, request *http.Request) {
	found := e.find(mux.Vars(request)["id"])
	if found == nil {
		refuse(writer, http.StatusNotFound, engine.CodeUnknownRequest)
		return
	}
	offset, err := strconv.ParseUint(request.URL.Query().Get("offset"), 10, 64)
	if err != nil {
		refuse(writer, http.StatusBadRequest, "bad_offset")
		return
	}
	e.stream(writer, request, found, offset)
}

// stream writes events from a token offset on until the request ends. A client that disconnects
// does not cancel the request.
func (e *Engine) stream(writer http.ResponseWriter, request *http.Request, source *sequence, offset uint64) {
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(writer)
	_ = flusher.Flush()
	for {
		event, progress, isLost := e.nextEvent(source, offset)
		if isLost {
			panic(http.ErrAbortHandler)
		}
		if event.Tokens > 0 || event.Done {
			if err := writeEvent(writer, event); err != nil {
				return
			}
			_ = flusher.Flush()
			offset += event.Tokens
			if event.Done {
				return
			}
			continue
		}
		select {
		case <-request.Context().Done():
			return
		case <-progress:
		}
	}
}

// nextEvent returns the output beyond an offset, and a channel that closes when there is more. isLost reports whether the
// process has ended.
func (e *Engine) nextEvent(source *sequence, offset uint64) (event engine.Event, progress <-chan struct{}, isLost bool) {
	e.mutex.Lock()
	output, ended, usage, state := source.outputTokens, source.hasEnded(), source.usage(), source.state
	progress, isLost = source.progress, source.isLost
	e.mutex.Unlock()
	event = engine.Event{RequestID: source.request.RequestID, Offset: offset}
	if output > offset {
		var text strings.Builder
		for position := offset; position < output; position++ {
			text.WriteString(TokenText(event.RequestID, position))
		}
		event.Text, event.Tokens = text.String(), output-offset
		return event, progress, isLost
	}
	if ended {
		event.Done, event.Usage, event.FinishReason = true, &usage, "stop"
		if state == engine.StateCancelled {
			event.FinishReason = "cancelled"
		}
	}
	return event, progress, isLost
}

func writeEvent(writer io.Writer, event engine.Event) error {
	encoded, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(writer, "data: %s\n\n", encoded)
	return err
}

func (e *Engine) handleStatus(writer http.ResponseWriter, request *http.Request) {
	found := e.find(mux.Vars(request)["id"])
	if found == nil {
		refuse(writer, http.StatusNotFound, engine.CodeUnknownRequest)
		return
	}
	e.mutex.Lock()
	status := found.status()
	e.mutex.Unlock()
	writeJSON(writer, http.StatusOK, status)
}

func (e *Engine) handleCancel(writer http.ResponseWriter, request *http.Request) {
	status, found := e.cancel(mux.Vars(request)["id"])
	if !found {
		refuse(writer, http.StatusNotFound, engine.CodeUnknownRequest)
		return
	}
	writeJSON(writer, http.StatusOK, status)
}

func (e *Engine) handleLoad(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, e.reportedLoad())
}

func (e *Engine) handleCacheEvents(writer http.ResponseWriter, request *http.Request) {
	from, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	if err != nil {
		refuse(writer, http.StatusBadRequest, "bad_sequence")
		return
	}
	e.mutex.Lock()
	page := e.cache.eventsSince(from)
	e.mutex.Unlock()
	writeJSON(writer, http.StatusOK, page)
}

func (e *Engine) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var order engine.Order
	if !readJSON(writer, request, &order) {
		return
	}
	state, isAccepted := e.acceptOrder(order)
	if !isAccepted {
		refuse(writer, http.StatusConflict, "fenced")
		return
	}
	writeJSON(writer, http.StatusOK, state)
}

func (e *Engine) handleOrderState(writer http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	state := e.orderState()
	e.mutex.Unlock()
	writeJSON(writer, http.StatusOK, state)
}

func (e *Engine) handleCount(writer http.ResponseWriter, request *http.Request) {
	var count engine.CountRequest
	if readJSON(writer, request, &count) {
		writeJSON(writer, http.StatusOK, engine.CountReply{Tokens: CountTokens(count.Prompt)})
	}
}

func (e *Engine) handleKVExport(writer http.ResponseWriter, request *http.Request) {
	var count engine.CountRequest
	if !readJSON(writer, request, &count) {
		return
	}
	e.mutex.Lock()
	blocks := e.cache.cachedBlocks(count.Prompt)
	e.mutex.Unlock()
	writeJSON(writer, http.StatusOK, engine.KVBlocks{Blocks: blocks})
}

func (e *Engine) handleKVImport(writer http.ResponseWriter, request *http.Request) {
	var blocks engine.KVBlocks
	if !readJSON(writer, request, &blocks) {
		return
	}
	e.mutex.Lock()
	for _, block := range blocks.Blocks {
		if _, found := e.cache.blocks[block]; !found {
			e.cache.insert(block)
		}
	}
	e.mutex.Unlock()
	writeJSON(writer, http.StatusOK, struct{}{})
}

// Plain is a plain service that responds to any call and records the run in the ground truth. A call may ask for a bad
// response, see package badresponse.
type Plain struct {
	Name  string
	Truth *GroundTruth
	// Delay is how long a call takes.
	Delay time.Duration
}

// PlainReply is the response of a plain service.
type PlainReply struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
	Bytes     int    `json:"bytes"`
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if kind, isAsked := badresponse.IsAsked(request); isAsked {
		p.Truth.Add(GroundTruthEvent{Backend: p.Name, RequestID: request.Header.Get("Ravenway-Request-Id"), Kind: EventCall, Method: request.Method, Path: request.URL.Path})
		badresponse.Write(writer, kind)
		return
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maximumRequestBytes))
	if err != nil {
		// The call is incomplete, so it is not run.
		refuse(writer, http.StatusBadRequest, "body_cut_short")
		return
	}
	reply := PlainReply{
		Service: p.Name, Method: request.Method, Path: request.URL.Path,
		RequestID: request.Header.Get("Ravenway-Request-Id"), Bytes: len(body),
	}
	p.Truth.Add(GroundTruthEvent{
		Backend: p.Name, RequestID: reply.RequestID, Kind: EventCall,
		Method: reply.Method, Path: reply.Path, Body: string(body[:min(len(body), 256)]),
	})
	if p.Delay > 0 {
		time.Sleep(p.Delay)
	}
	writeJSON(writer, http.StatusOK, reply)
}

func readJSON(writer http.ResponseWriter, request *http.Request, message any) bool {
	decoder := json.NewDecoder(io.LimitReader(request.Body, maximumRequestBytes))
	if err := decoder.Decode(message); err != nil {
		refuse(writer, http.StatusBadRequest, "bad_request")
		return false
	}
	return true
}

func refuse(writer http.ResponseWriter, status int, code string) {
	writeJSON(writer, status, engine.ErrorBody{Code: code, NotRun: true, Message: strings.ReplaceAll(code, "_", " ")})
}

func writeJSON(writer http.ResponseWriter, status int, message any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(message)
}
