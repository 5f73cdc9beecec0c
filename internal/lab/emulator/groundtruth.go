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

// GroundTruthEvent is one run or order at a back end, as the back end recorded it.
type GroundTruthEvent struct {
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

// Kinds of ground truth events.
const (
	EventFinished  = "finished"
	EventCancelled = "cancelled"
	EventCall      = "call"
	EventOrder     = "order"
)

// GroundTruth is the ground truth log of all back ends of an emulator.
type GroundTruth struct {
	mutex  sync.Mutex
	events []GroundTruthEvent
	writer io.Writer
}

// NewGroundTruth returns an empty log. It writes each event as a JSON line to writer, which may be
// nil.
func NewGroundTruth(writer io.Writer) *GroundTruth { return &GroundTruth{writer: writer} }

// Add records an event.
func (t *GroundTruth) Add(event GroundTruthEvent) {
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
func (t *GroundTruth) Events() []GroundTruthEvent {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]GroundTruthEvent(nil), t.events...)
}
