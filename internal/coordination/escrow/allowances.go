package escrow

import (
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	// allowanceAhead is how much future use a holder's allowance covers, so that most small
	// requests don't wait for the root. It is charged if the holder's incarnation crashes without a
	// final report.
	allowanceAhead = 400 * time.Millisecond
	// paceFactor sets an allowance's pace, the rate at which a holder may use its grant without contact
	// to the root, as a multiple of its rate before: requests arrive in bursts. A lower factor leaves more requests unserved in a partition; a
	// higher one charges more unused tokens when all machines are lost.
	paceFactor = 1.2
	// contactInterval is the time between a holder's reports if it has nothing else to report. The root
	// knows the holder to be in contact up to the last report.
	contactInterval = 250 * time.Millisecond
	// raiseInterval and lowerInterval are the minimum times between reports that only raise or only
	// lower an allowance.
	raiseInterval = 50 * time.Millisecond
	lowerInterval = 150 * time.Millisecond
	// looseAllowanceFactor sets when an allowance is lowered: once it exceeds the use by this multiple
	// of the use expected within allowanceAhead. What was allowed for requests that were then refused,
	// or that used less, is charged too if the incarnation is lost.
	looseAllowanceFactor = 1.5
)

// rootContact is the state of a holder's contact with the root.
type rootContact struct {
	// now is the time of the step in progress.
	now time.Duration
	// latest is the newest contact that a response carried, and latestAt is when it was received.
	latest   accounts.Contact
	latestAt time.Duration
	// reported is the newest contact that may be reported to the root: one at which all allowances
	// covered the use so far.
	reported accounts.Contact
	// reportedAt is when the last report of any budget was sent.
	reportedAt time.Duration
}

// sinceContact returns the time since the last contact with the root. It is 0 before the first contact,
// when nothing has been granted yet.
func (c *rootContact) sinceContact() time.Duration {
	if c.latest.Index == 0 {
		return 0
	}
	return c.now - c.latestAt
}

// allowances are a holder's allowances on one budget. An allowance limits the use of a grant, so that
// the root knows what an incarnation can have used when it crashes; see accounts.Allowance. The root's
// log may hold any allowance that was sent and not confirmed, so the holder respects the minimum of
// them.
type allowances struct {
	// confirmed is the newest allowance that is known to be in the log; sent holds the later ones, in
	// order.
	confirmed accounts.Allowance
	sent      []accounts.Allowance
}

// binding returns the allowance that the holder respects.
func (c *allowances) binding() accounts.Allowance {
	minimum := c.confirmed
	for _, allowance := range c.sent {
		minimum.Tokens = min(minimum.Tokens, allowance.Tokens)
		minimum.Pace = min(minimum.Pace, allowance.Pace)
	}
	return minimum
}

// last returns the newest allowance that was sent.
func (c *allowances) last() accounts.Allowance {
	if count := len(c.sent); count > 0 {
		return c.sent[count-1]
	}
	return c.confirmed
}

// send records an allowance that is about to be sent, and returns it with its sequence number.
func (c *allowances) send(tokens, pace uint64) accounts.Allowance {
	last := c.last()
	if last.Sequence > 0 && last.Tokens == tokens && last.Pace == pace {
		return last
	}
	next := accounts.Allowance{Sequence: last.Sequence + 1, Tokens: tokens, Pace: pace}
	c.sent = append(c.sent, next)
	return next
}

// confirm records the allowance that a response reports to be in the log.
func (c *allowances) confirm(logged accounts.Allowance) {
	if logged.Sequence <= c.confirmed.Sequence {
		return
	}
	c.confirmed = logged
	kept := c.sent[:0]
	for _, allowance := range c.sent {
		if allowance.Sequence > logged.Sequence {
			kept = append(kept, allowance)
		}
	}
	c.sent = kept
}

// ownUse returns the tokens that the holder has used of its own grant: what it settled, reserved and
// lent, less what it borrowed.
func (a *account) ownUse() uint64 {
	return accounts.SaturatingSubtract(a.settled+a.reserved+a.lentTotal(), sum(a.borrowed))
}

// allowed returns the maximum tokens that the holder may have used of its own grant by now.
func (a *account) allowed() uint64 {
	return a.allowances.binding().MaximumUse(a.contact.sinceContact())
}

// isCovered reports whether all use is within the allowed tokens, without use of the pace.
func (a *account) isCovered() bool { return a.ownUse() <= a.allowances.binding().Tokens }

// allowedAhead returns the tokens that the allowance should cover beyond the present use.
func (a *account) allowedAhead() uint64 {
	return uint64(a.reserving.at(a.contact.now) * allowanceAhead.Seconds())
}

// nextAllowance returns the allowance that goes with a report. It is never lowered while the root is
// out of contact: the lower allowance would restrict the holder, though it may never reach the root.
func (a *account) nextAllowance() accounts.Allowance {
	tokens := a.ownUse() + a.totalWaiting() + a.allowedAhead()
	pace := uint64(paceFactor * a.reserving.at(a.contact.now))
	binding := a.allowances.binding()
	if a.contact.sinceContact() > accounts.ContactTimeout {
		tokens, pace = max(tokens, binding.Tokens), max(pace, binding.Pace)
	}
	return a.allowances.send(tokens, pace)
}

// allowanceDue reports whether the allowance is to be renewed though no request waits, because it
// covers too little ahead or far too much.
func (a *account) allowanceDue() bool {
	since := a.contact.now - a.reportedAt
	if since < raiseInterval || len(a.allowances.sent) > 0 {
		return false
	}
	use, allowed, ahead := a.ownUse(), a.allowances.confirmed.Tokens, a.allowedAhead()
	if use+ahead/2 > allowed {
		return a.unreserved() > 0 || use > allowed
	}
	return since >= lowerInterval && float64(allowed-use) > looseAllowanceFactor*float64(ahead)
}

// receiveContact records the contact that a response carries.
func (h *Holder) receiveContact(contact accounts.Contact) {
	if contact.Index > h.contact.latest.Index {
		h.contact.latest, h.contact.latestAt = contact, h.contact.now
	}
}

// contactToReport returns the newest contact that may be reported to the root. The root then measures
// the time without contact from there, so the allowances must cover all earlier use.
func (h *Holder) contactToReport() accounts.Contact {
	for _, budgetAccount := range h.accounts {
		if !budgetAccount.isCovered() {
			return h.contact.reported
		}
	}
	h.contact.reported = h.contact.latest
	return h.contact.reported
}

// contactDue reports whether a report is due only to keep up the contact with the root.
func (h *Holder) contactDue() bool {
	return h.options.Allowances && h.contact.latest.Index > 0 && h.contact.now-h.contact.reportedAt >= contactInterval
}
