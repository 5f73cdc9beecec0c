package node

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
)

// maximumStackBytes bounds the part of the stack that is logged.
const maximumStackBytes = 4 << 10

var handlerPanics = metrics.GetOrCreateCounter("ravenway_handler_panics_total")

// logPanic logs a panic of a request's handler with the request's id, and aborts the response. http.ErrAbortHandler is no
// fault and passes.
func (n *Node) logPanic(request *callerRequest) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		handlerPanics.Inc()
		stack := debug.Stack()
		n.log.Error().Str("event", "panic").Str("request", request.id).Str("error", fmt.Sprint(cause)).
			Bytes("stack", stack[:min(len(stack), maximumStackBytes)]).Send()
	}
	panic(http.ErrAbortHandler)
}
