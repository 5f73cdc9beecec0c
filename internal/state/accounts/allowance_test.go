package accounts

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// accountsWithGrant returns accounts in which one incarnation holds 1,000 tokens of a limit of
// 2,000 under the given allowance, of which it has settled 150.
func accountsWithGrant(allowance Allowance) (*Accounts, HolderID) {
	root := New()
	root.SetLimit("b", 2000)
	id := HolderID{Node: "n#1", Incarnation: 1}
	root.ApplyReport(id, Report{Budget: "b", Request: 1, Required: 1000, Expected: 1000, Settled: 150, Allowance: allowance}, 0)
	return root, id
}

func TestCrashedIncarnationIsChargedItsAllowanceAndPace(t *testing.T) {
	allowance := Allowance{Sequence: 1, Tokens: 200, Pace: 100}
	for _, one := range []struct {
		name         string
		allowance    Allowance
		sinceContact time.Duration
		charged      uint64
	}{
		{name: "in contact until its end", allowance: allowance, sinceContact: ContactTimeout, charged: 200},
		{name: "two seconds beyond the contact timeout", allowance: allowance, sinceContact: ContactTimeout + 2*time.Second, charged: 400},
		{name: "longer than the grant lasts at its pace", allowance: allowance, sinceContact: time.Hour, charged: 1000},
		{name: "unknown time since the last contact", allowance: allowance, sinceContact: UnknownTimeSinceContact, charged: 1000},
		{name: "without allowances", allowance: Allowance{}, sinceContact: 0, charged: 1000},
	} {
		t.Run(one.name, func(t *testing.T) {
			root, id := accountsWithGrant(one.allowance)
			root.CloseCrashed(id, one.sinceContact)
			budget := root.Budget("b")
			assert.Equal(t, budget.Remaining(), 2000-one.charged)
			assert.Equal(t, budget.Spent(), uint64(150))
			assert.NilError(t, budget.Check())
			response := root.ApplyReport(id, Report{Budget: "b", Request: 2, Required: 1}, 0)
			assert.Assert(t, response.Closed, "a late report must be refused as closed")
		})
	}
}

func TestOlderAllowanceDoesNotReplaceANewerOne(t *testing.T) {
	root, id := accountsWithGrant(Allowance{Sequence: 2, Tokens: 200})
	response := root.ApplyReport(id, Report{Budget: "b", Allowance: Allowance{Sequence: 1, Tokens: 100}}, 0)
	assert.DeepEqual(t, response.Allowance, Allowance{Sequence: 2, Tokens: 200})
}

func TestContactsAndAllowancesAreKeptInSnapshots(t *testing.T) {
	root, id := accountsWithGrant(Allowance{Sequence: 1, Tokens: 200, Pace: 100})
	root.RecordContact(id, Contact{}, Contact{Index: 3, Clock: 7, MonotonicMS: 5, WallMS: 900})
	root.RecordContact(id, Contact{Index: 9, Clock: 7, MonotonicMS: 80}, Contact{Index: 10})
	root.RecordContact(id, Contact{Index: 4, Clock: 7, MonotonicMS: 20}, Contact{Index: 11})
	// A contact without a wall clock time keeps that of the previous one.
	received := Contact{Index: 9, Clock: 7, MonotonicMS: 80, WallMS: 900}
	assert.DeepEqual(t, root.LastContact(id), received)
	data, err := root.Encode()
	assert.NilError(t, err)
	restored, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.LastContact(id), received)
	restored.CloseCrashed(id, ContactTimeout)
	assert.Equal(t, restored.Budget("b").Remaining(), uint64(1800))
}
