package accounts

import "time"

// SilentAfter is how long a holder must not have heard the root before it may
// use its grant beyond its allowance. Shorter, and a loss of all machines at once
// charges more that nobody spent; longer, and a cut begins with longer refusals.
// Holders and the root must agree on it. Measured: 0.3 and 0.5 s, see
// docs/design/budgets.md.
const SilentAfter = 300 * time.Millisecond

// UnknownSilence stands for a time that nobody can bound.
const UnknownSilence time.Duration = 1<<63 - 1

// Allowance bounds what a holder may use of its grant. While the holder hears the
// root it uses no more than Tokens in all, and has them raised in the log first.
// Once it has not heard the root for SilentAfter it may use Pace tokens a second
// on top of that. So when the holder's life ends without a word, its use is at
// most Tokens and what the pace allowed in the time since it last heard the root;
// the rest of its grant is known to be unspent.
type Allowance struct {
	// Sequence numbers a holder's allowances on one budget, from 1; 0 means that it
	// has none and may use its whole grant at any time.
	Sequence uint64 `msgpack:"q"`
	// Tokens is cumulative, Pace in tokens a second.
	Tokens uint64 `msgpack:"t"`
	Pace   uint64 `msgpack:"p"`
}

// MostUsed is the most that a holder may have used under an allowance after a time
// without the root, in tokens.
func (a Allowance) MostUsed(silence time.Duration) uint64 {
	if silence <= SilentAfter {
		return a.Tokens
	}
	return a.Tokens + a.paced(silence)
}

// paced is what the pace allows in a time without the root, in tokens.
func (a Allowance) paced(silence time.Duration) uint64 {
	return uint64(float64(a.Pace) * (silence - SilentAfter).Seconds())
}

// Contact is a moment at which the root decided on a holder's report, as the
// leader's clocks showed it. The answer carries it to the holder, and the
// holder's next report back: a holder that has heard of a contact has not been
// without the root since before it.
type Contact struct {
	// Index is the log entry with the decision; 0 means no contact.
	Index uint64 `msgpack:"i"`
	// Clock names the process whose steady clock SteadyMS is read from, in
	// milliseconds.
	Clock    uint64 `msgpack:"c"`
	SteadyMS uint64 `msgpack:"s"`
	// WallMS is the time of day in milliseconds since 1970; 0 where the control
	// nodes' clocks did not agree on it.
	WallMS int64 `msgpack:"w"`
}

// Hear notes the newest contact that a holder has heard of. A holder of which
// none is known has heard of none before the entry with its first report.
func (a *Accounts) Hear(id HolderID, heard, now Contact) {
	if a.Fenced(id) {
		return
	}
	known, found := a.contacts[id]
	switch {
	case heard.Index > known.Index:
		if heard.WallMS == 0 {
			// An earlier time of day only makes the silence longer.
			heard.WallMS = known.WallMS
		}
		a.contacts[id] = heard
	case !found:
		a.contacts[id] = now
	}
}

// LastContact returns the newest contact that a holder is known to have heard
// of, or one with an index of 0.
func (a *Accounts) LastContact(id HolderID) Contact { return a.contacts[id] }

// End closes the accounts of a life that is over, without its word on what it
// spent. silence is a bound on its time without the root; what it can't have
// spent becomes grantable again.
func (a *Accounts) End(id HolderID, silence time.Duration) {
	a.Fence(id)
	if a.Closed(id) {
		return
	}
	a.closed[id.Node] = max(a.closed[id.Node], id.Incarnation)
	for _, budget := range a.budgets {
		budget.end(id, silence)
	}
	delete(a.contacts, id)
}

func (b *Budget) end(id HolderID, silence time.Duration) {
	holder := b.Holders[id]
	if holder == nil {
		return
	}
	held := SaturatingSubtract(holder.Granted, holder.Returned)
	charged := held
	if holder.Allowance.Sequence > 0 && silence != UnknownSilence {
		charged = min(held, holder.Allowance.MostUsed(silence))
		allowed := min(held, holder.Allowance.Tokens)
		b.Ended.Allowed += int64(allowed) - int64(holder.Settled)
		b.Ended.Paced += int64(charged - allowed)
	} else {
		b.Ended.Whole += int64(held) - int64(holder.Settled)
	}
	b.Forfeited += int64(charged) - int64(holder.Settled)
	b.Returned += held - charged
	b.ClosedSettled += charged
	b.lowerToTarget()
	delete(b.Holders, id)
}
