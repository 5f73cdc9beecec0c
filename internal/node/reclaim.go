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

// fenceQuestion requests that an acceptor acknowledge no further claims of an incarnation.
type fenceQuestion struct {
	Owner accounts.HolderID `msgpack:"o"`
}

// fenceAnswer holds the claims and loans that a node knows of a fenced incarnation.
type fenceAnswer struct {
	// Recovering indicates that the acceptor does not have all its claims yet: the fence must be
	// requested again.
	Recovering bool            `msgpack:"w"`
	Records    []claims.Record `msgpack:"r"`
	Loans      []accounts.Loan `msgpack:"l"`
}

func (n *Node) fenceHere(ctx context.Context, question fenceQuestion) (fenceAnswer, error) {
	answer, err := n.claims.fence(ctx, question.Owner)
	if err != nil {
		return answer, err
	}
	answer.Loans, err = n.escrow.loansWith(ctx, question.Owner)
	return answer, err
}

// runReclaim returns to the budgets what lost holders held. It works only while this node leads.
func (n *Node) runReclaim(ctx context.Context) {
	for pause.For(ctx, reclaimInterval) {
		if !n.replica.shared.Load().leading {
			continue
		}
		lost, err := atLeader(ctx, n, func(state *machine.Machine) []accounts.HolderID { return state.Accounts().Holders() })
		if err != nil {
			continue
		}
		for _, holder := range lost {
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
	status, age, heard := n.fleet.heard(holder.Node)
	if !heard {
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

// collected holds everything that the other nodes know of an incarnation.
type collected struct {
	records map[claims.Register]claims.Record
	// loans are those that the other party of a loan has reported, registered those read from claim
	// registers.
	loans      []accounts.Loan
	registered []accounts.Loan
}

// collectClaims fences an incarnation at every other node and collects its claims. All of them must
// respond: only then is no claim missing and none can be added. The lost node itself is included
// only once it has a newer incarnation.
func (n *Node) collectClaims(ctx context.Context, holder accounts.HolderID) (collected, error) {
	found := collected{records: map[claims.Register]claims.Record{}}
	for _, member := range n.pool.Nodes() {
		if member.Name == holder.Node && !n.hasNewLife(holder) {
			continue
		}
		answer, err := n.askFence(ctx, member.Name, holder)
		if err != nil {
			return found, fmt.Errorf("node %s did not acknowledge the fence: %w", member.Name, err)
		}
		if answer.Recovering {
			return found, fmt.Errorf("node %s is still recovering its claims", member.Name)
		}
		found.add(answer)
	}
	return found, nil
}

func (n *Node) hasNewLife(holder accounts.HolderID) bool {
	if holder.Node == n.name {
		return true
	}
	status, age, heard := n.fleet.heard(holder.Node)
	return heard && age < silentAfter && status.OwnerIncarnation > holder.Incarnation
}

func (n *Node) askFence(ctx context.Context, name string, holder accounts.HolderID) (fenceAnswer, error) {
	question := fenceQuestion{Owner: holder}
	if name == n.name {
		return n.fenceHere(ctx, question)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout/4)
	defer cancel()
	return callNode[fenceAnswer](ctx, n, name, peer.MethodFence, &question)
}

func (c *collected) add(answer fenceAnswer) {
	for _, record := range answer.Records {
		c.records[claims.Register{Scope: record.Scope, Key: record.Key}] = record
	}
	c.loans = append(c.loans, answer.Loans...)
}

// claimedReservation identifies a reservation of one incarnation.
type claimedReservation struct {
	budget   string
	sequence uint64
}

// resolveClaims settles each claim whose settlement the root does not have yet, that is, each
// beyond the root's watermark, and returns the tokens used by each.
func (n *Node) resolveClaims(ctx context.Context, holder accounts.HolderID, found *collected) ([]accounts.FinalUse, error) {
	watermarks, err := atLeader(ctx, n, func(state *machine.Machine) map[string]uint64 {
		marks := map[string]uint64{}
		for _, name := range state.Accounts().Names() {
			if account := state.Accounts().Budget(name).Holders[holder]; account != nil {
				marks[name] = account.Watermark
			}
		}
		return marks
	})
	if err != nil {
		return nil, err
	}
	var uses []accounts.FinalUse
	counted := map[claimedReservation]bool{}
	for register, record := range found.records {
		key := register.Key
		claim := record.Claim
		if claim.State == claims.Lent {
			if err := n.readLoan(ctx, key, record, found); err != nil {
				return nil, err
			}
			continue
		}
		if claim.Budget == "" || claim.Sequence <= watermarks[claim.Budget] {
			continue
		}
		ended, err := n.resolveClaim(ctx, key, record)
		if err != nil {
			return nil, err
		}
		if ended == nil || ended.Owner != holder || ended.Used == 0 {
			continue
		}
		if n.needsMerge(record.Scope, key, ended) {
			charged, err := n.mergeWithHome(ctx, key, ended)
			if err != nil {
				return nil, err
			}
			if !charged {
				continue
			}
		}
		if counted[claimedReservation{ended.Budget, ended.Sequence}] {
			// The same run was claimed both in its home zone and outside it.
			continue
		}
		counted[claimedReservation{ended.Budget, ended.Sequence}] = true
		uses = append(uses, accounts.FinalUse{Budget: ended.Budget, Tokens: ended.Used})
	}
	return uses, nil
}

// readLoan reads the registered state of a loan.
func (n *Node) readLoan(ctx context.Context, key claims.Key, record claims.Record, found *collected) error {
	outcome, err := n.claims.read(ctx, record.Scope, key)
	if err != nil {
		return fmt.Errorf("reading loan %s: %w", key, err)
	}
	if agreed := outcome.Claim; agreed != nil {
		found.registered = append(found.registered, accounts.Loan{
			Lender: agreed.Owner, Borrower: agreed.Borrower, Budget: agreed.Budget, Total: agreed.Reserved,
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
		_, err := n.recallHere(ctx, recallQuestion{Budget: budget})
		return err
	}
	_, err := callNode[bool](ctx, n, leader, peer.MethodRecall, &recallQuestion{Budget: budget})
	return err
}

// recallQuestion requests that the leader recall a budget's unused grants.
type recallQuestion struct {
	Budget string `msgpack:"b"`
}

func (n *Node) recallHere(ctx context.Context, question recallQuestion) (bool, error) {
	if n.replica == nil {
		return false, errNoLeader
	}
	err := n.replica.duty.Do(ctx, func() { n.replica.root.RecallAll(question.Budget) })
	return err == nil, err
}
