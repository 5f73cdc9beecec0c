package accounts

import (
	"fmt"
	"sort"

	"github.com/vmihailenco/msgpack/v5"
)

// storedBudget is the snapshot form of a budget, with its holders and loans in a fixed order.
type storedBudget struct {
	Budget  Budget   `msgpack:"b"`
	Holders []Holder `msgpack:"h"`
	Loans   []Loan   `msgpack:"l"`
}

// storedAccounts is the snapshot form of all accounts.
type storedAccounts struct {
	Budgets []storedBudget      `msgpack:"b"`
	Fenced  []storedIncarnation `msgpack:"f"`
	Closed  []storedIncarnation `msgpack:"c"`
	// Contacts is empty in snapshots of earlier versions: without a known contact, a
	// holder's whole grant is charged.
	Contacts []storedContact `msgpack:"k"`
}

// storedContact is the newest contact that one holder has received.
type storedContact struct {
	ID      HolderID `msgpack:"h"`
	Contact Contact  `msgpack:"c"`
}

// storedIncarnation is one node's entry in the fenced or closed incarnations.
type storedIncarnation struct {
	Node        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// Encode returns the encoded accounts. The bytes depend on the accounts' content only.
func (a *Accounts) Encode() ([]byte, error) {
	stored := make([]storedBudget, 0, len(a.budgets))
	for _, name := range a.Names() {
		budget := a.budgets[name]
		entry := storedBudget{Budget: *budget}
		for _, holder := range budget.OpenHolders() {
			entry.Holders = append(entry.Holders, *holder)
		}
		for pair, total := range budget.HalfClosedLoans {
			entry.Loans = append(entry.Loans, Loan{Lender: pair.Lender, Borrower: pair.Borrower, Budget: name, Total: total})
		}
		sort.Slice(entry.Loans, func(i, j int) bool { return entry.Loans[i].less(entry.Loans[j]) })
		stored = append(stored, entry)
	}
	data, err := msgpack.Marshal(&storedAccounts{
		Budgets: stored, Fenced: sortedIncarnations(a.fencedIncarnations), Closed: sortedIncarnations(a.closedIncarnations), Contacts: a.sortedContacts(),
	})
	if err != nil {
		return nil, fmt.Errorf("encoding accounts: %w", err)
	}
	return data, nil
}

// Decode restores accounts from the bytes that Encode returned.
func Decode(data []byte) (*Accounts, error) {
	var stored storedAccounts
	if err := msgpack.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("decoding accounts: %w", err)
	}
	accounts := New()
	for position := range stored.Budgets {
		budget := accounts.Ensure(stored.Budgets[position].Budget.Name)
		holders, loans := budget.Holders, budget.HalfClosedLoans
		*budget = stored.Budgets[position].Budget
		budget.Holders, budget.HalfClosedLoans = holders, loans
		for _, loan := range stored.Budgets[position].Loans {
			loans[loan.Pair()] = loan.Total
		}
		for _, holder := range stored.Budgets[position].Holders {
			holders[holder.ID] = &holder
		}
	}
	for _, entry := range stored.Fenced {
		accounts.fencedIncarnations[entry.Node] = entry.Incarnation
	}
	for _, entry := range stored.Closed {
		accounts.closedIncarnations[entry.Node] = entry.Incarnation
	}
	for _, entry := range stored.Contacts {
		accounts.contacts[entry.ID] = entry.Contact
	}
	return accounts, nil
}

func (a *Accounts) sortedContacts() []storedContact {
	stored := make([]storedContact, 0, len(a.contacts))
	for id, contact := range a.contacts {
		stored = append(stored, storedContact{ID: id, Contact: contact})
	}
	sort.Slice(stored, func(i, j int) bool { return stored[i].ID.Less(stored[j].ID) })
	return stored
}

func (l Loan) less(other Loan) bool {
	if l.Lender != other.Lender {
		return l.Lender.Less(other.Lender)
	}
	return l.Borrower.Less(other.Borrower)
}

func sortedIncarnations(incarnations map[string]uint64) []storedIncarnation {
	stored := make([]storedIncarnation, 0, len(incarnations))
	for node, incarnation := range incarnations {
		stored = append(stored, storedIncarnation{Node: node, Incarnation: incarnation})
	}
	sort.Slice(stored, func(i, j int) bool { return stored[i].Node < stored[j].Node })
	return stored
}
