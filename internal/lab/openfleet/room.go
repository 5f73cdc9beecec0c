package openfleet

import (
	"net/http"
	"strconv"
	"time"

	"github.com/ravenway/ravenway/internal/lab/wire"
)

// slotPollInterval is the time between two checks whether a waiting request may run.
const slotPollInterval = 5 * time.Millisecond

// enter takes a place at the engine, and returns once the request may run; false means that there is no
// room.
func (e *Engine) enter() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.Room == 0 {
		e.occupied++
		e.running++
		return true
	}
	if e.occupied >= e.Room {
		return false
	}
	e.occupied++
	for e.running >= e.Slots {
		e.mutex.Unlock()
		time.Sleep(slotPollInterval)
		e.mutex.Lock()
	}
	e.running++
	return true
}

func (e *Engine) leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.occupied--
	e.running--
}

// rejectForWantOfRoom rejects a request, which crashes a brittle engine that has rejected too many.
func (e *Engine) rejectForWantOfRoom(writer http.ResponseWriter) {
	e.mutex.Lock()
	tolerance, err := strconv.Atoi(e.Brittle)
	crashes := e.rejections.Add(time.Since(e.truth.startedAt), tolerance) && e.Brittle != "" && err == nil
	e.mutex.Unlock()
	writer.Header().Set(wire.HeaderNotRun, "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
	if crashes && !e.hasCrashed.Load() {
		_ = http.NewResponseController(writer).Flush()
		go e.crash()
	}
}
