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
	// Cut: the connection broke or the response ended without its end marker.
	Cut Outcome = "cut"
	// Wrong: a complete response other than the expected one.
	Wrong Outcome = "wrong"
)

// Request is one request to send.
type Request struct {
	Kind     Kind
	Tenant   string
	APIKey   string
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
	FirstToken       time.Duration
	Total            time.Duration
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
	answer := c.send(ctx, entry, wanted, started)
	answer.Total = time.Since(started)
	return answer
}

func (c *Client) send(ctx context.Context, entry string, wanted Request, started time.Time) Result {
	httpRequest, err := buildRequest(ctx, entry, wanted)
	if err != nil {
		return Result{Outcome: Cut, Detail: err.Error()}
	}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return Result{Outcome: Cut, Detail: err.Error()}
	}
	defer response.Body.Close()
	answer := Result{
		RequestID:        response.Header.Get(caller.HeaderRequestID),
		BackendRequestID: response.Header.Get(caller.HeaderBackendRequestID),
		RetryAfter:       response.Header.Get("Retry-After"),
	}
	if response.StatusCode >= http.StatusBadRequest {
		return readError(answer, response)
	}
	if wanted.Model == "" {
		return readPlain(answer, response, wanted, started)
	}
	return readStream(answer, response, started)
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

func readError(answer Result, response *http.Response) Result {
	var body caller.ErrorBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		answer.Outcome, answer.Detail = Unknown, fmt.Sprintf("status %d without a typed error", response.StatusCode)
		return answer
	}
	answer.Outcome, answer.Code, answer.NotRun, answer.Detail = Unknown, body.Error.Code, body.Error.NotRun, body.Error.Message
	if answer.NotRun {
		answer.Outcome = Refused
	}
	return answer
}

func readPlain(answer Result, response *http.Response, wanted Request, started time.Time) Result {
	var reply emulator.PlainReply
	err := json.NewDecoder(response.Body).Decode(&reply)
	answer.FirstToken = time.Since(started)
	switch {
	case err != nil:
		answer.Outcome, answer.Detail = Cut, err.Error()
	case reply.Path != wanted.Path || reply.Method != wanted.Method || reply.Bytes != len(wanted.Body):
		answer.Outcome, answer.Detail = Wrong, fmt.Sprintf("requested %s %s, received %+v", wanted.Method, wanted.Path, reply)
	default:
		answer.Outcome, answer.BackendRequestID = Complete, reply.RequestID
	}
	return answer
}

// readStream reads a streamed response and checks each of its tokens. Tokens depend on the engine's
// id of the request, so that tokens of another request don't pass.
func readStream(answer Result, response *http.Response, started time.Time) Result {
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
			return checkText(answer, text.String(), usage)
		default:
			now := time.Now()
			if answer.FirstToken == 0 {
				answer.FirstToken = now.Sub(started)
			} else {
				answer.Gaps = append(answer.Gaps, now.Sub(last))
			}
			last = now
			if failed := decodePart(payload, &text, &usage); failed != nil {
				answer.Outcome, answer.Code, answer.Detail = Unknown, failed.Code, failed.Message
				return answer
			}
		}
	}
	answer.Outcome, answer.Detail = Cut, "the stream ended without its end marker"
	if err := lines.Err(); err != nil {
		answer.Detail = err.Error()
	}
	return answer
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

func checkText(answer Result, text string, usage *caller.Usage) Result {
	if usage == nil {
		answer.Outcome, answer.Detail = Wrong, "the response has no usage"
		return answer
	}
	var expected strings.Builder
	for position := range usage.CompletionTokens {
		expected.WriteString(emulator.TokenText(answer.BackendRequestID, position))
	}
	answer.Tokens = usage.TotalTokens
	answer.Outcome = Complete
	if text != expected.String() {
		answer.Outcome = Wrong
		answer.Detail = fmt.Sprintf("got %d bytes that differ from the %d expected bytes of request %s", len(text), expected.Len(), answer.BackendRequestID)
	}
	return answer
}

// ErrNoEntries indicates that the options name no entry node.
var ErrNoEntries = errors.New("load: no entry nodes")
