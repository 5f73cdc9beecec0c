package node

import (
	"context"
	"fmt"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/claims"
	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/accounts"
	"github.com/ravenway/ravenway/internal/state/machine"
)

const reclaimInterval = time.Second

// fenceRequest requests that an acceptor acknowledge no further claims of an incarnation.
type fenceRequest struct {
	Owner accounts.HolderID `msgpack:"o"`
}

// fenceResponse holds the claims and loans that a node knows of a fenced incarnation.
type fenceResponse struct {
	// Recovering indicates that the acceptor does not have all its claims yet: the fence must be
	// requested again.
	Recovering bool            `msgpack:"w"`
	Records    []claims.Record `msgpack:"r"`
	Loans      []accounts.Loan `msgpack:"l"`
}

func (n *Node) fenceLocally(ctx context.Context, request fenceRequest) (fenceResponse, error) {
	response, err := n.claims.fence(ctx, request.Owner)
	if err != nil {
		return response, err
	}
	response.Loans, err = n.escrow.loansWith(ctx, request.Owner)
	return response, err
}

// runReclaim returns to the budgets what lost holders held. A holder is an incarnation of a node
// that holds part of the budgets as grants; isLost defines when it is lost. runReclaim works only
// while this node leads.
func (n *Node) runReclaim(ctx context.Context) {
	for pause.For(ctx, reclaimInterval) {
		if !n.replica.view.Load().leading {
			continue
		}
		holders, err := readCommitted(ctx, n, func(state *machine.Machine) []accounts.HolderID { return state.Accounts().Holders() })
		if err != nil {
			continue
		}
		for _, holder := range holders {
			if !n.isLost(holder) {
				continue
			}
			if err := n.reclaim(ctx, holder); err != nil {
				n.log.Info().Str("event", "reclaim_waits").Stringer("holder", holder).Err(err).Send()
			}
		}
	}
}

// isLost reports whether an incarnation has ended, or has been unreachable for so long (DeadAfter)
// that its grant should be used elsewhere. A wrong result is safe: a fenced node that is alive
// starts a new incarnation.
func (n *Node) isLost(holder accounts.HolderID) bool {
	if holder.Node == n.name {
		return holder.Incarnation < n.escrow.id.Load().Incarnation
	}
	status, age, found := n.fleet.lastStatus(holder.Node)
	if !found {
		return n.now() > n.settings.Control.DeadAfter
	}
	return age > n.settings.Control.DeadAfter || status.OwnerIncarnation > holder.Incarnation
}

// reclaim fences an incarnation at all other nodes, settles its open claims and closes its
// accounts. Any leader can start it again after an interruption at any point.
func (n *Node) reclaim(ctx context.Context, holder accounts.HolderID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := n.propose(ctx, machine.Command{Fence: &machine.FenceCommand{Holder: holder}}); err != nil {
		return fmt.Errorf("committing the fence: %w", err)
	}
	collected, err := n.collectClaims(ctx, holder)
	if err != nil {
		return err
	}
	uses, err := n.resolveClaims(ctx, holder, &collected)
	if err != nil {
		return err
	}
	result, err := n.propose(ctx, machine.Command{Close: &machine.CloseCommand{
		Holder: holder, Uses: uses, Loans: escrow.MergeLoans(collected.registered, collected.loans),
	}})
	if err != nil {
		return fmt.Errorf("committing the close: %w", err)
	}
	n.log.Info().Str("event", "reclaimed").Stringer("holder", holder).Int("claims", len(collected.records)).Str("refused", result.Refused).Send()
	return nil
}

// collectedClaims holds everything that the other nodes know of an incarnation.
type collectedClaims struct {
	records map[claims.Register]claims.Record
	// loans are those that the other party of a loan has reported, registered those read from claim
	// registers.
	loans      []accounts.Loan
	registered []accounts.Loan
}

// collectClaims fences an incarnation at every other node and collects its claims. All of them must
// respond: only then is no claim missing and none can be added. The lost node itself is included
// only once it has a newer incarnation.
func (n *Node) collectClaims(ctx context.Context, holder accounts.HolderID) (collectedClaims, error) {
	collected := collectedClaims{records: map[claims.Register]claims.Record{}}
	for _, member := range n.acceptors.Nodes() {
		if member.Name == holder.Node && !n.hasNewerIncarnation(holder) {
			continue
		}
		response, err := n.requestFence(ctx, member.Name, holder)
		if err != nil {
			return collected, fmt.Errorf("node %s did not acknowledge the fence: %w", member.Name, err)
		}
		if response.Recovering {
			return collected, fmt.Errorf("node %s is still recovering its claims", member.Name)
		}
		collected.add(response)
	}
	return collected, nil
}

func (n *Node) hasNewerIncarnation(holder accounts.HolderID) bool {
	if holder.Node == n.name {
		return true
	}
	status, age, found := n.fleet.lastStatus(holder.Node)
	return found && age < heartbeatTimeout && status.OwnerIncarnation > holder.Incarnation
}

func (n *Node) requestFence(ctx context.Context, name string, holder accounts.HolderID) (fenceResponse, error) {
	request := fenceRequest{Owner: holder}
	if name == n.name {
		return n.fenceLocally(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout/4)
	defer cancel()
	return callNode[fenceResponse](ctx, n, name, peer.MethodFence, &request)
}

func (c *collectedClaims) add(response fenceResponse) {
	for _, record := range response.Records {
		c.records[claims.Register{Scope: record.Scope, Key: record.Key}] = record
	}
	c.loans = append(c.loans, response.Loans...)
}

// claimedReservation identifies a reservation of one incarnation.
type claimedReservation struct {
	budget   string
	sequence uint64
}

// resolveClaims settles each claim whose settlement the root does not have yet, and returns the
// tokens used by each. The root has all settlements of a budget up to its watermark, a sequence
// number.
func (n *Node) resolveClaims(ctx context.Context, holder accounts.HolderID, collected *collectedClaims) ([]accounts.FinalUse, error) {
	watermarks, err := readCommitted(ctx, n, func(state *machine.Machine) map[string]uint64 {
		watermarksByBudget := map[string]uint64{}
		for _, name := range state.Accounts().Names() {
			if account := state.Accounts().Budget(name).Holders[holder]; account != nil {
				watermarksByBudget[name] = account.Watermark
			}
		}
		return watermarksByBudget
	})
	if err != nil {
		return nil, err
	}
	var uses []accounts.FinalUse
	counted := map[claimedReservation]bool{}
	for register, record := range collected.records {
		key := register.Key
		claim := record.Claim
		if claim.State == claims.Lent {
			if err := n.readLoan(ctx, key, record, collected); err != nil {
				return nil, err
			}
			continue
		}
		if claim.Budget == "" || claim.Sequence <= watermarks[claim.Budget] {
			continue
		}
		settled, err := n.resolveClaim(ctx, key, record)
		if err != nil {
			return nil, err
		}
		if settled == nil || settled.Owner != holder || settled.Used == 0 {
			continue
		}
		if n.needsMerge(record.Scope, key, settled) {
			charged, err := n.mergeWithHome(ctx, key, settled)
			if err != nil {
				return nil, err
			}
			if !charged {
				continue
			}
		}
		if counted[claimedReservation{settled.Budget, settled.Sequence}] {
			// The same run was claimed both in its home zone and outside it.
			continue
		}
		counted[claimedReservation{settled.Budget, settled.Sequence}] = true
		uses = append(uses, accounts.FinalUse{Budget: settled.Budget, Tokens: settled.Used})
	}
	return uses, nil
}

// readLoan reads the state of a loan from its claim register and adds it to collected.registered.
func (n *Node) readLoan(ctx context.Context, key claims.Key, record claims.Record, collected *collectedClaims) error {
	outcome, err := n.claims.read(ctx, record.Scope, key)
	if err != nil {
		return fmt.Errorf("reading loan %s: %w", key, err)
	}
	if registered := outcome.Claim; registered != nil {
		collected.registered = append(collected.registered, accounts.Loan{
			Lender: registered.Owner, Borrower: registered.Borrower, Budget: registered.Budget, Total: registered.Reserved,
		})
	}
	return nil
}

// resolveClaim settles an open claim with the outcome that its back end reports.
func (n *Node) resolveClaim(ctx context.Context, key claims.Key, record claims.Record) (*claims.Claim, error) {
	outcome, err := n.claims.read(ctx, record.Scope, key)
	if err != nil {
		return nil, fmt.Errorf("reading claim %s: %w", key, err)
	}
	open := outcome.Claim
	if open == nil || open.State == claims.Settled || open.Owner != record.Claim.Owner {
		return open, nil
	}
	result, used := n.findOutcome(ctx, open.Backend, open.RequestID, open.Reserved)
	if result == 0 {
		return nil, fmt.Errorf("back end %s did not report the outcome of request %s", open.Backend, open.RequestID)
	}
	outcome, err = n.claims.change(ctx, record.Scope, key, func(current *claims.Claim) *claims.Claim {
		if current == nil || *current != *open {
			return nil
		}
		current.State, current.Result, current.Used = claims.Settled, result, used
		return current
	})
	if err != nil {
		return nil, fmt.Errorf("settling claim %s: %w", key, err)
	}
	return outcome.Claim, nil
}

// recallBudget requests that the leader recall a budget's unused grants from their holders.
func (n *Node) recallBudget(ctx context.Context, budget string) error {
	leader := n.leader()
	switch leader {
	case "":
		return errNoLeader
	case n.name:
		_, err := n.recallLocally(ctx, recallRequest{Budget: budget})
		return err
	}
	_, err := callNode[bool](ctx, n, leader, peer.MethodRecall, &recallRequest{Budget: budget})
	return err
}

// recallRequest requests that the leader recall a budget's unused grants.
type recallRequest struct {
	Budget string `msgpack:"b"`
}

func (n *Node) recallLocally(ctx context.Context, request recallRequest) (bool, error) {
	if n.replica == nil {
		return false, errNoLeader
	}
	err := n.replica.duty.Do(ctx, func() { n.replica.root.RecallAll(request.Budget) })
	return err == nil, err
}
