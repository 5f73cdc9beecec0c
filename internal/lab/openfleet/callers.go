package openfleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ravenway/ravenway/internal/lab/wire"
)

// CallerResponse is the response that a caller received.
type CallerResponse struct {
	Status int
	Body   string
	Header http.Header
	// BodyError is the error that ended the body early, or nil.
	BodyError error
}

// CallerRequest describes a caller's request.
type CallerRequest struct {
	ID, Path, Key string
	// Tokens is the value of wire.HeaderTokens: prompt tokens, a comma and output tokens.
	Tokens string
	// Wait is the maximum time that the caller waits, sent as wire.HeaderWait; 0 sends none.
	Wait    time.Duration
	Context context.Context
	Body    string
	// PromptPart holds the ids of the parts of the prompt, separated by commas, "" if there are none.
	PromptPart string
	// After is the last event that the caller has of a stream that it takes up again, and Resumes the ID
	// of its attempt that brought the first one; "" for a new stream.
	After, Resumes string
}

// Request sends a caller's request to an entry node. The error is that of a connection that failed
// before the head of a response arrived.
func (f *Fleet) Request(name string, call CallerRequest) (CallerResponse, error) {
	ctx := call.Context
	if ctx == nil {
		ctx = f.ctx
	}
	address := fmt.Sprintf("%s:%d", f.Machine(name).Host, callersPort)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return CallerResponse{}, err
	}
	request.Host = "lab"
	request.Header.Set(wire.HeaderRequest, call.ID)
	if call.Key != "" {
		request.Header.Set(wire.HeaderKey, call.Key)
	}
	if call.Tokens != "" {
		request.Header.Set(wire.HeaderTokens, call.Tokens)
	}
	if call.PromptPart != "" {
		request.Header.Set(wire.HeaderPart, call.PromptPart)
	}
	if call.After != "" {
		request.Header.Set(wire.HeaderAfter, call.After)
	}
	if call.Resumes != "" {
		request.Header.Set(wire.HeaderResumes, call.Resumes)
	}
	if call.Wait > 0 {
		request.Header.Set(wire.HeaderWait, call.Wait.String())
	}
	response, err := f.roundTrip(request)
	f.recordReceivedTokens(call, response)
	return response, err
}

// recordReceivedTokens counts the tokens that a caller received: the prompt's and one for each event.
func (f *Fleet) recordReceivedTokens(call CallerRequest, response CallerResponse) {
	var tokensIn, tokensOut uint64
	if _, err := fmt.Sscanf(call.Tokens, "%d,%d", &tokensIn, &tokensOut); err != nil || response.Status != http.StatusOK || response.Body == "" {
		return
	}
	f.GroundTruth.recordTokens(call.Key, tokensIn+uint64(strings.Count(response.Body, eventEnd)))
}

// eventEnd terminates an event of a stream.
const eventEnd = "\n\n"

func (f *Fleet) get(url string) (CallerResponse, error) {
	request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return CallerResponse{}, err
	}
	return f.roundTrip(request)
}

func (f *Fleet) roundTrip(request *http.Request) (CallerResponse, error) {
	response, err := f.callers.RoundTrip(request)
	if err != nil {
		return CallerResponse{}, err
	}
	defer response.Body.Close()
	body, bodyError := io.ReadAll(response.Body)
	return CallerResponse{Status: response.StatusCode, Body: string(body), Header: response.Header, BodyError: bodyError}, nil
}
