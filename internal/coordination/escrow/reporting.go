package escrow

import (
	"fmt"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

// Report returns the report that is due to the root now, and whether there is one.
func (h *Holder) Report(now time.Duration) (ReportMessage, bool) {
	h.contact.now = now
	message := ReportMessage{Holder: h.options.ID, Recalled: h.recalled, Allowances: h.options.Allowances}
	for _, name := range h.names {
		budgetAccount := h.accounts[name]
		if budgetAccount.reportDue(now) || h.isRecalled(name) {
			message.Reports = append(message.Reports, budgetAccount.report(now))
		}
	}
	h.recalled = nil
	if len(message.Reports) == 0 && !h.contactDue() {
		return ReportMessage{}, false
	}
	if h.options.Allowances {
		message.LastContact = h.contactToReport()
		h.contact.reportedAt = now
	}
	return message, true
}

func (h *Holder) isRecalled(budget string) bool {
	return slices.ContainsFunc(h.recalled, func(recall RecallMessage) bool { return recall.Budget == budget })
}

// HandleResponse applies the root's responses. It returns those whose watermarks have advanced, and so are
// in the root's log, so that the caller can forget the claims up to them.
func (h *Holder) HandleResponse(now time.Duration, message ResponseMessage) []accounts.Response {
	if message.Holder != h.options.ID {
		return nil
	}
	h.contact.now = now
	h.receiveContact(message.Contact)
	var advanced []accounts.Response
	for _, response := range message.Responses {
		budgetAccount := h.accounts[response.Budget]
		if budgetAccount == nil {
			continue
		}
		budgetAccount.granted = max(budgetAccount.granted, response.Granted)
		if budgetAccount.confirm(response.Response) {
			advanced = append(advanced, response.Response)
		}
		h.applyResponse(now, budgetAccount, response)
	}
	return advanced
}

func (h *Holder) applyResponse(now time.Duration, budgetAccount *account, response Response) {
	switch {
	case response.Closed:
		h.close()
		return
	case response.Unknown:
		budgetAccount.requested = false
		h.refuseAll(budgetAccount, ErrUnknownBudget)
		return
	}
	if response.Request == budgetAccount.requestNumber {
		budgetAccount.requested = false
		if response.Short && budgetAccount.shortfall() > 0 {
			h.refuseFirst(now, budgetAccount, refusalOf(response, budgetAccount.waiters[0].amount))
			return
		}
	}
	h.serve(now, budgetAccount)
}

// refusalOf returns why a request for amount tokens fell short. Holders that did not respond matter
// only if what they hold would be enough.
func refusalOf(response Response, amount uint64) error {
	exhausted := &ExhaustedError{Limit: response.Limit, Spent: response.Spent, Left: response.Remaining, Outstanding: response.Outstanding}
	if response.Unreached > 0 && !exhausted.IsFinal(amount) {
		return fmt.Errorf("%w: %d nodes that hold a part of it do not answer", ErrUnreachable, response.Unreached)
	}
	return exhausted
}

func (h *Holder) close() {
	h.closed = true
	for _, name := range h.names {
		h.refuseAll(h.accounts[name], ErrClosed)
	}
}

func (h *Holder) refuseAll(budgetAccount *account, err error) {
	waiters := budgetAccount.waiters
	budgetAccount.waiters = nil
	for _, waiting := range waiters {
		waiting.done(Reservation{}, err)
	}
}

// Recall returns everything that is free of a budget; the next Report carries the return. What the
// waiters of this node require is requested with the same report, so the root decides when everything
// unused has been returned to it.
func (h *Holder) Recall(recall RecallMessage) {
	if recall.Holder != h.options.ID {
		return
	}
	budgetAccount := h.account(recall.Budget)
	budgetAccount.granted = max(budgetAccount.granted, recall.Granted)
	budgetAccount.returned += budgetAccount.unreserved()
	h.recalled = append(h.recalled, recall)
}

// ReturnAll returns everything that is free, for a planned stop.
func (h *Holder) ReturnAll() {
	for _, budgetAccount := range h.accounts {
		if held := budgetAccount.unreserved(); held > 0 {
			budgetAccount.returned += held
			budgetAccount.reportedAt = 0
		}
	}
}

// Unreported reports whether the root may lack a report, for a planned stop.
func (h *Holder) Unreported() bool {
	for _, budgetAccount := range h.accounts {
		if budgetAccount.unconfirmed() {
			return true
		}
	}
	return false
}

// ReportAgain makes the next Report repeat everything that the root has not confirmed, for a planned
// stop.
func (h *Holder) ReportAgain() {
	for _, budgetAccount := range h.accounts {
		if budgetAccount.unconfirmed() {
			budgetAccount.reportedAt = 0
		}
	}
}
