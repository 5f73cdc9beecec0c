// Package forward sends callers' HTTP requests to engines and relays the responses as they
// arrive, without changing their bytes.
//
// One pipeline serves all HTTP interfaces; a Dialect reads and writes the headers of one of them.
// The pipeline guarantees what must hold for every interface: a request runs at two engines only
// if it may run more than once, a response is relayed only to the request that it belongs to, a
// response that ended early never looks complete, "not run" is stated only when it is true, and a
// caller that disconnects frees its engine immediately.
//
// An instance is one registered engine process, and an incarnation is one run of it between its
// start and its end. An instance may name a rate limit in its responses: requests to it then need
// permits. It may also request a pause, for which this node sends it no requests. A route's
// objective is the target for the time to the response, or to a stream's first event. A relay is another
// entry node through which this one connects to an instance that it does not reach itself. A brittle
// instance crashes when it has to reject too many requests; requests to it occupy slots. A poison
// request crashes the engines that run it; it is suspected after some crashes and then quarantined,
// that is, sent to no further engine.
package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/slotlease"
)

// Call is a caller's request as the dialect has read it.
type Call struct {
	// ID identifies the caller's attempt; engines echo it.
	ID string
	// Key is the caller's API key, empty if it sent none.
	Key string
	// Wait is the maximum time that the caller waits; 0 if it names none.
	Wait time.Duration
	// TokensIn and TokensOut are the tokens of the prompt and the maximum number that may be
	// generated; HasTokens indicates that they are known.
	TokensIn, TokensOut uint64
	HasTokens           bool
	// Model is the name of the model that is to respond, "" if the caller names none.
	Model string
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// LastEvent is the event after which the caller resumes a stream, or "".
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that the
	// caller resumes, or "".
	Resumes string
	// Header holds the request's headers that engines receive.
	Header http.Header
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens uint64
}

// Attempt is one attempt to send a call to an engine.
type Attempt struct {
	Call     *Call
	Instance string
	Tenant   string
	// Left is the time left for the engine.
	Left time.Duration
	// Priority is passed to the engine if HasPriority is set.
	Priority    int
	HasPriority bool
	// LastEvent is the event after which a stream is resumed, or "".
	LastEvent string
}

// ResponseHead is the information in the head of an engine's response.
type ResponseHead struct {
	// ID is the request's id as the engine echoed it.
	ID string
	// NotRun indicates that the engine did not run the request and never will.
	NotRun bool
	// OtherInstance indicates that the address belongs to another instance now.
	OtherInstance bool
	// RateLimit is the signal about the instance's rate limit.
	RateLimit ratelimit.Signal
	// Backoff is the signal about pauses that the instance requests of this node.
	Backoff backoff.Signal
	// Brittle is the signal that the instance crashes when it has to reject too many requests.
	Brittle slotlease.Signal
}

// Dialect is the adapter of one HTTP interface between callers, ravenway and engines.
type Dialect interface {
	// ReadCall reads a caller's request. An error is returned to the caller as a bad request.
	ReadCall(request *http.Request) (*Call, error)
	// EngineHeader returns the headers that are sent to an engine.
	EngineHeader(attempt Attempt) http.Header
	// ReadResponse reads the head of an engine's response.
	ReadResponse(status int, header http.Header) ResponseHead
	// KnowsResponseHeader reports whether a header of an engine's response, in its canonical form,
	// belongs to the interface or to HTTP.
	KnowsResponseHeader(name string) bool
}

// httpResponseHeaders are general HTTP headers, which describe the response and carry no
// information about the engine.
var httpResponseHeaders = []string{
	"Accept-Ranges", "Age", "Allow", "Cache-Control", "Connection", "Content-Encoding", "Content-Language", "Content-Length",
	"Content-Type", "Date", "Etag", "Expires", "Keep-Alive", "Last-Modified", "Location", "Server", "Trailer", "Transfer-Encoding",
	"Vary", "X-Content-Type-Options",
}

// IsHTTPResponseHeader reports whether a header is one that any HTTP response may have.
func IsHTTPResponseHeader(name string) bool { return slices.Contains(httpResponseHeaders, name) }
