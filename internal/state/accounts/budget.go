package accounts

import (
	"fmt"
	"sort"
)

// Budget is one root account, in tokens.
type Budget struct {
	Name  string `msgpack:"n"`
	Limit uint64 `msgpack:"l"`
	// Granted and Returned are the sums over all holders, closed ones included.
	Granted  uint64 `msgpack:"g"`
	Returned uint64 `msgpack:"r"`
	// ClosedSettled is the usage charged to closed holders.
	ClosedSettled uint64 `msgpack:"c"`
	// Forfeited is the part of ClosedSettled that was charged without proof that it
	// was spent. It is negative while holders that spent borrowed tokens are closed and
	// their lenders are still open.
	Forfeited int64 `msgpack:"f"`
	// CrashCharges breaks down the charges of crashed incarnations by reason.
	CrashCharges CrashCharges `msgpack:"ec"`
	// Target is the requested limit. It is below Limit while more than Target is
	// granted; Limit is lowered towards it as grants are returned.
	Target  uint64               `msgpack:"tg"`
	Holders map[HolderID]*Holder `msgpack:"-"`
	// HalfClosedLoans are the loans of which one side's account is closed and the
	// other side's is still open.
	HalfClosedLoans map[LoanPair]uint64 `msgpack:"-"`
}

// CrashCharges are the tokens that were charged to incarnations that crashed without a
// final report, beyond their reported usage, by reason. They include the tokens that
// such an incarnation lent, while the borrowers' usage of these is in the borrowers' own
// accounts. So the sum equals Forfeited only once both sides of each loan have ended.
type CrashCharges struct {
	// Allowed were covered by the incarnation's allowance: reserved for requests in
	// flight, lent, or allowed ahead of use.
	Allowed int64 `msgpack:"a"`
	// Paced are the tokens that its pace allowed while it may have been without contact to
	// the root.
	Paced int64 `msgpack:"p"`
	// WholeGrants are the remainders of grants of incarnations that had no allowance, or whose
	// time without contact to the root is unknown.
	WholeGrants int64 `msgpack:"w"`
}

// Settled returns the usage of all holders, in tokens: what open ones reported and closed ones
// were charged.
func (b *Budget) Settled() uint64 {
	settled := b.ClosedSettled
	for _, holder := range b.Holders {
		settled += holder.Settled
	}
	return settled
}

// Spent returns the usage that is certain: settled tokens without the forfeited ones.
func (b *Budget) Spent() uint64 { return uint64(max(0, int64(b.Settled())-b.Forfeited)) }

// Committed returns the tokens that the limit must cover: those granted and not returned.
func (b *Budget) Committed() uint64 { return b.Granted - b.Returned }

// Remaining returns the tokens that can still be granted.
func (b *Budget) Remaining() uint64 { return SaturatingSubtract(b.Limit, b.Committed()) }

// Outstanding returns the tokens that are granted and neither returned nor settled.
func (b *Budget) Outstanding() uint64 { return SaturatingSubtract(b.Committed(), b.Settled()) }

// outstandingByHolders returns the tokens that holders may still spend, and the number of holders
// that have any. Lent tokens count as the lender's until its incarnation ends, even after the
// borrower has used them. So the sum is capped at the budget's outstanding tokens.
func (b *Budget) outstandingByHolders() (tokens uint64, holders int) {
	for _, holder := range b.Holders {
		if remaining := holder.Outstanding(); remaining > 0 {
			tokens += remaining
			holders++
		}
	}
	return min(tokens, b.Outstanding()), holders
}

// TotalDesired returns the total that all holders would hold ahead of demand.
func (b *Budget) TotalDesired() uint64 {
	var desired uint64
	for _, holder := range b.Holders {
		desired += holder.Desired
	}
	return desired
}

// lowerToTarget lowers the limit towards its target as far as the grants that are not
// yet returned allow.
func (b *Budget) lowerToTarget() {
	if b.Target < b.Limit {
		b.Limit = max(b.Target, b.Committed())
	}
}

// OpenHolders returns the holders with an open account in the budget, sorted by ID.
func (b *Budget) OpenHolders() []*Holder {
	holders := make([]*Holder, 0, len(b.Holders))
	for _, holder := range b.Holders {
		holders = append(holders, holder)
	}
	sort.Slice(holders, func(i, j int) bool { return holders[i].ID.Less(holders[j].ID) })
	return holders
}

// Check returns an error if the account's invariant is violated.
func (b *Budget) Check() error {
	if b.Returned > b.Granted {
		return fmt.Errorf("budget %q: returned %d of %d granted", b.Name, b.Returned, b.Granted)
	}
	if b.Committed() > b.Limit {
		return fmt.Errorf("budget %q: %d are granted out of a limit of %d", b.Name, b.Committed(), b.Limit)
	}
	return nil
}

func (b *Budget) holder(id HolderID) *Holder {
	holder := b.Holders[id]
	if holder == nil {
		holder = &Holder{ID: id}
		b.Holders[id] = holder
	}
	return holder
}

func (b *Budget) applyReturn(holder *Holder, returned uint64) {
	if returned <= holder.Returned {
		return
	}
	b.Returned += returned - holder.Returned
	holder.Returned = returned
	b.lowerToTarget()
}

// grantAmount decides how many tokens to grant. It keeps the invariant: never more than can still
// be granted.
func (b *Budget) grantAmount(required, expected uint64, sharePercent uint32) uint64 {
	if sharePercent == 0 {
		sharePercent = DefaultGrantSharePercent
	}
	remaining := b.Remaining()
	share := remaining / 100 * uint64(sharePercent)
	amount := max(required, min(expected, share))
	if amount > remaining {
		if required > remaining {
			return 0
		}
		return remaining
	}
	return amount
}
