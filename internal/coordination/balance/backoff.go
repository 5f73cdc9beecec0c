package balance

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
)

// Errors of Admit. All are ErrNotAdmitted.
var (
	// ErrNotAdmitted says that an instance takes no request of this node now.
	ErrNotAdmitted = errors.New("balance: the instance takes no request")
	// ErrPaused says that it has asked for a pause.
	ErrPaused = fmt.Errorf("%w: it has asked for a pause", ErrNotAdmitted)
	// ErrLeaving says that it has said that it leaves.
	ErrLeaving = fmt.Errorf("%w: it has said that it leaves", ErrNotAdmitted)
	// ErrWithdrawn says that it is not offered any more: it leaves, has ended, its zone is
	// evacuated, or its version was rolled back.
	ErrWithdrawn = fmt.Errorf("%w: it is withdrawn", ErrNotAdmitted)
)

// SetBackoff tells the table who knows what instances ask this node for.
func (t *Table) SetBackoff(tracker *backoff.Tracker) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.backoff = tracker
}

// isTried tells whether an instance that may be on its way back from a pause counts as
// healthy for a request: few at a time show whether it takes work, and none that could not
// go on to another instance.
func isTried(standing backoff.Status, request Request) bool {
	return standing.Phase != backoff.Recovering || standing.HasTrial && !request.IsLastAttempt
}

// Admit tells whether a request may still be written to a chosen instance: it may have
// asked for a pause or been withdrawn while the request waited for its connection.
func (t *Table) Admit(now time.Duration, choice Choice) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch standing := t.backoff.Status(now, choice.Life()); standing.Phase {
	case backoff.Paused:
		return fmt.Errorf("%w, %d ms of it are left", ErrPaused, standing.Wait.Milliseconds())
	case backoff.Leaving:
		return ErrLeaving
	case backoff.Open, backoff.Recovering:
	}
	known := t.member(choice.Life())
	if known == nil || !known.isOffered || t.evacuated.Contains(known.Zone) || t.isRolledBack(known) {
		return ErrWithdrawn
	}
	return nil
}

// Availability is when a service takes a request that none of its instances takes now.
type Availability struct {
	// Wait is how long it is until the first of them does.
	Wait time.Duration
	// IsPause tells that the first one's pause ends then, and not that its limit has room.
	IsPause bool
	// PerSecond is what the limits of the instances add up to that are full.
	PerSecond float64
}

// NextAvailable tells when an instance takes the request that pauses or limits keep it from;
// false if there is none. A pause counts only where no instance is open, those included
// that the request was tried at: they may take it sooner.
func (t *Table) NextAvailable(now time.Duration, request Request) (Availability, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.limits.Any() && !t.backoff.Any() {
		return Availability{}, false
	}
	found, isFirst, isAnyOpen := Availability{}, true, false
	for _, one := range t.byService[request.Service] {
		if !t.isAllowed(one, request) || t.isRolledBack(one) {
			continue
		}
		room, hasLimit := t.limits.Headroom(now, one.Life())
		isLimited := hasLimit && room.Wait > request.PermitPatience && !slices.Contains(request.Exclude, one.ID)
		standing := t.backoff.Status(now, one.Life())
		if standing.Phase == backoff.Leaving {
			continue
		}
		isPaused := standing.Phase == backoff.Paused
		if !isLimited && !isPaused {
			isAnyOpen = true
			continue
		}
		if isLimited {
			found.PerSecond += max(room.PerSecond, ratelimit.MinimumRate)
		}
		wait := max(standing.Wait, room.Wait)
		if isFirst || wait < found.Wait {
			found.Wait, found.IsPause, isFirst = wait, isPaused, false
		}
	}
	return found, !isFirst && !(found.IsPause && isAnyOpen)
}
