// Package caller defines the messages exchanged with callers: the OpenAI-style requests and
// responses, ravenway's headers, and its error codes.
package caller

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Headers of callers' requests and of the responses.
const (
	// HeaderIdempotencyKey identifies a request, so that a retry neither runs nor is billed
	// again.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is the maximum time that the caller waits for the first byte, as a Go
	// duration ("30s").
	HeaderDeadline = "Ravenway-Deadline"
	// HeaderPriority is "urgent", "normal" or "batch".
	HeaderPriority = "Ravenway-Priority"
	// HeaderNotRepeatable ("true") marks a request that may run at most once.
	HeaderNotRepeatable = "Ravenway-Not-Repeatable"
	// HeaderBudget names the budget to charge instead of the tenant's default.
	HeaderBudget = "Ravenway-Budget"
	// HeaderRequestID identifies the request in responses, logs and "explain".
	HeaderRequestID = "Ravenway-Request-Id"
	// HeaderBackendRequestID is the id under which an engine runs the request.
	HeaderBackendRequestID = "Ravenway-Backend-Request-Id"
	// HeaderNode names the node that responded.
	HeaderNode = "Ravenway-Node"
)

// Code is the stable name of a kind of refusal or failure.
type Code string

// Codes that callers can rely on.
const (
	CodeUnauthorized         Code = "unauthorized"
	CodeBadRequest           Code = "bad_request"
	CodeTooLarge             Code = "too_large"
	CodeUnknownModel         Code = "unknown_model"
	CodeUnknownRoute         Code = "unknown_route"
	CodeUnknownBudget        Code = "unknown_budget"
	CodeBudgetExhausted      Code = "budget_spent"
	CodeBudgetUnreachable    Code = "budget_unreachable"
	CodeQueueFull            Code = "queue_full"
	CodeDeadline             Code = "deadline_exceeded"
	CodeNoBackend            Code = "no_backend"
	CodeAcceptorsUnreachable Code = "holders_unreachable"
	CodeInProgress           Code = "in_progress"
	CodeOutcomeUnknown       Code = "outcome_unknown"
	CodeAlreadyDone          Code = "already_done"
	CodeKeyReused            Code = "idempotency_key_reused"
	CodeBackendFailed        Code = "backend_failed"
	CodeStarting             Code = "starting"
	CodeInternal             Code = "internal"
)

// ErrorBody is the body of every refusal and failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes what happened and whether the request ran.
type ErrorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// NotRun is true only if no byte of the request was offered to a back end, or if the back end
	// itself stated that it did not run it.
	NotRun    bool   `json:"not_run"`
	RequestID string `json:"request_id"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is the body of both OpenAI-style calls: Messages is set for chat, Prompt for
// plain completions.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens uint64    `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// ParseCompletion parses and validates a body. Unknown fields are ignored, because callers'
// libraries send many.
func ParseCompletion(body []byte, chat bool) (CompletionRequest, error) {
	var request CompletionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return request, fmt.Errorf("the body is not a JSON request: %w", err)
	}
	var problems []string
	if request.Model == "" {
		problems = append(problems, "model: is missing")
	}
	if chat && len(request.Messages) == 0 {
		problems = append(problems, "messages: is missing or empty")
	}
	if !chat && request.Prompt == "" {
		problems = append(problems, "prompt: is missing or empty")
	}
	if len(problems) > 0 {
		return request, fmt.Errorf("%s", strings.Join(problems, "; "))
	}
	return request, nil
}

// PromptText returns the prompt that is sent to the engine.
func (r CompletionRequest) PromptText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var text strings.Builder
	for _, message := range r.Messages {
		fmt.Fprintf(&text, "%s: %s\n", message.Role, message.Content)
	}
	return text.String()
}

// Choice is one alternative of a completion, complete or streamed in parts.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage is the number of tokens that a request used.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

// Completion is a complete response or one streamed part of it.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Values of Completion.Object.
const (
	ObjectChat       = "chat.completion"
	ObjectChatChunk  = "chat.completion.chunk"
	ObjectCompletion = "text_completion"
)
