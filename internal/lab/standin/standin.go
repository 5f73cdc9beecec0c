// Package standin defines the messages that the lab's stand-ins for callers, engines and operators
// exchange with real daemons, independently of the wire interface.
package standin

import (
	"net/http"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/state/document"
)

// Wire encodes and decodes the stand-ins' messages on one wire interface. It is the counterpart of
// gateway.Dialect.
type Wire interface {
	// Name returns the interface's name in the settings of a daemon.
	Name() string
	// CallerHeader returns the headers of a caller's request.
	CallerHeader(call Call) http.Header
	// ReadRequest reads the header of a request to an engine.
	ReadRequest(header http.Header) EngineRequest
	// ResponseHeader returns the headers of an engine's response.
	ResponseHeader(request, instance string, notRun bool) http.Header
	// LimitHeader returns the headers by which an engine's response names a rate limit.
	LimitHeader(value string) http.Header
	// PauseHeader returns the headers by which a rejection requests a pause, LeavingHeader those by
	// which any response announces that its engine shuts down.
	PauseHeader(lasting time.Duration) http.Header
	LeavingHeader() http.Header
	// BrittleHeader returns the headers by which any response names the number of rejections in a
	// second that its engine survives.
	BrittleHeader(tolerance int) http.Header
	// Heartbeat returns the path and the body of an instance's heartbeat.
	Heartbeat(instance registry.Instance) (path string, body []byte)
	// Configuration returns the path and the body of an operator's order for a configuration.
	Configuration(wanted *document.Document) (path string, body []byte)
	// Rollout returns the path and the body of an operator's order for a rollout. RolloutPath
	// returns the path at which its state is read, and ReadRollout decodes that state.
	Rollout(service, version string, duration time.Duration) (path string, body []byte)
	RolloutPath(service string) string
	ReadRollout(body []byte) RolloutState
	// ZoneOrder returns the method and path of an operator's order to evacuate a zone or to restore it.
	ZoneOrder(zone string, evacuated bool) (method, path string)
	// ReadyPath returns the path at which an entry node reports whether it is ready for callers.
	ReadyPath() string
}

// RolloutState is the state of a rollout as an operator sees it; "" if it can't be decoded.
type RolloutState string

// States of a rollout.
const (
	RolloutRunning    RolloutState = "running"
	RolloutDone       RolloutState = "done"
	RolloutRolledBack RolloutState = "rolled_back"
)

// Call is one request of a caller.
type Call struct {
	ID string
	// Key is the idempotency key.
	Key         string
	MaximumWait time.Duration
	// TokensIn and TokensOut are the number of tokens of the prompt and the maximum number of
	// generated tokens; 0 for a plain call. PromptParts are the ids of the parts of the prompt that calls
	// share, separated by commas.
	TokensIn, TokensOut uint64
	PromptParts         string
	// LastEvent is the number of the last event that the caller has of a stream that it takes up again,
	// and Resumes the id of its attempt that brought the first one; 0 and "" for a new stream.
	LastEvent int
	Resumes   string
}

// EngineRequest is a request as an engine reads it.
type EngineRequest struct {
	ID       string
	Tenant   string
	Instance string
	TokensIn uint64
	// Prompt lists the parts of the prompt in the interface's own form.
	Prompt string
	// LastEvent is the number of the event after which a stream is resumed.
	LastEvent int
}
