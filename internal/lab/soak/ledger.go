package soak

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/api/ravenway/v1/ravenwayv1connect"
	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// ledgerPollInterval is the time between two reads of the accounts.
	ledgerPollInterval = time.Second
	// maximumLedgerWait is the maximum time that the accounts may take to settle after the last
	// call.
	maximumLedgerWait = 10 * time.Second
)

// ledgerEntry compares what the control nodes charge a tenant with what its callers received, in
// tokens.
type ledgerEntry struct {
	tenant string
	limit  uint64
	// settled is charged finally, outstanding is held by nodes, received was received by the callers.
	settled, outstanding, received uint64
	// crashedUnreported is the part of settled that is charged for incarnations of entry nodes that
	// crashed without a final report.
	crashedUnreported int64
}

// overcharge is the number of tokens charged beyond what the callers received, as a fraction of the
// limit. It is negative if they received more.
func (e ledgerEntry) overcharge() float64 {
	return (float64(e.settled) - float64(e.received)) / float64(max(1, e.limit))
}

// checkLedger waits until the accounts have settled, and compares them with what callers received.
func (r *run) checkLedger(ctx context.Context) {
	entries := settledLedger(ctx, maximumLedgerWait, ledgerPollInterval, func() []ledgerEntry {
		entries, err := r.fleet.readLedger(ctx)
		if err != nil {
			r.reportf("accounts not read from each control node: %v", err)
		}
		return entries
	})
	if len(entries) == 0 {
		r.violationf("no control node returned the accounts within %s", maximumLedgerWait)
	}
	r.checkLedgerEntries(entries)
}

// settledLedger reads the accounts until two readings in a row are equal or the wait has passed, and
// returns the last reading that has entries.
func settledLedger(ctx context.Context, wait, interval time.Duration, read func() []ledgerEntry) []ledgerEntry {
	previous := read()
	last := previous
	for until := time.Now().Add(wait); time.Now().Before(until); {
		pause.For(ctx, interval)
		next := read()
		if len(next) > 0 {
			last = next
			if slices.Equal(next, previous) {
				break
			}
		}
		previous = next
	}
	return last
}

// checkLedgerEntries checks that each token that callers received is charged or held.
func (r *run) checkLedgerEntries(entries []ledgerEntry) {
	for _, one := range entries {
		r.reportf("ledger: %s got %d tokens of %d, charged %d (%d of it for incarnations without a final report), held by nodes %d: %.4f of the limit charged without delivery",
			one.tenant, one.received, one.limit, one.settled, one.crashedUnreported, one.outstanding, one.overcharge())
		if one.received > one.settled+one.outstanding {
			r.violationf("%s got %d tokens, of which only %d are charged or held", one.tenant, one.received, one.settled+one.outstanding)
		}
		r.ledgerOvercharge = max(r.ledgerOvercharge, one.overcharge())
	}
}

// readLedger reads the accounts from the control node that has applied the most commands; it
// returns none if no node responds, and the errors of the nodes that did not. The node with the
// highest settled total has applied the most.
func (f *fleet) readLedger(ctx context.Context) ([]ledgerEntry, error) {
	var newest []ledgerEntry
	var failures []error
	newestSettled := uint64(0)
	for _, one := range f.members {
		if !one.isControl {
			continue
		}
		entries, settled, err := f.readAccounts(ctx, one)
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", one.name, err))
		}
		if len(entries) > 0 && (newest == nil || settled > newestSettled) {
			newest, newestSettled = entries, settled
		}
	}
	return newest, errors.Join(failures...)
}

// readAccounts reads a control node's accounts and returns them with their settled total.
func (f *fleet) readAccounts(ctx context.Context, one *machine) (entries []ledgerEntry, settled uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, controlWait)
	defer cancel()
	client := ravenwayv1connect.NewOperatorServiceClient(f.client, "http://"+one.address(operatorsPort))
	response, err := client.GetBudgets(ctx, connect.NewRequest(&ravenwayv1.GetBudgetsRequest{}))
	if err != nil {
		return nil, 0, err
	}
	for _, budget := range response.Msg.GetBudgets() {
		entries = append(entries, ledgerEntry{
			tenant: budget.GetTenant(), limit: budget.GetLimit(), settled: budget.GetSettled(), outstanding: budget.GetOutstanding(),
			crashedUnreported: budget.GetEndedAllowed() + budget.GetEndedPaced() + budget.GetEndedWhole(), received: f.truth.DeliveredTokens(budget.GetTenant()),
		})
		settled += budget.GetSettled()
	}
	return entries, settled, nil
}
