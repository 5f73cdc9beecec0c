// Package engine is the adapter to the language model engines: their messages
// and a client. Another dialect is another package with the same methods.
//
// Engines are spoken to over HTTP with JSON; generated text comes as
// server-sent events, each with the request's id and its offset in tokens, so
// that a stream can be checked and resumed.
package engine

import (
	"fmt"
)

// Paths of the engines' HTTP interface.
const (
	PathGenerate    = "/engine/v1/generate"
	PathRequests    = "/engine/v1/requests/"
	PathLoad        = "/engine/v1/load"
	PathCacheEvents = "/engine/v1/cache-events"
	PathOrders      = "/engine/v1/orders"
	PathCount       = "/engine/v1/count"
	PathKVExport    = "/engine/v1/kv/export"
	PathKVImport    = "/engine/v1/kv/import"
)

// Priority is the engines' own: a higher one is scheduled first.
type Priority int

// GenerateRequest asks for output.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	// MaxTokens bounds the output; it is always sent.
	MaxTokens uint64   `json:"max_tokens"`
	Priority  Priority `json:"priority"`
	// Tenant is for the engine's own accounting.
	Tenant string `json:"tenant,omitempty"`
}

// Event is one part of an answer.
type Event struct {
	RequestID string `json:"request_id"`
	// Offset is the number of output tokens before this event.
	Offset uint64 `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Tokens is the number of output tokens in Text.
	Tokens uint64 `json:"tokens,omitempty"`
	// Done is the end mark; Usage and FinishReason come with it.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	Usage        *Usage `json:"usage,omitempty"`
}

// Usage is what a request used, in tokens.
type Usage struct {
	Prompt     uint64 `json:"prompt_tokens"`
	Cached     uint64 `json:"cached_tokens"`
	Completion uint64 `json:"completion_tokens"`
}

// Total is what is billed.
func (u Usage) Total() uint64 { return u.Prompt + u.Completion }

// RequestState is how far an engine has come with a request.
type RequestState string

// States of a request at an engine.
const (
	StateQueued    RequestState = "queued"
	StateRunning   RequestState = "running"
	StateFinished  RequestState = "finished"
	StateCancelled RequestState = "cancelled"
)

// RequestStatus is what an engine knows of a request.
type RequestStatus struct {
	RequestID string       `json:"request_id"`
	State     RequestState `json:"state"`
	Usage     Usage        `json:"usage"`
}

// Load is an engine's report of itself. It lags.
type Load struct {
	Running   int    `json:"running"`
	Queued    int    `json:"queued"`
	Capacity  int    `json:"capacity"`
	Leaving   bool   `json:"leaving"`
	AtMillis  int64  `json:"at_ms"`
	Model     string `json:"model"`
	CacheUsed uint64 `json:"cache_used_tokens"`
}

// CacheEvent says that a prefix block entered or left an engine's cache.
type CacheEvent struct {
	// Sequence has no gaps at the engine; a gap seen is a lost event.
	Sequence uint64 `json:"sequence"`
	// Block is the chained hash of the prompt up to the block's end.
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted"`
}

// CacheEvents is a page of events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence to ask from.
	Next uint64 `json:"next"`
}

// Order tells an engine to load something or to change role.
type Order struct {
	// Fence grows with each order; an engine that checks refuses lower ones.
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Target  string `json:"target"`
	Version string `json:"version"`
}

// OrderState is what an engine says of its newest order.
type OrderState struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Target  string `json:"target"`
	Version string `json:"version"`
	// Loaded tells that it is done.
	Loaded bool `json:"loaded"`
}

// CountRequest asks for the exact number of tokens of a prompt.
type CountRequest struct {
	Prompt string `json:"prompt"`
}

// CountReply answers it.
type CountReply struct {
	Tokens uint64 `json:"tokens"`
}

// KVBlocks is exported cache content.
type KVBlocks struct {
	Blocks []uint64 `json:"blocks"`
}

// ErrorBody is the body of an engine's refusal.
type ErrorBody struct {
	Code string `json:"code"`
	// NotRun is the engine's word that it did not and will not run the request.
	NotRun  bool   `json:"not_run"`
	Message string `json:"message"`
}

// RefusedError is a refusal by the engine itself.
type RefusedError struct {
	Status int
	Body   ErrorBody
	// RetryAfter are the values of the field by which the engine asks for a pause.
	RetryAfter []string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the engine refused with status %d, code %s: %s", e.Status, e.Body.Code, e.Body.Message)
}

// TransportError is a failure to reach an engine or to hear it out.
type TransportError struct {
	// Offered tells that some of the request may have reached the engine.
	Offered bool
	Err     error
}

// Error implements error.
func (e *TransportError) Error() string {
	if e.Offered {
		return fmt.Sprintf("the engine was lost with the request under way: %v", e.Err)
	}
	return fmt.Sprintf("the engine was not reached: %v", e.Err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// MisdirectedError is a stream whose events carry another request's id or an
// offset that does not follow.
type MisdirectedError struct {
	Expected, Got             string
	ExpectedOffset, GotOffset uint64
}

// Error implements error.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("the stream of request %s at token %d carried request %s at token %d",
		e.Expected, e.ExpectedOffset, e.Got, e.GotOffset)
}
