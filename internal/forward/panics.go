package forward

import (
	"net/http"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
)

// maximumStackBytes bounds the part of the stack that is logged.
const maximumStackBytes = 4 << 10

var handlerPanics = metrics.GetOrCreateCounter("ravenway_forward_panics_total")

// recoverPanic ends a request whose handling panics: its engine is freed, and its caller gets a response unless one has
// begun. http.ErrAbortHandler is no fault and passes.
func (r *request) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	if r.sending != nil && !r.sending.isOver {
		r.sending.abort()
	}
	handlerPanics.Inc()
	stack := debug.Stack()
	r.pipeline.options.Log.Panicked(r, cause, stack[:min(len(stack), maximumStackBytes)])
	if r.hasBegun {
		r.abortResponse()
	}
	clear(r.writer.Header())
	r.writer.Header().Set("Connection", "close")
	r.refuse(Refusal{Status: http.StatusBadGateway, Reason: ReasonInternal})
}
