// Package emulator stands in for the systems that ravenway serves: model
// engines with continuous batching, plain services, the platform's list of
// machines and the weight store. It keeps a ground truth log of what really ran,
// which checks compare with what was billed.
package emulator

import (
	"encoding/json"
	"io"
	"sync"
)

// TruthEvent is one run or order at a back end, as the back end recorded it.
type TruthEvent struct {
	Backend   string `json:"backend"`
	RequestID string `json:"request_id"`
	// Tenant is the tenant that the request to an engine names.
	Tenant string `json:"tenant,omitempty"`
	// Kind is "finished", "cancelled", "call" or "order".
	Kind string `json:"kind"`
	// Tokens is the number of prompt and output tokens that an engine processed.
	Tokens uint64 `json:"tokens,omitempty"`
	// Method, Path and Body describe a plain call.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	Body   string `json:"body,omitempty"`
	Fence  uint64 `json:"fence,omitempty"`
}

// Kinds of truth events.
const (
	TruthFinished  = "finished"
	TruthCancelled = "cancelled"
	TruthCall      = "call"
	TruthOrder     = "order"
)

// Truth is the ground truth log of all back ends of an emulator.
type Truth struct {
	mutex  sync.Mutex
	events []TruthEvent
	writer io.Writer
}

// NewTruth returns an empty log. It writes each event as a JSON line to writer, which may be nil.
func NewTruth(writer io.Writer) *Truth { return &Truth{writer: writer} }

// Add records an event.
func (t *Truth) Add(event TruthEvent) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.events = append(t.events, event)
	if t.writer == nil {
		return
	}
	if line, err := json.Marshal(event); err == nil {
		_, _ = t.writer.Write(append(line, '\n'))
	}
}

// Events returns a copy of the log.
func (t *Truth) Events() []TruthEvent {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]TruthEvent(nil), t.events...)
}
