// Package load generates an open-loop load from a mix of requests, checks every
// response, and measures what callers see.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/ravenway/ravenway/internal/lab/emulator"
	"github.com/ravenway/ravenway/internal/protocol/caller"
)

// Outcome is the result of one request as its caller saw it.
type Outcome string

// Outcomes of requests.
const (
	// Complete: the expected response, complete.
	Complete Outcome = "whole"
	// Refused: a typed error with the guarantee that the request was not run.
	Refused Outcome = "refused"
	// Unknown: an error without that guarantee; the request may have run.
	Unknown Outcome = "unknown"
	// Interrupted: the connection broke or the response ended without its end marker.
	Interrupted Outcome = "cut"
	// Wrong: a complete response other than the expected one.
	Wrong Outcome = "wrong"
)

// Request is one request to send.
type Request struct {
	Kind   Kind
	Tenant string
	APIKey string
	// Key is the idempotency key.
	Key      string
	Priority string
	Deadline time.Duration
	// Model, Prompt and MaxTokens are set for completions.
	Model     string
	Prompt    string
	MaxTokens uint64
	// Method, Path and Body are set for plain calls.
	Method string
	Path   string
	Body   string
}

// Result is the result of a request.
type Result struct {
	Outcome    Outcome
	Code       caller.Code
	NotRun     bool
	RetryAfter string
	RequestID  string
	// BackendRequestID is the engine's id of the request.
	BackendRequestID string
	Tokens           uint64
	// FirstToken is the time until the first part of the response, Total that until its end.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps are the times between consecutive parts of the stream.
	Gaps   []time.Duration
	Detail string
}

// Client sends requests to entry nodes.
type Client struct {
	HTTP *http.Client
}

// Send sends a request to an entry node and checks the response.
func (c *Client) Send(ctx context.Context, entry string, wanted Request) Result {
	started := time.Now()
	result := c.send(ctx, entry, wanted, started)
	result.Total = time.Since(started)
	return result
}

func (c *Client) send(ctx context.Context, entry string, wanted Request, started time.Time) Result {
	httpRequest, err := buildRequest(ctx, entry, wanted)
	if err != nil {
		return Result{Outcome: Interrupted, Detail: err.Error()}
	}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return Result{Outcome: Interrupted, Detail: err.Error()}
	}
	defer response.Body.Close()
	result := Result{
		RequestID:        response.Header.Get(caller.HeaderRequestID),
		BackendRequestID: response.Header.Get(caller.HeaderBackendRequestID),
		RetryAfter:       response.Header.Get("Retry-After"),
	}
	if response.StatusCode >= http.StatusBadRequest {
		return readError(result, response)
	}
	if wanted.Model == "" {
		return readPlain(result, response, wanted, started)
	}
	return readStream(result, response, started)
}

func buildRequest(ctx context.Context, entry string, wanted Request) (*http.Request, error) {
	method, path, body := wanted.Method, wanted.Path, []byte(wanted.Body)
	if wanted.Model != "" {
		method, path = http.MethodPost, "/v1/chat/completions"
		encoded, err := json.Marshal(caller.CompletionRequest{
			Model: wanted.Model, Stream: true, MaxTokens: wanted.MaxTokens,
			Messages: []caller.Message{{Role: "user", Content: wanted.Prompt}},
		})
		if err != nil {
			return nil, err
		}
		body = encoded
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Authorization", "Bearer "+wanted.APIKey)
	setUnlessEmpty(httpRequest, caller.HeaderIdempotencyKey, wanted.Key)
	setUnlessEmpty(httpRequest, caller.HeaderPriority, wanted.Priority)
	if wanted.Deadline > 0 {
		httpRequest.Header.Set(caller.HeaderDeadline, wanted.Deadline.String())
	}
	return httpRequest, nil
}

func setUnlessEmpty(httpRequest *http.Request, name, value string) {
	if value != "" {
		httpRequest.Header.Set(name, value)
	}
}

func readError(result Result, response *http.Response) Result {
	var body caller.ErrorBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		result.Outcome, result.Detail = Unknown, fmt.Sprintf("status %d without a typed error", response.StatusCode)
		return result
	}
	result.Outcome, result.Code, result.NotRun, result.Detail = Unknown, body.Error.Code, body.Error.NotRun, body.Error.Message
	if result.NotRun {
		result.Outcome = Refused
	}
	return result
}

func readPlain(result Result, response *http.Response, wanted Request, started time.Time) Result {
	var reply emulator.PlainReply
	err := json.NewDecoder(response.Body).Decode(&reply)
	result.FirstToken = time.Since(started)
	switch {
	case err != nil:
		result.Outcome, result.Detail = Interrupted, err.Error()
	case reply.Path != wanted.Path || reply.Method != wanted.Method || reply.Bytes != len(wanted.Body):
		result.Outcome, result.Detail = Wrong, fmt.Sprintf("requested %s %s, received %+v", wanted.Method, wanted.Path, reply)
	default:
		result.Outcome, result.BackendRequestID = Complete, reply.RequestID
	}
	return result
}

// readStream reads a streamed response and checks each of its tokens. Tokens depend on the engine's
// id of the request, so that tokens of another request don't pass.
func readStream(result Result, response *http.Response, started time.Time) Result {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 64<<10), 4<<20)
	var text strings.Builder
	var usage *caller.Usage
	var last time.Time
	for lines.Scan() {
		payload, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !isData:
		case payload == "[DONE]":
			return checkText(result, text.String(), usage)
		default:
			now := time.Now()
			if result.FirstToken == 0 {
				result.FirstToken = now.Sub(started)
			} else {
				result.Gaps = append(result.Gaps, now.Sub(last))
			}
			last = now
			if failed := decodePart(payload, &text, &usage); failed != nil {
				result.Outcome, result.Code, result.Detail = Unknown, failed.Code, failed.Message
				return result
			}
		}
	}
	result.Outcome, result.Detail = Interrupted, "the stream ended without its end marker"
	if err := lines.Err(); err != nil {
		result.Detail = err.Error()
	}
	return result
}

func decodePart(payload string, text *strings.Builder, usage **caller.Usage) *caller.ErrorDetail {
	var part struct {
		caller.Completion
		Error *caller.ErrorDetail `json:"error"`
	}
	if err := json.Unmarshal([]byte(payload), &part); err != nil {
		return &caller.ErrorDetail{Code: caller.CodeInternal, Message: err.Error()}
	}
	if part.Error != nil {
		return part.Error
	}
	for _, choice := range part.Choices {
		if choice.Delta != nil {
			text.WriteString(choice.Delta.Content)
		}
	}
	if part.Usage != nil {
		*usage = part.Usage
	}
	return nil
}

func checkText(result Result, text string, usage *caller.Usage) Result {
	if usage == nil {
		result.Outcome, result.Detail = Wrong, "the response has no usage"
		return result
	}
	var expected strings.Builder
	for position := range usage.CompletionTokens {
		expected.WriteString(emulator.TokenText(result.BackendRequestID, position))
	}
	result.Tokens = usage.TotalTokens
	result.Outcome = Complete
	if text != expected.String() {
		result.Outcome = Wrong
		result.Detail = fmt.Sprintf("got %d bytes that differ from the %d expected bytes of request %s", len(text), expected.Len(), result.BackendRequestID)
	}
	return result
}

// ErrNoEntries indicates that the options name no entry node.
var ErrNoEntries = errors.New("load: no entry nodes")
