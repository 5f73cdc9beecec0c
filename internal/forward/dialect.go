// Package forward takes callers' HTTP requests to engines and passes the
// answers on byte by byte as they come.
//
// It is one pipeline for all wire interfaces; a Dialect reads and writes the
// headers of one of them. The pipeline keeps what no interface may break: one
// request is at no engine twice unless it may run more than once, an answer
// belongs to the request that it is given to, an answer that ended early never
// looks complete, "not run" is only said when it is true, and a caller that
// leaves frees its engine at once.
package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
)

// Call is what a caller's request says to the pipeline.
type Call struct {
	// ID names the caller's attempt; engines echo it.
	ID string
	// Key is the caller's key, empty if it sent none.
	Key string
	// Wait is how long the caller will wait; 0 if it does not say.
	Wait time.Duration
	// TokensIn and TokensOut are the prompt's tokens and the most that may be
	// generated; HasTokens tells that they are known.
	TokensIn, TokensOut uint64
	HasTokens           bool
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// LastEvent is the event after which the caller resumes a stream, or "".
	LastEvent string
	// Header are the request's headers that engines get.
	Header http.Header
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens uint64
}

// Attempt is one sending of a call to an engine.
type Attempt struct {
	Call     *Call
	Instance string
	Tenant   string
	// Left is how long the engine may take.
	Left time.Duration
	// Priority is what the engine is told, if HasPriority is set.
	Priority    int
	HasPriority bool
	// LastEvent is the event after which a stream goes on, or "".
	LastEvent string
}

// AnswerHead is what an engine's answer says about its request.
type AnswerHead struct {
	// ID is the request's id as the engine echoed it.
	ID string
	// NotRun tells that the engine did not run the request and never will.
	NotRun bool
	// OtherInstance tells that another instance has the address now.
	OtherInstance bool
	// RateLimit is what it says of the instance's limit.
	RateLimit ratelimit.Signal
	// Backoff is what the instance asks this node for.
	Backoff backoff.Signal
}

// Dialect is one wire interface between callers, ravenway and engines.
type Dialect interface {
	// ReadCall reads a caller's request. An error is told to the caller as a
	// bad request.
	ReadCall(request *http.Request) (*Call, error)
	// EngineHeader returns the headers that an engine gets.
	EngineHeader(attempt Attempt) http.Header
	// ReadAnswer reads the head of an engine's answer.
	ReadAnswer(status int, header http.Header) AnswerHead
	// KnowsAnswerHeader tells whether a header of an engine's answer, in its canonical form,
	// is one of the interface's or of HTTP's.
	KnowsAnswerHeader(name string) bool
}

// httpAnswerHeaders are those of HTTP that say nothing of an engine beyond its answer.
var httpAnswerHeaders = []string{
	"Accept-Ranges", "Age", "Allow", "Cache-Control", "Connection", "Content-Encoding", "Content-Language", "Content-Length",
	"Content-Type", "Date", "Etag", "Expires", "Keep-Alive", "Last-Modified", "Location", "Server", "Trailer", "Transfer-Encoding",
	"Vary", "X-Content-Type-Options",
}

// IsHTTPAnswerHeader tells whether a header is one that any HTTP answer may have.
func IsHTTPAnswerHeader(name string) bool { return slices.Contains(httpAnswerHeaders, name) }
