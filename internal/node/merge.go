package node

import (
	"context"
	"errors"
	"fmt"

	"github.com/ravenway/ravenway/internal/coordination/claims"
	"github.com/ravenway/ravenway/internal/coordination/membership"
)

// errHomeClaimOpen indicates that another run of the same key holds the claim in the home zone and
// is not settled yet.
var errHomeClaimOpen = errors.New("the key's claim in its home zone is not settled yet")

// needsMerge reports whether a settled claim with a caller's key was made outside the home zone of
// the key. That happens while the home zone is unreachable, so the request may have been run there
// as well.
func (n *Node) needsMerge(scope string, key claims.Key, claim *claims.Claim) bool {
	return claim.HasCallerKey && claim.Used > 0 && scope != membership.ScopeGlobal && scope != n.homeZone(key)
}

// mergeWithHome settles, in the home zone of a key, a claim that was made outside it, and reports
// whether the tokens that it used are charged. Only the first settlement that reaches the register
// (the stored claim of the key) in the home zone is charged. The call may be repeated: it
// recognizes its own settlement by the reservation.
func (n *Node) mergeWithHome(ctx context.Context, key claims.Key, own *claims.Claim) (charged bool, err error) {
	home := n.homeZone(key)
	outcome, err := n.claims.change(ctx, home, key, func(current *claims.Claim) *claims.Claim {
		free := current == nil || (current.State == claims.Settled && current.Result == claims.NotRun)
		if free || (sameRun(current, own) && current.State == claims.Dispatched) {
			settled := *own
			return &settled
		}
		return nil
	})
	if err != nil {
		return false, fmt.Errorf("merging key %s with zone %s: %w", key, home, err)
	}
	if sameRun(outcome.Claim, own) {
		return true, nil
	}
	if outcome.Claim.State != claims.Settled {
		return false, errHomeClaimOpen
	}
	n.log.Info().Str("event", "double_run_merged").Str("key", key.String()).Str("charged", outcome.Claim.Owner.String()).
		Str("not_charged", own.Owner.String()).Uint64("tokens", own.Used).Send()
	return false, nil
}

// sameRun reports whether two claims are paid from the same reservation.
func sameRun(a, b *claims.Claim) bool {
	return a != nil && b != nil && a.Owner == b.Owner && a.Budget == b.Budget && a.Sequence == b.Sequence
}
