package escrow

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

// pooledHolder is a holder behind two pool holders.
func pooledHolder(pool ...string) *Holder {
	return NewHolder(HolderOptions{
		ID: accounts.HolderID{Node: "n", Incarnation: 1}, AnswerTimeout: 50 * time.Millisecond,
		Pool: func(string) []string { return pool },
	})
}

// outcome is what became of a reservation.
type outcome struct {
	ended bool
	err   error
}

func reserveInPool(holder *Holder, now time.Duration, amount uint64) *outcome {
	one := &outcome{}
	holder.Reserve(now, now+120*time.Millisecond, "b", amount, Policy{}, func(_ Reservation, err error) { one.ended, one.err = true, err })
	return one
}

func askedPool(t *testing.T, holder *Holder) (to string, request PoolRequest) {
	t.Helper()
	pools := holder.Pools()
	assert.Equal(t, len(pools), 1)
	assert.Assert(t, pools[0].Message.Request != nil)
	return pools[0].To, *pools[0].Message.Request
}

func TestPoolHoldersAreAskedBeforeTheRoot(t *testing.T) {
	holder := pooledHolder("p", "q")
	one := reserveInPool(holder, time.Second, 10)
	to, request := askedPool(t, holder)
	assert.Equal(t, to, "p")
	assert.Equal(t, request.Need, uint64(10))
	assert.Equal(t, request.PatienceMS, uint64(120))
	holder.Tick(time.Second + poolRoundTime/2)
	assert.Equal(t, len(holder.Pools()), 0)

	holder.Tick(time.Second + poolRoundTime)
	to, _ = askedPool(t, holder)
	assert.Equal(t, to, "q")
	_, due := holder.Report(time.Second + poolRoundTime)
	assert.Assert(t, !due)

	holder.Tick(time.Second + 2*poolRoundTime)
	report, due := holder.Report(time.Second + 2*poolRoundTime)
	assert.Assert(t, due)
	assert.Equal(t, report.Reports[0].Required, uint64(10))
	assert.Assert(t, !one.ended)
}

func TestRefusalOfAPoolHolderIsTheRequestsOwn(t *testing.T) {
	holder := pooledHolder("p", "q")
	one := reserveInPool(holder, time.Second, 10)
	_, request := askedPool(t, holder)
	refusal := PoolRefusal{Borrower: holder.ID(), Budget: "b", Number: request.Number}
	stale := refusal
	stale.Number++
	holder.takePoolRefusal(time.Second, stale)
	assert.Assert(t, !one.ended)

	stopping := refusal
	stopping.Stopping = true
	holder.takePoolRefusal(time.Second, stopping)
	to, _ := askedPool(t, holder)
	assert.Equal(t, to, "q")

	refusal.Exhausted = &ExhaustedError{Limit: 100, Spent: 95}
	holder.takePoolRefusal(time.Second, refusal)
	assert.Assert(t, errors.Is(one.err, ErrExhausted))
	var exhausted *ExhaustedError
	assert.Assert(t, errors.As(one.err, &exhausted))
	assert.Equal(t, exhausted.Spent, uint64(95))

	other := reserveInPool(holder, 2*time.Second, 10)
	_, request = askedPool(t, holder)
	holder.takePoolRefusal(2*time.Second, PoolRefusal{Borrower: holder.ID(), Budget: "b", Number: request.Number})
	assert.Assert(t, errors.Is(other.err, ErrUnreachable))
}

// A node with many requests of one tenant asked for one after the other: behind a way
// of 20 ms, 50 a second are the most.
func TestPoolIsAskedForAllWaitersAtOnce(t *testing.T) {
	holder := pooledHolder("p", "q")
	first, second := reserveInPool(holder, time.Second, 10), reserveInPool(holder, time.Second, 20)
	pools := holder.Pools()
	assert.Equal(t, len(pools), 2)
	assert.Equal(t, pools[1].Message.Request.Need, uint64(20))
	// Each has its own refusal.
	holder.takePoolRefusal(time.Second, PoolRefusal{Borrower: holder.ID(), Budget: "b", Number: pools[1].Message.Request.Number})
	assert.Assert(t, second.ended)
	assert.Assert(t, !first.ended)
}

// bring hands the messages of one holder to another.
func bring(now time.Duration, from, to *Holder) {
	never := func(accounts.HolderID) bool { return false }
	for _, pool := range from.Pools() {
		to.TakePool(now, pool.Message)
	}
	for _, loan := range from.Loans() {
		if loan.Message.Given != nil {
			to.TakeLoan(now, *loan.Message.Given, never)
		}
		if loan.Message.Taken != nil {
			to.LoanTaken(*loan.Message.Taken)
		}
	}
}

func TestPoolHolderLendsWhatARequestNeedsAndTheRestGoesBack(t *testing.T) {
	pool := NewHolder(HolderOptions{ID: accounts.HolderID{Node: "p", Incarnation: 1}, Pool: func(string) []string { return nil }})
	reserveInPool(pool, time.Second, 1)
	pool.Take(time.Second, AnswerMessage{Holder: pool.ID(), Answers: []Answer{{Response: accounts.Response{Budget: "b", Granted: 100, Request: 1, Limit: 1000}}}})

	holder := pooledHolder("p")
	var held Reservation
	holder.Reserve(time.Second, 2*time.Second, "b", 30, Policy{}, func(reserved Reservation, err error) {
		assert.NilError(t, err)
		held = reserved
	})
	bring(time.Second, holder, pool)
	bring(time.Second, pool, holder)
	bring(time.Second, holder, pool)
	assert.Equal(t, held.Amount, uint64(30))
	assert.Equal(t, pool.Free("b"), uint64(69))
	assert.Assert(t, pool.LoansTaken())

	holder.Settle(time.Second, held, 20)
	assert.Equal(t, holder.Free("b"), uint64(10))
	holder.Tick(time.Second)
	assert.Equal(t, holder.Free("b"), uint64(0))
	report, due := holder.Report(4 * time.Second)
	assert.Assert(t, due)
	assert.Equal(t, report.Reports[0].Settled, uint64(20))
	assert.Equal(t, report.Reports[0].Returned, uint64(10))
	assert.Equal(t, report.Reports[0].Desired, uint64(0))
}

// The demand of the zone is the pool holder's: it asks the root ahead for it.
func TestRequestsOfOthersAreThePoolHoldersDemand(t *testing.T) {
	pool := NewHolder(HolderOptions{ID: accounts.HolderID{Node: "p", Incarnation: 1}, Pool: func(string) []string { return nil }})
	pool.takePoolRequest(time.Second, PoolRequest{Borrower: accounts.HolderID{Node: "n", Incarnation: 1}, Budget: "b", Need: 50, Number: 1, PatienceMS: 100})
	report, due := pool.Report(time.Second)
	assert.Assert(t, due)
	assert.Equal(t, report.Reports[0].Required, uint64(50))
	assert.Assert(t, report.Reports[0].Desired > 50)

	pool.Tick(time.Second + 100*time.Millisecond)
	pools := pool.Pools()
	assert.Equal(t, len(pools), 1)
	assert.Equal(t, pools[0].To, "n")
	assert.Assert(t, pools[0].Message.Refusal.Exhausted == nil)
}
