package claims

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

const testDeadline = time.Second

// trio is three acceptors whose messages the test delivers explicitly.
type trio struct {
	pool           *membership.Pool
	holders        map[string]*Holder
	withoutVectors bool
}

func newTrio(withoutVectors bool) *trio {
	t := &trio{holders: map[string]*Holder{}, withoutVectors: withoutVectors}
	t.pool = membership.NewPool([]membership.Node{{Name: "h1", Zone: "z"}, {Name: "h2", Zone: "z"}, {Name: "h3", Zone: "z"}})
	for _, node := range t.pool.Nodes() {
		t.start(node.Name, 1, true)
	}
	return t
}

func (t *trio) start(name string, incarnation uint64, fresh bool) {
	t.holders[name] = NewHolder(HolderOptions{
		Self: name, Incarnation: incarnation, Pool: t.pool, Fresh: fresh, WithoutVectors: t.withoutVectors,
	})
}

func (t *trio) proposer(name string) *Proposer {
	return NewProposer(ProposerOptions{
		ID: accounts.HolderID{Node: name, Incarnation: 1}, Pool: t.pool,
		Random: rand.New(rand.NewPCG(1, 1)), WithoutVectors: t.withoutVectors,
	})
}

// questions returns a proposer's requests to all acceptors: those to a majority and, as if the resend
// interval had passed, those to the others.
func questions(of *Proposer) []Outgoing {
	asked := of.Outgoing()
	of.Tick(resendInterval)
	return append(asked, of.Outgoing()...)
}

// ask delivers a proposer's waiting request to one acceptor and returns the response without delivering
// it.
func (t *trio) ask(questions []Outgoing, holder string) Message {
	for _, question := range questions {
		if question.To == holder {
			return t.holders[holder].Step(0, question.Message)[0].Message
		}
	}
	panic("no request for " + holder)
}

func (t *trio) recover(name string) {
	for _, question := range t.holders[name].Tick(time.Minute) {
		answer := t.holders[question.To].Step(0, question.Message)
		t.holders[name].Step(0, answer[0].Message)
	}
}

func claimFor(owner string) Change {
	return func(current *Claim) *Claim {
		if current != nil {
			return nil
		}
		return &Claim{State: Dispatched, Owner: accounts.HolderID{Node: owner, Incarnation: 1}, CallerKey: true}
	}
}

// delayedPromise has router q claim a key while a promise to router p, which acceptor h1 sent in its
// earlier incarnation, is still in transit. It returns the routers whose change succeeded.
func delayedPromise(withoutVectors bool) []string {
	t := newTrio(withoutVectors)
	key := NewKey("tenant", "key")
	var winners []string
	note := func(name string) func(Outcome) {
		return func(outcome Outcome) {
			if outcome.Changed {
				winners = append(winners, name)
			}
		}
	}
	p, q := t.proposer("p"), t.proposer("a")
	p.Change(0, testDeadline, "z", key, claimFor("p"), note("p"))
	prepareP := questions(p)
	delayed := t.ask(prepareP, "h1")

	t.start("h1", 2, false)
	t.recover("h1")

	q.Change(0, testDeadline, "z", key, claimFor("a"), note("a"))
	prepareQ := questions(q)
	q.Step(0, t.ask(prepareQ, "h1"))
	q.Step(0, t.ask(prepareQ, "h3"))
	acceptQ := questions(q)
	q.Step(0, t.ask(acceptQ, "h1"))
	q.Step(0, t.ask(acceptQ, "h3"))

	p.Step(0, delayed)
	p.Step(0, t.ask(prepareP, "h2"))
	acceptP := questions(p)
	if len(acceptP) > 0 && acceptP[0].Message.Kind == MessageAccept {
		p.Step(0, t.ask(acceptP, "h1"))
		p.Step(0, t.ask(acceptP, "h2"))
	}
	return winners
}

func TestDelayedPromiseOfEarlierLifeDoesNotMakeTwoOwners(t *testing.T) {
	assert.DeepEqual(t, delayedPromise(false), []string{"a"})
}

// The same schedule without crash vectors makes two owners, so the test above can fail.
func TestDelayedPromiseMakesTwoOwnersWithoutCrashVectors(t *testing.T) {
	assert.DeepEqual(t, delayedPromise(true), []string{"a", "p"})
}

// A second change of the same node after the first settled once began with a ballot that was already
// used, so that one ballot stood for two values.
func TestBallotsAreNeverUsedTwice(t *testing.T) {
	group := newTrio(false)
	p := group.proposer("p")
	key := NewKey("tenant", "key")
	seen := map[Ballot]bool{}
	for range 3 {
		p.Change(0, testDeadline, "z", key, func(*Claim) *Claim { return nil }, func(Outcome) {})
		ballot := p.Outgoing()[0].Message.Ballot
		assert.Assert(t, !seen[ballot], "ballot %v was used twice", ballot)
		seen[ballot] = true
	}
}

func TestRestartedHolderAnswersNothingBeforeBothOthersTold(t *testing.T) {
	group := newTrio(false)
	group.start("h1", 2, false)
	p := group.proposer("p")
	p.Change(0, testDeadline, "z", NewKey("tenant", "key"), claimFor("p"), func(Outcome) {})
	asked := questions(p)
	assert.Equal(t, group.ask(asked, "h1").Refusal, RefusedRecovering)
	group.recover("h1")
	assert.Equal(t, group.ask(asked, "h1").Refusal, Refusal(0))
}

func TestFencedLifeChangesNothingMore(t *testing.T) {
	group := newTrio(false)
	p := group.proposer("p")
	var outcome Outcome
	p.Change(0, testDeadline, "z", NewKey("tenant", "key"), claimFor("p"), func(ended Outcome) { outcome = ended })
	asked := questions(p)
	for _, name := range []string{"h1", "h2"} {
		group.holders[name].Fence(accounts.HolderID{Node: "p", Incarnation: 1})
		p.Step(0, group.ask(asked, name))
	}
	assert.ErrorIs(t, outcome.Err, ErrFenced)
}

func TestLateMessageDoesNotBringBackForgottenClaim(t *testing.T) {
	group := newTrio(false)
	owner := accounts.HolderID{Node: "p", Incarnation: 1}
	mark := Message{Kind: MessageWatermark, From: "p", Incarnation: 1, Marks: []Watermark{{Owner: owner, Budget: "b", Sequence: 7}}}
	holder := group.holders["h1"]
	holder.Step(0, mark)
	late := Message{
		Kind: MessageAccept, From: "p", Incarnation: 1, Vector: Vector{"h1": 1}, Scope: "z", Key: NewKey("t", "k"),
		Ballot: Ballot{Round: 1, Proposer: owner}, Claim: &Claim{State: Dispatched, Owner: owner, Budget: "b", Sequence: 7},
	}
	assert.Equal(t, holder.Step(0, late)[0].Message.Refusal, RefusedForgotten)
}

// A node that was fenced while it ran owns claims under a later incarnation than that of its acceptor.
// Its proposals once made other nodes treat its acceptor's responses as stale, so that no claim that
// it stores could be read any more.
func TestLaterLifeAsOwnerDoesNotMakeItsHolderStale(t *testing.T) {
	group := newTrio(false)
	later := NewProposer(ProposerOptions{
		ID: accounts.HolderID{Node: "h1", Incarnation: 9}, Incarnation: 1, Pool: group.pool, Random: rand.New(rand.NewPCG(1, 1)),
	})
	key := NewKey("tenant", "key")
	later.Change(0, testDeadline, "z", key, claimFor("h1"), func(Outcome) {})
	group.ask(questions(later), "h2")

	reader := group.proposer("z")
	read := false
	reader.Change(0, testDeadline, "z", key, func(*Claim) *Claim { return nil }, func(outcome Outcome) { read = outcome.Err == nil })
	asked := questions(reader)
	reader.Step(0, group.ask(asked, "h2"))
	reader.Step(0, group.ask(asked, "h1"))
	assert.Assert(t, read)
}
