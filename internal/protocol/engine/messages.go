// Package engine is the adapter to the language model engines: their messages and a client.
// Engines with another interface need another package with the same methods.
//
// The interface is HTTP with JSON. Generated text arrives as server-sent events, each with the
// request's id and its offset in output tokens, so that a stream can be checked and resumed.
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

// Priority is the engines' scheduling priority: requests with a higher one are scheduled first.
type Priority int

// GenerateRequest is a request to generate output.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	// MaxTokens bounds the output; it is always sent.
	MaxTokens uint64   `json:"max_tokens"`
	Priority  Priority `json:"priority"`
	// Tenant is used for the engine's own accounting.
	Tenant string `json:"tenant,omitempty"`
}

// Event is one event of a stream.
type Event struct {
	RequestID string `json:"request_id"`
	// Offset is the number of output tokens before this event.
	Offset uint64 `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Tokens is the number of output tokens in Text.
	Tokens uint64 `json:"tokens,omitempty"`
	// Done marks the last event of a stream; Usage and FinishReason are set with it.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	Usage        *Usage `json:"usage,omitempty"`
}

// Usage is the number of tokens that a request used.
type Usage struct {
	Prompt     uint64 `json:"prompt_tokens"`
	Cached     uint64 `json:"cached_tokens"`
	Completion uint64 `json:"completion_tokens"`
}

// Total returns the number of billed tokens.
func (u Usage) Total() uint64 { return u.Prompt + u.Completion }

// RequestState is the progress of a request at an engine.
type RequestState string

// States of a request at an engine.
const (
	StateQueued    RequestState = "queued"
	StateRunning   RequestState = "running"
	StateFinished  RequestState = "finished"
	StateCancelled RequestState = "cancelled"
)

// RequestStatus is an engine's status of a request.
type RequestStatus struct {
	RequestID string       `json:"request_id"`
	State     RequestState `json:"state"`
	Usage     Usage        `json:"usage"`
}

// Load is an engine's own report of its load. It lags behind the actual load.
type Load struct {
	// Running and Queued are numbers of requests, Capacity the maximum of Running.
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	Capacity int `json:"capacity"`
	// Leaving indicates that the engine accepts no new requests because it will stop.
	Leaving bool `json:"leaving"`
	// AtMillis is the wall clock time of the report, in milliseconds since 1970.
	AtMillis int64  `json:"at_ms"`
	Model    string `json:"model"`
	// CacheUsed is the number of tokens in the engine's prompt cache.
	CacheUsed uint64 `json:"cache_used_tokens"`
}

// CacheEvent reports that a prefix block was added to an engine's cache or evicted from it.
type CacheEvent struct {
	// Sequence is consecutive at the engine; a gap means that an event was lost.
	Sequence uint64 `json:"sequence"`
	// Block is the chained hash of the prompt up to the end of the block.
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted"`
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence number from which to request the next page.
	Next uint64 `json:"next"`
}

// Order makes an engine load a model or an adapter, or change its role.
type Order struct {
	// Fence is a fencing token: it grows with each order, and an engine that checks it refuses
	// lower ones.
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	// Target is the model, adapter or role.
	Target  string `json:"target"`
	Version string `json:"version"`
}

// OrderState is an engine's report on its newest order.
type OrderState struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Target  string `json:"target"`
	Version string `json:"version"`
	// Loaded indicates that the order has been carried out.
	Loaded bool `json:"loaded"`
}

// CountRequest requests the exact number of tokens of a prompt. Export of KV blocks uses it too.
type CountRequest struct {
	Prompt string `json:"prompt"`
}

// CountReply is the response to a CountRequest for a token count.
type CountReply struct {
	Tokens uint64 `json:"tokens"`
}

// KVBlocks is exported content of an engine's cache of attention keys and values, named by the
// chained hashes of its prefix blocks.
type KVBlocks struct {
	Blocks []uint64 `json:"blocks"`
}

// ErrorBody is the body of an engine's refusal.
type ErrorBody struct {
	Code string `json:"code"`
	// NotRun is the engine's statement that it did not run the request and never will.
	NotRun  bool   `json:"not_run"`
	Message string `json:"message"`
}

// RefusedError is a refusal by the engine itself.
type RefusedError struct {
	Status int
	Body   ErrorBody
	// RetryAfter are the values of the Retry-After header, by which the engine requests a pause.
	RetryAfter []string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the engine refused with status %d, code %s: %s", e.Status, e.Body.Code, e.Body.Message)
}

// TransportError is a failure to reach an engine or to read its complete response.
type TransportError struct {
	// Offered indicates that part of the request may have reached the engine.
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

// MisdirectedError means that a stream's event carries another request's id, or an offset that
// does not follow the previous event.
type MisdirectedError struct {
	Expected, Got             string
	ExpectedOffset, GotOffset uint64
}

// Error implements error.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("the stream of request %s at token %d carried request %s at token %d",
		e.Expected, e.ExpectedOffset, e.Got, e.GotOffset)
}
