package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ravenway/ravenway/internal/protocol/caller"
	"github.com/ravenway/ravenway/internal/protocol/engine"
)

// completionRequest is one request for a completion or chat completion in the OpenAI format.
// maximumOutput is the maximum number of output tokens.
type completionRequest struct {
	*callerRequest
	body          caller.CompletionRequest
	prompt        string
	chat          bool
	maximumOutput uint64
}

func (n *Node) serveCompletion(writer http.ResponseWriter, httpRequest *http.Request, request *callerRequest, chat bool) {
	completion, refused := n.readCompletion(writer, httpRequest, request, chat)
	if refused != nil {
		n.refuse(writer, request, refused)
		return
	}
	ctx, cancel := context.WithTimeout(httpRequest.Context(), request.deadline)
	defer cancel()
	responseWriter := newCompletionWriter(writer, completion)
	if refused := n.runCompletion(ctx, httpRequest.Context(), completion, responseWriter); refused != nil {
		responseWriter.fail(n, refused)
	}
}

func (n *Node) readCompletion(writer http.ResponseWriter, httpRequest *http.Request, request *callerRequest, chat bool) (*completionRequest, *refusal) {
	body, refused := n.readBody(writer, httpRequest, n.settings.Limits.MaximumBodyBytes)
	if refused != nil {
		return nil, refused
	}
	parsed, err := caller.ParseCompletion(body, chat)
	if err != nil {
		return nil, badRequest("%v", err)
	}
	request.service = n.view.Load().models[parsed.Model]
	if request.service == nil {
		return nil, refuseNotRun(http.StatusNotFound, caller.CodeUnknownModel, 0, "no service has model %q", parsed.Model)
	}
	if maximum := request.service.GetMaxBodyBytes(); maximum > 0 && uint64(len(body)) > maximum {
		return nil, refuseNotRun(http.StatusRequestEntityTooLarge, caller.CodeTooLarge, 0, "the body has more than %d bytes", maximum)
	}
	if refused := n.chooseBudget(httpRequest, request); refused != nil {
		return nil, refused
	}
	completion := &completionRequest{callerRequest: request, body: parsed, prompt: parsed.PromptText(), chat: chat}
	maximum := request.service.GetMaxOutputTokens()
	if maximum == 0 {
		maximum = defaultMaximumOutput
	}
	completion.maximumOutput = parsed.MaxTokens
	if completion.maximumOutput == 0 {
		completion.maximumOutput = defaultOutputTokens
	}
	if completion.maximumOutput > uint64(maximum) {
		return nil, badRequest("max_tokens: %d is more than the service's %d", completion.maximumOutput, maximum)
	}
	request.fingerprint = fingerprint(parsed.Model, completion.prompt, fmt.Sprint(completion.maximumOutput))
	return completion, nil
}

// completionWriter writes the response to a completion, as a stream of events or as one JSON
// document.
type completionWriter struct {
	writer     http.ResponseWriter
	flusher    *http.ResponseController
	completion *completionRequest
	created    int64
	// text collects a response that is sent as one document.
	text strings.Builder
	// hasStarted indicates that the status code has been sent.
	hasStarted bool
}

func newCompletionWriter(writer http.ResponseWriter, completion *completionRequest) *completionWriter {
	return &completionWriter{writer: writer, flusher: http.NewResponseController(writer), completion: completion, created: time.Now().Unix()}
}

// writeEvent writes one event of the engine's stream to the caller, or collects its text for a
// response in one document.
func (c *completionWriter) writeEvent(event engine.Event) error {
	if !c.completion.body.Stream {
		c.text.WriteString(event.Text)
		if event.Done {
			return c.writeDocument(event)
		}
		return nil
	}
	c.startStream()
	if event.Text != "" {
		if err := c.writeChunk(c.message(event.Text, nil, nil)); err != nil {
			return err
		}
	}
	if !event.Done {
		return c.flusher.Flush()
	}
	if err := c.writeChunk(c.message("", &event.FinishReason, usageOf(event))); err != nil {
		return err
	}
	_, err := io.WriteString(c.writer, "data: [DONE]\n\n")
	return errors.Join(err, c.flusher.Flush())
}

// setBackendRequestID sets the response header that names the id under which the engine runs the
// request.
func (c *completionWriter) setBackendRequestID(id string) {
	c.writer.Header().Set(caller.HeaderBackendRequestID, id)
}

func (c *completionWriter) startStream() {
	if c.hasStarted {
		return
	}
	c.hasStarted = true
	c.writer.Header().Set("Content-Type", "text/event-stream")
	c.writer.Header().Set("Cache-Control", "no-store")
	c.writer.WriteHeader(http.StatusOK)
}

func (c *completionWriter) writeChunk(message any) error {
	encoded, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.writer, "data: %s\n\n", encoded)
	return err
}

func usageOf(event engine.Event) *caller.Usage {
	if event.Usage == nil {
		return nil
	}
	return &caller.Usage{
		PromptTokens: event.Usage.Prompt, CompletionTokens: event.Usage.Completion, TotalTokens: event.Usage.Total(),
	}
}

func (c *completionWriter) message(text string, finish *string, usage *caller.Usage) caller.Completion {
	response := caller.Completion{ID: c.completion.id, Object: caller.ObjectCompletion, Created: c.created, Model: c.completion.body.Model, Usage: usage}
	choice := caller.Choice{Text: text, FinishReason: finish}
	if c.completion.chat {
		response.Object = caller.ObjectChatChunk
		choice = caller.Choice{Delta: &caller.Message{Role: "assistant", Content: text}, FinishReason: finish}
	}
	response.Choices = []caller.Choice{choice}
	return response
}

// writeDocument writes the collected response as one JSON document.
func (c *completionWriter) writeDocument(event engine.Event) error {
	response := c.message(c.text.String(), &event.FinishReason, usageOf(event))
	if c.completion.chat {
		response.Object = caller.ObjectChat
		response.Choices[0].Message, response.Choices[0].Delta = response.Choices[0].Delta, nil
	}
	c.hasStarted = true
	c.writer.Header().Set("Content-Type", "application/json")
	c.writer.WriteHeader(http.StatusOK)
	return json.NewEncoder(c.writer).Encode(response)
}

// fail ends the response with an error: by a status code before the first byte, by an error event
// after it. A response is never truncated without an error.
func (c *completionWriter) fail(n *Node, cause *refusal) {
	if !c.hasStarted {
		n.refuse(c.writer, c.completion.callerRequest, cause)
		return
	}
	n.log.Warn().Str("event", "stream_failed").Str("request", c.completion.id).Str("code", string(cause.code)).Str("why", cause.detail).Send()
	_ = c.writeChunk(caller.ErrorBody{Error: caller.ErrorDetail{Code: cause.code, Message: cause.detail, RequestID: c.completion.id}})
	_ = c.flusher.Flush()
}
