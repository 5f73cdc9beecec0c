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

// completion is one OpenAI-style request.
type completion struct {
	*request
	body   caller.CompletionRequest
	prompt string
	chat   bool
	bound  uint64
}

func (n *Node) serveCompletion(writer http.ResponseWriter, httpRequest *http.Request, of *request, chat bool) {
	wanted, refused := n.readCompletion(writer, httpRequest, of, chat)
	if refused != nil {
		n.refuse(writer, of, refused)
		return
	}
	ctx, cancel := context.WithTimeout(httpRequest.Context(), of.deadline)
	defer cancel()
	answer := newCompletionWriter(writer, wanted)
	if refused := n.runCompletion(ctx, httpRequest.Context(), wanted, answer); refused != nil {
		answer.fail(n, refused)
	}
}

func (n *Node) readCompletion(writer http.ResponseWriter, httpRequest *http.Request, of *request, chat bool) (*completion, *refusal) {
	body, refused := n.readBody(writer, httpRequest, n.settings.Limits.MaximumBodyBytes)
	if refused != nil {
		return nil, refused
	}
	parsed, err := caller.ParseCompletion(body, chat)
	if err != nil {
		return nil, badRequest("%v", err)
	}
	of.service = n.view.Load().models[parsed.Model]
	if of.service == nil {
		return nil, refuseNotRun(http.StatusNotFound, caller.CodeUnknownModel, 0, "no service has model %q", parsed.Model)
	}
	if maximum := of.service.GetMaxBodyBytes(); maximum > 0 && uint64(len(body)) > maximum {
		return nil, refuseNotRun(http.StatusRequestEntityTooLarge, caller.CodeTooLarge, 0, "the body has more than %d bytes", maximum)
	}
	if refused := n.chooseBudget(httpRequest, of); refused != nil {
		return nil, refused
	}
	wanted := &completion{request: of, body: parsed, prompt: parsed.PromptText(), chat: chat}
	maximum := of.service.GetMaxOutputTokens()
	if maximum == 0 {
		maximum = defaultMaxOutput
	}
	wanted.bound = parsed.MaxTokens
	if wanted.bound == 0 {
		wanted.bound = defaultOutputTokens
	}
	if wanted.bound > uint64(maximum) {
		return nil, badRequest("max_tokens: %d is more than the service's %d", wanted.bound, maximum)
	}
	of.fingerprint = fingerprint(parsed.Model, wanted.prompt, fmt.Sprint(wanted.bound))
	return wanted, nil
}

// completionWriter writes an answer, streamed or whole.
type completionWriter struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	of      *completion
	created int64
	text    strings.Builder
	begun   bool
}

func newCompletionWriter(writer http.ResponseWriter, of *completion) *completionWriter {
	return &completionWriter{writer: writer, flusher: http.NewResponseController(writer), of: of, created: time.Now().Unix()}
}

// event passes one part of the answer on.
func (c *completionWriter) event(event engine.Event) error {
	if !c.of.body.Stream {
		c.text.WriteString(event.Text)
		if event.Done {
			return c.whole(event)
		}
		return nil
	}
	c.begin()
	if event.Text != "" {
		if err := c.chunk(c.part(event.Text, nil, nil)); err != nil {
			return err
		}
	}
	if !event.Done {
		return c.flusher.Flush()
	}
	if err := c.chunk(c.part("", &event.FinishReason, usageOf(event))); err != nil {
		return err
	}
	_, err := io.WriteString(c.writer, "data: [DONE]\n\n")
	return errors.Join(err, c.flusher.Flush())
}

// backendRequestID tells the caller under which id the engine runs the request.
func (c *completionWriter) backendRequestID(id string) {
	c.writer.Header().Set(caller.HeaderBackendRequestID, id)
}

func (c *completionWriter) begin() {
	if c.begun {
		return
	}
	c.begun = true
	c.writer.Header().Set("Content-Type", "text/event-stream")
	c.writer.Header().Set("Cache-Control", "no-store")
	c.writer.WriteHeader(http.StatusOK)
}

func (c *completionWriter) chunk(message any) error {
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

func (c *completionWriter) part(text string, finish *string, usage *caller.Usage) caller.Completion {
	answer := caller.Completion{ID: c.of.id, Object: caller.ObjectCompletion, Created: c.created, Model: c.of.body.Model, Usage: usage}
	choice := caller.Choice{Text: text, FinishReason: finish}
	if c.of.chat {
		answer.Object = caller.ObjectChatChunk
		choice = caller.Choice{Delta: &caller.Message{Role: "assistant", Content: text}, FinishReason: finish}
	}
	answer.Choices = []caller.Choice{choice}
	return answer
}

// whole writes the answer in one piece.
func (c *completionWriter) whole(event engine.Event) error {
	answer := c.part(c.text.String(), &event.FinishReason, usageOf(event))
	if c.of.chat {
		answer.Object = caller.ObjectChat
		answer.Choices[0].Message, answer.Choices[0].Delta = answer.Choices[0].Delta, nil
	}
	c.begun = true
	c.writer.Header().Set("Content-Type", "application/json")
	c.writer.WriteHeader(http.StatusOK)
	return json.NewEncoder(c.writer).Encode(answer)
}

// fail ends the answer with an error: a status before the first byte, an
// explicit error event after it. An answer never ends silently short.
func (c *completionWriter) fail(n *Node, cause *refusal) {
	if !c.begun {
		n.refuse(c.writer, c.of.request, cause)
		return
	}
	n.log.Warn().Str("event", "stream_failed").Str("request", c.of.id).Str("code", string(cause.code)).Str("why", cause.detail).Send()
	_ = c.chunk(caller.ErrorBody{Error: caller.ErrorDetail{Code: cause.code, Message: cause.detail, RequestID: c.of.id}})
	_ = c.flusher.Flush()
}
