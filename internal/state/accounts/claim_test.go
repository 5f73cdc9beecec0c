package accounts

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// granted makes accounts in which one life holds 1,000 tokens of a limit of
// 2,000, claims 200, settled 150 and may go on with 100 a second.
func granted(claim Claim) (*Accounts, HolderID) {
	all := New()
	all.SetLimit("b", 2000)
	id := HolderID{Node: "n#1", Incarnation: 1}
	all.Take(id, Report{Budget: "b", Request: 1, Need: 1000, Want: 1000, Settled: 150, Claim: claim}, 0)
	return all, id
}

func TestLifeThatIsOverIsChargedItsClaimsAndItsPace(t *testing.T) {
	claim := Claim{Sequence: 1, Tokens: 200, Pace: 100}
	for _, one := range []struct {
		name    string
		claim   Claim
		silence time.Duration
		charged uint64
	}{
		{name: "in touch to its end", claim: claim, silence: SilentAfter, charged: 200},
		{name: "two seconds in silence", claim: claim, silence: SilentAfter + 2*time.Second, charged: 400},
		{name: "longer than the grant lasts", claim: claim, silence: time.Hour, charged: 1000},
		{name: "for nobody knows how long", claim: claim, silence: UnknownSilence, charged: 1000},
		{name: "without claims", claim: Claim{}, silence: 0, charged: 1000},
	} {
		t.Run(one.name, func(t *testing.T) {
			all, id := granted(one.claim)
			all.End(id, one.silence)
			budget := all.Budget("b")
			assert.Equal(t, budget.Left(), 2000-one.charged)
			assert.Equal(t, budget.Spent(), uint64(150))
			assert.NilError(t, budget.Check())
			answer := all.Take(id, Report{Budget: "b", Request: 2, Need: 1}, 0)
			assert.Assert(t, answer.Closed, "a late report of it changes nothing")
		})
	}
}

func TestOlderClaimDoesNotReplaceANewerOne(t *testing.T) {
	all, id := granted(Claim{Sequence: 2, Tokens: 200})
	answer := all.Take(id, Report{Budget: "b", Claim: Claim{Sequence: 1, Tokens: 100}}, 0)
	assert.DeepEqual(t, answer.Claim, Claim{Sequence: 2, Tokens: 200})
}

func TestContactsAndClaimsLastThroughASnapshot(t *testing.T) {
	all, id := granted(Claim{Sequence: 1, Tokens: 200, Pace: 100})
	all.Hear(id, Contact{}, Contact{Index: 3, Clock: 7, SteadyMS: 5, WallMS: 900})
	all.Hear(id, Contact{Index: 9, Clock: 7, SteadyMS: 80}, Contact{Index: 10})
	all.Hear(id, Contact{Index: 4, Clock: 7, SteadyMS: 20}, Contact{Index: 11})
	// A contact without a time of day keeps the one before.
	heard := Contact{Index: 9, Clock: 7, SteadyMS: 80, WallMS: 900}
	assert.DeepEqual(t, all.LastContact(id), heard)
	data, err := all.Encode()
	assert.NilError(t, err)
	restored, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.LastContact(id), heard)
	restored.End(id, SilentAfter)
	assert.Equal(t, restored.Budget("b").Left(), uint64(1800))
}
