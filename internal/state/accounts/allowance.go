package accounts

import "time"

// ContactTimeout is the time since the last contact with the root after which a holder may
// use its grant beyond its allowance. A shorter time charges more unspent tokens when all
// machines fail together; a longer time prolongs the refusals at the start of a partition.
// Holders and the root must agree on it. docs/design/budgets.md compares 0.3 with 0.5 s.
const ContactTimeout = 300 * time.Millisecond

// UnknownTimeSinceContact stands for an unknown time since the last contact with the root.
const UnknownTimeSinceContact time.Duration = 1<<63 - 1

// Allowance bounds the usage of a holder's grant. While the holder is in contact with the
// root it uses no more than Tokens in total, and has Tokens raised in the log before it
// uses more. Once its last contact is older than ContactTimeout it may use Pace tokens a
// second on top. So if the holder's incarnation crashes without a final report, its usage
// is at most Tokens plus what the pace allowed since its last contact with the root; the
// remainder of its grant is known to be unspent.
type Allowance struct {
	// Sequence numbers a holder's allowances on one budget, from 1; 0 means that the
	// holder has none and may use its whole grant at any time.
	Sequence uint64 `msgpack:"q"`
	// Tokens is cumulative, Pace in tokens a second.
	Tokens uint64 `msgpack:"t"`
	Pace   uint64 `msgpack:"p"`
}

// MaximumUse returns the maximum that a holder may have used under the allowance after a
// time without contact to the root, in tokens.
func (a Allowance) MaximumUse(sinceContact time.Duration) uint64 {
	if sinceContact <= ContactTimeout {
		return a.Tokens
	}
	return a.Tokens + a.paced(sinceContact)
}

// paced returns the tokens that the pace allows in a time without contact to the root.
func (a Allowance) paced(sinceContact time.Duration) uint64 {
	return uint64(float64(a.Pace) * (sinceContact - ContactTimeout).Seconds())
}

// Contact is the time at which the root decided on a holder's report, read from the
// leader's clocks. The response carries it to the holder, whose next report carries it
// back: a holder that has received a contact was in contact with the root at that time or
// later.
type Contact struct {
	// Index is the log entry with the decision; 0 means no contact.
	Index uint64 `msgpack:"i"`
	// MonotonicMS is the time on the monotonic clock of the process that Clock identifies,
	// in milliseconds.
	Clock       uint64 `msgpack:"c"`
	MonotonicMS uint64 `msgpack:"s"`
	// WallMS is the wall clock time in milliseconds since 1970; 0 where the control
	// nodes' clocks did not agree on it.
	WallMS int64 `msgpack:"w"`
}

// RecordContact records the newest contact that a holder has received. If it has received none
// and none is recorded, this is its first report: now, the contact of the log entry with
// that report, is recorded, since the holder can't have received an earlier one.
func (a *Accounts) RecordContact(id HolderID, received, now Contact) {
	if a.Fenced(id) {
		return
	}
	known, found := a.contacts[id]
	switch {
	case received.Index > known.Index:
		if received.WallMS == 0 {
			// An earlier wall clock time only makes the time since the contact longer.
			received.WallMS = known.WallMS
		}
		a.contacts[id] = received
	case !found:
		a.contacts[id] = now
	}
}

// LastContact returns the newest contact that a holder is known to have received, or one
// with an index of 0.
func (a *Accounts) LastContact(id HolderID) Contact { return a.contacts[id] }

// CloseCrashed closes the accounts of an incarnation that has ended without a final report of its
// usage. sinceContact is an upper bound on its time without contact to the root; what it can't
// have spent can be granted again.
func (a *Accounts) CloseCrashed(id HolderID, sinceContact time.Duration) {
	a.Fence(id)
	if a.Closed(id) {
		return
	}
	a.closedIncarnations[id.Node] = max(a.closedIncarnations[id.Node], id.Incarnation)
	for _, budget := range a.budgets {
		budget.closeCrashed(id, sinceContact)
	}
	delete(a.contacts, id)
}

func (b *Budget) closeCrashed(id HolderID, sinceContact time.Duration) {
	holder := b.Holders[id]
	if holder == nil {
		return
	}
	held := SaturatingSubtract(holder.Granted, holder.Returned)
	charged := held
	if holder.Allowance.Sequence > 0 && sinceContact != UnknownTimeSinceContact {
		charged = min(held, holder.Allowance.MaximumUse(sinceContact))
		allowed := min(held, holder.Allowance.Tokens)
		b.CrashCharges.Allowed += int64(allowed) - int64(holder.Settled)
		b.CrashCharges.Paced += int64(charged - allowed)
	} else {
		b.CrashCharges.WholeGrants += int64(held) - int64(holder.Settled)
	}
	b.Forfeited += int64(charged) - int64(holder.Settled)
	b.Returned += held - charged
	b.ClosedSettled += charged
	b.lowerToTarget()
	delete(b.Holders, id)
}
