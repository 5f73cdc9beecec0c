package simulate

import (
	"fmt"
	"time"

	"github.com/ravenway/ravenway/internal/state/machine"
)

// OrderPolicy is how a fleet prevents a delayed copy of an order from reverting a later one.
type OrderPolicy int

// Policies of RunLateOrders.
const (
	// ApplyAllOrders applies each copy that arrives.
	ApplyAllOrders OrderPolicy = iota
	// DropClosedOrders drops a copy whose sender has closed its connection before a node reads it.
	DropClosedOrders
	// DropAfterStandstill drops what arrived at a process while it was frozen.
	DropAfterStandstill
	// ApplyRepeatedOrders applies an order that changes something once it has arrived twice.
	ApplyRepeatedOrders
	// ConditionOnChanges applies an order that changes something if it names the last order that
	// changed something.
	ConditionOnChanges
	// ConditionOnOrders is the fleet's policy: it applies an order that changes something if it
	// names the last order that was acknowledged.
	ConditionOnOrders
	// OrderPolicyCount is the number of policies.
	OrderPolicyCount
)

// String returns the policy's name.
func (p OrderPolicy) String() string {
	return [...]string{"apply all", "drop if the caller's connection is closed", "drop what arrived during a standstill", "apply on repetition", "condition on the last change", "condition on the last order"}[p]
}

// OrderHolder is what holds copies of orders back.
type OrderHolder int

// Holders of RunLateOrders.
const (
	// FrozenFollower holds the orders in the sockets of a frozen node.
	FrozenFollower OrderHolder = iota
	// FrozenLeader holds the orders in the sockets and the queue of the leader; another node is
	// elected meanwhile.
	FrozenLeader
	// DelayingProxy holds the orders, and the closes of their connections, between operator and node.
	DelayingProxy
	// DelayedMesh holds the orders between a node and the leader.
	DelayedMesh
	// OrderHolderCount is the number of holders.
	OrderHolderCount
)

// String returns the holder's name.
func (h OrderHolder) String() string {
	return [...]string{"a frozen follower", "a frozen leader", "a proxy that delays", "a delayed link to the leader"}[h]
}

// LateOrderOptions configures a run of RunLateOrders.
type LateOrderOptions struct {
	Seed   uint64
	Policy OrderPolicy
	Holder OrderHolder
	// Operators is the number of operators that give orders for the same zone.
	Operators int
	// Patience is how long an operator repeats an order before it gives it up.
	Patience time.Duration
}

// LateOrderResult counts the orders of a run.
type LateOrderResult struct {
	Given, Acknowledged int
	// AckTime is the sum of the times until the acknowledgements.
	AckTime time.Duration
	World   *World
}

const (
	orderControls       = 3
	orderRunEnd         = 60 * time.Second
	orderLinkDelay      = 2 * time.Millisecond
	orderAnswerTimeout  = time.Second
	orderFirstBackoff   = 50 * time.Millisecond
	orderMaximumBackoff = 400 * time.Millisecond
	orderRedirects      = 2
	orderRepetitionTime = 5 * time.Second
	longestHold         = 6 * time.Second
	orderElectionTime   = 600 * time.Millisecond
	holdShare           = 0.3
	simulatedZone       = "zone"
	// sameOrderShare is the share of orders that ask for the state that the operator ordered last.
	sameOrderShare = 0.25
)

// zoneOrder is one order of one operator, and all of its copies.
type zoneOrder struct {
	evacuated bool
	givenAt   time.Duration
	// endedAt is when the order was acknowledged or given up.
	endedAt           time.Duration
	isEnded, isAcked  bool
	hasArrivedAt      time.Duration
	hasArrivedAnyTime bool
}

// orderAnswer is the answer to one copy of an order.
type orderAnswer struct {
	isRejected bool
	lastOrder  uint64
}

// orderFleet is a control group whose log is abstracted to one state machine.
type orderFleet struct {
	*World
	options LateOrderOptions
	machine *machine.Machine
	index   uint64
	// frozenUntil is the end of each node's freeze.
	frozenUntil [orderControls]time.Duration
	leader      int
	orders      []*zoneOrder
	result      LateOrderResult
}

// RunLateOrders simulates operators that evacuate a zone and restore it while copies of their orders are
// held back. It checks after each step that the zone is in the state of an order that no later order
// replaced: one that was given after the end of the other, and acknowledged.
func RunLateOrders(options LateOrderOptions) LateOrderResult {
	f := &orderFleet{World: NewWorld(options.Seed), options: options, machine: machine.New()}
	f.orders = []*zoneOrder{{isEnded: true, isAcked: true}}
	if options.Policy == ConditionOnOrders || options.Policy == ConditionOnChanges {
		f.commit(machine.Command{Version: &machine.VersionCommand{Version: machine.OwnLogVersion}})
	}
	for range max(1, options.Operators) {
		f.After(f.upTo(time.Second), func() { f.give(false) })
	}
	f.Every(time.Second, f.freeze)
	f.RunUntil(orderRunEnd)
	f.result.World = f.World
	return f.result
}

func (f *orderFleet) upTo(most time.Duration) time.Duration {
	return time.Duration(f.Random.Int64N(int64(most)))
}

func (f *orderFleet) freeze() bool {
	if f.Random.Float64() >= holdShare || f.options.Holder > FrozenLeader {
		return true
	}
	frozen := f.leader
	if f.options.Holder == FrozenFollower {
		frozen = (f.leader + 1 + f.Random.IntN(orderControls-1)) % orderControls
	}
	for node := range orderControls {
		if f.frozenUntil[node] > f.Now {
			// Two of three nodes are needed to commit.
			return true
		}
	}
	f.Faults["freeze"]++
	f.frozenUntil[frozen] = f.Now + f.upTo(longestHold)
	f.After(orderElectionTime, func() {
		if f.leader == frozen && f.frozenUntil[frozen] > f.Now {
			f.leader = (frozen + 1 + f.Random.IntN(orderControls-1)) % orderControls
		}
	})
	return true
}

// give makes an operator give its next order; previous is the state that it ordered last.
func (f *orderFleet) give(previous bool) {
	wanted := !previous
	if f.Random.Float64() < sameOrderShare {
		wanted = previous
	}
	order := &zoneOrder{evacuated: wanted, givenAt: f.Now}
	f.orders = append(f.orders, order)
	f.result.Given++
	f.try(order, orderFirstBackoff)
}

// try sends an order to a random node, and after a timeout or a failure to another one.
func (f *orderFleet) try(order *zoneOrder, backoff time.Duration) {
	if f.Now-order.givenAt >= f.options.Patience {
		f.end(order, false)
		return
	}
	f.send(order, f.Random.IntN(orderControls), nil, orderRedirects, backoff)
}

// end ends an order, and lets its operator give the next one.
func (f *orderFleet) end(order *zoneOrder, isAcked bool) {
	order.isEnded, order.isAcked, order.endedAt = true, isAcked, f.Now
	if isAcked {
		f.result.Acknowledged++
		f.result.AckTime += f.Now - order.givenAt
	}
	f.After(f.upTo(time.Second), func() { f.give(order.evacuated) })
}

// send sends one copy of an order to a node and handles the answer, unless it is too late.
func (f *orderFleet) send(order *zoneOrder, node int, lastOrder *uint64, redirects int, backoff time.Duration) {
	isClosed := false
	f.After(orderAnswerTimeout, func() {
		if isClosed {
			return
		}
		isClosed = true
		f.After(backoff, func() { f.try(order, min(2*backoff, orderMaximumBackoff)) })
	})
	answered := func(answer orderAnswer) {
		f.After(orderLinkDelay, func() {
			if isClosed {
				return
			}
			isClosed = true
			switch {
			case !answer.isRejected:
				f.end(order, true)
			case redirects > 0:
				f.send(order, node, &answer.lastOrder, redirects-1, backoff)
			default:
				f.After(backoff, func() { f.try(order, min(2*backoff, orderMaximumBackoff)) })
			}
		})
	}
	delay := orderLinkDelay + f.hold(DelayingProxy)
	f.After(delay, func() { f.arrive(node, order, lastOrder, &isClosed, answered) })
}

// hold returns for how long a copy is held back on its way.
func (f *orderFleet) hold(at OrderHolder) time.Duration {
	if f.options.Holder != at || f.Random.Float64() >= holdShare {
		return 0
	}
	f.Faults["hold"]++
	return f.upTo(longestHold)
}

// arrive handles a copy at the node that an operator sent it to.
func (f *orderFleet) arrive(node int, order *zoneOrder, lastOrder *uint64, isClosed *bool, answered func(orderAnswer)) {
	if frozen := f.frozenUntil[node] - f.Now; frozen > 0 {
		if f.options.Policy != DropAfterStandstill {
			f.After(frozen, func() { f.arrive(node, order, lastOrder, isClosed, answered) })
		}
		return
	}
	if f.options.Policy == DropClosedOrders && *isClosed {
		return
	}
	delay := time.Duration(0)
	if node != f.leader {
		delay = orderLinkDelay + f.hold(DelayedMesh)
	}
	leader := f.leader
	f.After(delay, func() { f.arriveAtLeader(leader, order, lastOrder, answered) })
}

// arriveAtLeader handles a copy at a node that led when the copy was sent to it.
func (f *orderFleet) arriveAtLeader(node int, order *zoneOrder, lastOrder *uint64, answered func(orderAnswer)) {
	if frozen := f.frozenUntil[node] - f.Now; frozen > 0 {
		if f.options.Policy != DropAfterStandstill {
			f.After(frozen, func() { f.arriveAtLeader(node, order, lastOrder, answered) })
		}
		return
	}
	if node != f.leader {
		return
	}
	answer, isAnswered := f.apply(order, lastOrder)
	f.check()
	if isAnswered {
		answered(answer)
	}
}

// apply applies a copy of an order according to the policy. Without an answer the operator's call times out.
func (f *orderFleet) apply(order *zoneOrder, lastOrder *uint64) (answer orderAnswer, isAnswered bool) {
	isChange := f.machine.Evacuated().Contains(simulatedZone) != order.evacuated
	switch {
	case f.options.Policy == ConditionOnChanges && !isChange:
		return orderAnswer{}, true
	case f.options.Policy == ApplyRepeatedOrders && isChange:
		isRepeated := order.hasArrivedAnyTime && f.Now-order.hasArrivedAt < orderRepetitionTime
		order.hasArrivedAnyTime, order.hasArrivedAt = true, f.Now
		if !isRepeated {
			return orderAnswer{isRejected: true}, true
		}
	}
	outcome := f.commit(machine.Command{Zone: &machine.ZoneCommand{Zone: simulatedZone, Evacuated: order.evacuated, LastOrder: lastOrder}}).Zone
	return orderAnswer{isRejected: outcome.IsRejected, lastOrder: outcome.LastOrder}, true
}

func (f *orderFleet) commit(command machine.Command) machine.Result {
	data, err := machine.Encode(command)
	if err != nil {
		panic(err)
	}
	f.index++
	return f.machine.Apply(f.index, data).(machine.Result)
}

// check checks that the zone's state is that of an order that no acknowledged later order replaced.
func (f *orderFleet) check() {
	f.Checks++
	isEvacuated := f.machine.Evacuated().Contains(simulatedZone)
	for _, order := range f.orders {
		if order.evacuated == isEvacuated && !f.isReplaced(order) {
			return
		}
	}
	f.Violation = fmt.Errorf("at %s the zone is evacuated %v, which a later acknowledged order replaced", f.Now, isEvacuated)
}

// isReplaced reports whether an order was acknowledged that was given after the end of another one.
func (f *orderFleet) isReplaced(order *zoneOrder) bool {
	for _, later := range f.orders {
		if order.isEnded && later.isAcked && later.givenAt > order.endedAt {
			return true
		}
	}
	return false
}
