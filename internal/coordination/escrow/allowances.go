package escrow

import (
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	// allowanceAhead is the use that a holder's allowance covers ahead, so that most
	// small requests need not wait for the root. It is charged when the holder's life
	// ends without a word.
	allowanceAhead = 400 * time.Millisecond
	// paceFactor is how much faster than it did before a holder may use its grant
	// without the root: requests come in lumps. It weighs what a cut leaves
	// unserved against what a loss of all machines charges for nothing.
	paceFactor = 1.2
	// contactInterval is the time between a holder's reports where it has nothing
	// else to say: the root knows it to be in touch up to the last one.
	contactInterval = 250 * time.Millisecond
	// raisePause and lowerPause are the least times between reports that only raise
	// or lower an allowance.
	raisePause = 50 * time.Millisecond
	lowerPause = 150 * time.Millisecond
	// looseAllowance is how many times that may be allowed and not used before the
	// allowance is lowered: what was asked for requests that were
	// then refused, or that used less, is charged too when the life is lost.
	looseAllowance = 1.5
)

// rootContact is what a holder knows of its contact with the root.
type rootContact struct {
	// now is the time of the step in progress.
	now time.Duration
	// heard is the newest contact that an answer told of, heardAt when it came.
	heard   accounts.Contact
	heardAt time.Duration
	// told is the newest one that the root may be told of: all allowances covered what
	// had been used when it was heard of.
	told accounts.Contact
	// reportedAt is when the last report of any budget was sent.
	reportedAt time.Duration
}

// silence is the time without the root, 0 before it was ever heard: nothing was
// granted then.
func (c *rootContact) silence() time.Duration {
	if c.heard.Index == 0 {
		return 0
	}
	return c.now - c.heardAt
}

// allowances are a holder's allowances on one budget. The root's log may hold any that
// was sent and not confirmed, so the holder keeps to the least of them.
type allowances struct {
	// confirmed is the newest allowance that is known to be in the log, sent are the
	// later ones, in order.
	confirmed accounts.Allowance
	sent      []accounts.Allowance
}

// binding is the allowance that the holder keeps to.
func (c *allowances) binding() accounts.Allowance {
	least := c.confirmed
	for _, one := range c.sent {
		least.Tokens = min(least.Tokens, one.Tokens)
		least.Pace = min(least.Pace, one.Pace)
	}
	return least
}

// last is the newest allowance that was sent.
func (c *allowances) last() accounts.Allowance {
	if count := len(c.sent); count > 0 {
		return c.sent[count-1]
	}
	return c.confirmed
}

// send notes an allowance that is about to be sent, and returns it with its number.
func (c *allowances) send(tokens, pace uint64) accounts.Allowance {
	last := c.last()
	if last.Sequence > 0 && last.Tokens == tokens && last.Pace == pace {
		return last
	}
	made := accounts.Allowance{Sequence: last.Sequence + 1, Tokens: tokens, Pace: pace}
	c.sent = append(c.sent, made)
	return made
}

// confirm notes the allowance in the log as an answer shows it.
func (c *allowances) confirm(logged accounts.Allowance) {
	if logged.Sequence <= c.confirmed.Sequence {
		return
	}
	c.confirmed = logged
	kept := c.sent[:0]
	for _, one := range c.sent {
		if one.Sequence > logged.Sequence {
			kept = append(kept, one)
		}
	}
	c.sent = kept
}

// ownUse is what the holder has used of its own grant, in tokens: all that it
// settled, reserved and lent, less what it borrowed.
func (a *account) ownUse() uint64 {
	return accounts.SaturatingSubtract(a.settled+a.reserved+a.lentTotal(), sum(a.borrowed))
}

// allowed is the most that the holder may use of its own grant now, in tokens.
func (a *account) allowed() uint64 {
	return a.allowances.binding().MaximumUse(a.contact.silence())
}

// isCovered tells whether all use is within what was allowed, without any pace.
func (a *account) isCovered() bool { return a.ownUse() <= a.allowances.binding().Tokens }

// allowedAhead is how much the holder wants its allowance to cover beyond its use.
func (a *account) allowedAhead() uint64 {
	return uint64(a.reserving.at(a.contact.now) * allowanceAhead.Seconds())
}

// nextAllowance makes the allowance that goes with a report. Without the root it is
// never lowered: it would bind the holder, though nobody may ever hear of it.
func (a *account) nextAllowance() accounts.Allowance {
	tokens := a.ownUse() + a.waiting() + a.allowedAhead()
	pace := uint64(paceFactor * a.reserving.at(a.contact.now))
	binding := a.allowances.binding()
	if a.contact.silence() > accounts.ContactTimeout {
		tokens, pace = max(tokens, binding.Tokens), max(pace, binding.Pace)
	}
	return a.allowances.send(tokens, pace)
}

// allowanceDue tells whether the allowance is to be renewed though no request
// waits: it covers too little ahead, or much too much.
func (a *account) allowanceDue() bool {
	since := a.contact.now - a.reportedAt
	if since < raisePause || len(a.allowances.sent) > 0 {
		return false
	}
	use, allowed, ahead := a.ownUse(), a.allowances.confirmed.Tokens, a.allowedAhead()
	if use+ahead/2 > allowed {
		return a.unreserved() > 0 || use > allowed
	}
	return since >= lowerPause && float64(allowed-use) > looseAllowance*float64(ahead)
}

// hear notes a contact that an answer tells of.
func (h *Holder) hear(contact accounts.Contact) {
	if contact.Index > h.contact.heard.Index {
		h.contact.heard, h.contact.heardAt = contact, h.contact.now
	}
}

// contactToTell is the newest contact that the root may be told of. Once it is
// told, the root counts the time without it from there, and so the allowances must
// cover all that was used before.
func (h *Holder) contactToTell() accounts.Contact {
	for _, found := range h.accounts {
		if !found.isCovered() {
			return h.contact.told
		}
	}
	h.contact.told = h.contact.heard
	return h.contact.told
}

// contactDue tells whether the root should hear from this holder though there
// is nothing new.
func (h *Holder) contactDue() bool {
	return h.options.Allowances && h.contact.heard.Index > 0 && h.contact.now-h.contact.reportedAt >= contactInterval
}
