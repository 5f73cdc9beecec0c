package balance

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/slotlease"
)

// Errors of Admit. Each of them wraps ErrNotAdmitted.
var (
	// ErrNotAdmitted is returned when an instance accepts no request from this node now.
	ErrNotAdmitted = errors.New("balance: the instance accepts no request from this node now")
	// ErrPaused is returned when the instance has requested a pause that has not expired.
	ErrPaused = fmt.Errorf("%w: it requested a pause", ErrNotAdmitted)
	// ErrLeaving is returned when the instance has signalled that it leaves the service.
	ErrLeaving = fmt.Errorf("%w: it signalled that it leaves the service", ErrNotAdmitted)
	// ErrWithdrawn is returned when the instance is no longer offered: it drains, has ended, its
	// zone is evacuated, or its version was rolled back.
	ErrWithdrawn = fmt.Errorf("%w: it was withdrawn from the service", ErrNotAdmitted)
)

// SetBackoff sets the tracker of the pauses that instances request from this node.
func (t *Table) SetBackoff(tracker *backoff.Tracker) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.backoff = tracker
}

// SetSlots sets the tracker of the brittle instances without free slots.
func (t *Table) SetSlots(tracker *slotlease.Tracker) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.slots = tracker
}

// isTrialAllowed reports whether an instance that may be recovering from a pause counts as healthy
// for a request. Only a few trial requests at a time probe whether the instance accepts work again,
// and a request that could not be retried at another instance is never one of them.
func isTrialAllowed(status backoff.Status, request Request) bool {
	return status.Phase != backoff.Recovering || status.HasTrial && !request.IsLastAttempt
}

// Admit returns nil if a request may still be written to a chosen instance. The instance may have
// requested a pause or have been withdrawn while the request waited for its connection.
func (t *Table) Admit(now time.Duration, choice Choice) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch status := t.backoff.Status(now, choice.Incarnation()); status.Phase {
	case backoff.Paused:
		return fmt.Errorf("%w, which ends in %d ms", ErrPaused, status.Wait.Milliseconds())
	case backoff.Leaving:
		return ErrLeaving
	case backoff.Open, backoff.Recovering:
	}
	known := t.member(choice.Incarnation())
	mayGet := known != nil && (known.isOffered || choice.isDraining && known.isDrainingUsable(now))
	if !mayGet || t.evacuated.Contains(known.Zone) || t.isRolledBack(known) {
		return ErrWithdrawn
	}
	return nil
}

// Availability describes when a service accepts a request that none of its instances accepts now.
type Availability struct {
	// Wait is the time until the first instance accepts it.
	Wait time.Duration
	// IsPause reports whether Wait is the remainder of that instance's pause, and not the time
	// until its rate limit has headroom.
	IsPause bool
	// IsFull reports whether Wait is the time until that brittle instance may have a free slot.
	IsFull bool
	// PerSecond is the sum of the exhausted rate limits, in requests per second.
	PerSecond float64
}

// NextAvailable returns when the first instance accepts a request that is held back by pauses or
// rate limits, and false if there is no such instance. A pause counts only if no instance is
// open. Instances that the request was already tried at count as open too, because they may accept
// it before the pause ends.
func (t *Table) NextAvailable(now time.Duration, request Request) (Availability, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.limits.Any() && !t.backoff.Any() && !t.slots.Any() {
		return Availability{}, false
	}
	found, isFirst, isAnyOpen := Availability{}, true, false
	for _, one := range t.byService[request.Service] {
		if !t.isPlacementAllowed(one, request) || t.isRolledBack(one) {
			continue
		}
		headroom, hasLimit := t.limits.Headroom(now, one.Incarnation())
		isLimited := hasLimit && headroom.Wait > request.MaximumPermitWait && !slices.Contains(request.Exclude, one.ID)
		status := t.backoff.Status(now, one.Incarnation())
		if status.Phase == backoff.Leaving {
			continue
		}
		isPaused := status.Phase == backoff.Paused
		fullFor := t.slots.FullFor(now, one.Incarnation())
		if !isLimited && !isPaused && fullFor == 0 {
			isAnyOpen = true
			continue
		}
		if isLimited {
			found.PerSecond += max(headroom.PerSecond, ratelimit.MinimumRate)
		}
		wait := max(status.Wait, headroom.Wait, fullFor)
		if isFirst || wait < found.Wait {
			found.Wait, found.IsPause, isFirst = wait, isPaused, false
			found.IsFull = !isPaused && !isLimited
		}
	}
	return found, !isFirst && !(found.IsPause && isAnyOpen)
}
