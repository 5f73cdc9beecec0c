// Package standin is what the lab's stand-ins for callers, engines and operators
// must say on a wire interface to meet real daemons.
package standin

import (
	"net/http"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/state/document"
)

// Wire is what the stand-ins must say on one wire interface, the other side of
// gateway.Dialect.
type Wire interface {
	// Name is the interface's name in the settings of a daemon.
	Name() string
	// CallerHeader returns the headers of a caller's request.
	CallerHeader(call Call) http.Header
	// ReadRequest reads what an engine was sent.
	ReadRequest(header http.Header) EngineRequest
	// AnswerHeader returns the headers of an engine's answer.
	AnswerHeader(request, instance string, notRun bool) http.Header
	// LimitHeader returns the headers by which an engine's answer names a limit.
	LimitHeader(value string) http.Header
	// PauseHeader returns those by which a refusal asks for a pause, LeavingHeader those by
	// which any answer says that its engine leaves.
	PauseHeader(lasting time.Duration) http.Header
	LeavingHeader() http.Header
	// Heartbeat returns the path and the body of an instance's heartbeat.
	Heartbeat(instance registry.Instance) (path string, body []byte)
	// Configuration returns the path and the body of an operator's order.
	Configuration(wanted *document.Document) (path string, body []byte)
	// Rollout returns the path and the body of an operator's order for a rollout, RolloutPath
	// where its state is read, and ReadRollout reads that.
	Rollout(service, version string, duration time.Duration) (path string, body []byte)
	RolloutPath(service string) string
	ReadRollout(body []byte) RolloutState
	// ReadyPath is where an entry node tells whether it wants callers.
	ReadyPath() string
}

// RolloutState is what an operator is told of a rollout; "" if that can't be read.
type RolloutState string

// States of a rollout.
const (
	RolloutRunning    RolloutState = "running"
	RolloutDone       RolloutState = "done"
	RolloutRolledBack RolloutState = "rolled_back"
)

// Call is one request of a caller.
type Call struct {
	ID   string
	Key  string
	Wait time.Duration
	// TokensIn and TokensOut are the prompt and the most that is generated; 0
	// for a plain call. Part is the shared part of the prompt.
	TokensIn, TokensOut uint64
	Part                string
}

// EngineRequest is what an engine reads of a request.
type EngineRequest struct {
	ID       string
	Tenant   string
	Instance string
	TokensIn uint64
	// After is the number of the event after which a stream goes on.
	After int
}
