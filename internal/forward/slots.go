package forward

import (
	"context"
	"errors"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/coordination/slotlease"
)

// ErrNoSlot means that a brittle instance has no free slot for a request now.
var ErrNoSlot = errors.New("forward: the brittle instance has no free slot")

// Slots bounds the requests in flight at brittle instances, across all nodes. An instance is brittle
// if it crashes when it has to reject more than a few requests in a second.
type Slots interface {
	// Learn applies what an instance's response says about its brittleness.
	Learn(instance registry.Instance, signal slotlease.Signal)
	// IsBrittle reports whether an instance is brittle.
	IsBrittle(instance registry.Instance) bool
	// Acquire takes a slot of an instance for at most the given time. The error is ErrNoSlot or the
	// context's. The slot is nil if the instance is not brittle.
	Acquire(ctx context.Context, instance registry.Instance, lease time.Duration) (Slot, error)
}

// Slot is a slot that a request occupies at a brittle instance.
type Slot interface {
	// Free frees the slot, and reports whether the instance rejected the request. It is called once.
	Free(isRejected bool)
}

type noSlots struct{}

func (noSlots) Learn(registry.Instance, slotlease.Signal) {}

func (noSlots) IsBrittle(registry.Instance) bool { return false }

func (noSlots) Acquire(context.Context, registry.Instance, time.Duration) (Slot, error) {
	return nil, nil
}

// slotSignal returns the response's signal about the engine's brittleness.
func (e *exchange) slotSignal() slotlease.Signal {
	signal := e.head.Brittle
	signal.IsRejected = e.slot == nil && e.head.NotRun && !e.head.OtherInstance
	return signal
}

// freeSlot frees the slot that the exchange occupies, if it does.
func (e *exchange) freeSlot() {
	if e.slot == nil {
		return
	}
	slot := e.slot
	e.slot = nil
	slot.Free(e.response != nil && e.head.NotRun && !e.head.OtherInstance)
}
