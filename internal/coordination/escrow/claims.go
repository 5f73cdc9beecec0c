package escrow

import (
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	// claimAhead is the demand that a holder claims ahead, so that most small
	// requests need not wait for the root. It is charged when the holder's life
	// ends without a word.
	claimAhead = 400 * time.Millisecond
	// paceFactor is how much faster than it did before a holder may use its grant
	// without the root: requests come in lumps. It weighs what a cut leaves
	// unserved against what a loss of all machines charges for nothing.
	paceFactor = 1.2
	// contactInterval is the time between a holder's reports where it has nothing
	// else to say: the root knows it to be in touch up to the last one.
	contactInterval = 250 * time.Millisecond
	// raisePause and lowerPause are the least times between reports that only raise
	// or lower a claim.
	raisePause = 50 * time.Millisecond
	lowerPause = 150 * time.Millisecond
	// looseClaim is how many times the demand claimed ahead may be claimed and not
	// used before the claim is lowered: what was claimed for requests that were
	// then refused, or that used less, is charged too when the life is lost.
	looseClaim = 1.5
)

// rootContact is what a holder knows of its contact with the root.
type rootContact struct {
	// now is the time of the step in progress.
	now time.Duration
	// heard is the newest contact that an answer told of, heardAt when it came.
	heard   accounts.Contact
	heardAt time.Duration
	// told is the newest one that the root may be told of: all claims covered what
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

// claims are a holder's claims on one budget. The root's log may hold any that
// was sent and not confirmed, so the holder keeps to the least of them.
type claims struct {
	// confirmed is the newest claim that is known to be in the log, sent are the
	// later ones, in order.
	confirmed accounts.Claim
	sent      []accounts.Claim
}

// binding is the claim that the holder keeps to.
func (c *claims) binding() accounts.Claim {
	least := c.confirmed
	for _, one := range c.sent {
		least.Tokens = min(least.Tokens, one.Tokens)
		least.Pace = min(least.Pace, one.Pace)
	}
	return least
}

// last is the newest claim that was sent.
func (c *claims) last() accounts.Claim {
	if count := len(c.sent); count > 0 {
		return c.sent[count-1]
	}
	return c.confirmed
}

// send notes a claim that is about to be sent, and returns it with its number.
func (c *claims) send(tokens, pace uint64) accounts.Claim {
	last := c.last()
	if last.Sequence > 0 && last.Tokens == tokens && last.Pace == pace {
		return last
	}
	made := accounts.Claim{Sequence: last.Sequence + 1, Tokens: tokens, Pace: pace}
	c.sent = append(c.sent, made)
	return made
}

// confirm notes the claim in the log as an answer shows it.
func (c *claims) confirm(logged accounts.Claim) {
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
	return subtract(a.settled+a.reserved+a.lentTotal(), sum(a.borrowed))
}

// allowed is the most that the holder may use of its own grant now, in tokens.
func (a *account) allowed() uint64 {
	return a.claims.binding().MostUsed(a.contact.silence())
}

// isCovered tells whether all use is within what was claimed, without any pace.
func (a *account) isCovered() bool { return a.ownUse() <= a.claims.binding().Tokens }

// claimedAhead is how much the holder wants to have claimed beyond its use.
func (a *account) claimedAhead() uint64 {
	return uint64(a.reserving.at(a.contact.now) * claimAhead.Seconds())
}

// claim makes the claim that goes with a report. Without the root it is never
// lowered: it would bind the holder, though nobody may ever hear of it.
func (a *account) claim() accounts.Claim {
	tokens := a.ownUse() + a.waiting() + a.claimedAhead()
	pace := uint64(paceFactor * a.reserving.at(a.contact.now))
	binding := a.claims.binding()
	if a.contact.silence() > accounts.SilentAfter {
		tokens, pace = max(tokens, binding.Tokens), max(pace, binding.Pace)
	}
	return a.claims.send(tokens, pace)
}

// claimDue tells whether a claim is to be renewed though no request waits: too
// little is claimed ahead, or much too much.
func (a *account) claimDue() bool {
	since := a.contact.now - a.reportedAt
	if since < raisePause || len(a.claims.sent) > 0 {
		return false
	}
	use, claimed, ahead := a.ownUse(), a.claims.confirmed.Tokens, a.claimedAhead()
	if use+ahead/2 > claimed {
		return a.unreserved() > 0 || use > claimed
	}
	return since >= lowerPause && float64(claimed-use) > looseClaim*float64(ahead)
}

// hear notes a contact that an answer tells of.
func (h *Holder) hear(contact accounts.Contact) {
	if contact.Index > h.contact.heard.Index {
		h.contact.heard, h.contact.heardAt = contact, h.contact.now
	}
}

// contactToTell is the newest contact that the root may be told of. Once it is
// told, the root counts the time without it from there, and so the claims must
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
	return h.options.Claims && h.contact.heard.Index > 0 && h.contact.now-h.contact.reportedAt >= contactInterval
}

func subtract(value, subtrahend uint64) uint64 { return value - min(value, subtrahend) }
