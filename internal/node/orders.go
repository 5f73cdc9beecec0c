package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/protocol/engine"
	"github.com/ravenway/ravenway/internal/state/machine"
)

const (
	orderInterval = time.Second
	// maximumLoadsAtOnce bounds the orders that back ends work on at once.
	maximumLoadsAtOnce = 2
	// orderFlight is the longest that an order can be under way.
	orderFlight = 2 * time.Second
	// orderLease is how long an earlier leader may have gone on giving orders:
	// the longest election timeout, after which it knows that it lost its quorum.
	orderLease = 2 * electionTicks * replicaTick
)

// runOrders gives back ends the orders whose intent is committed. Only the
// leader does. The fence number lets back ends that check it refuse an old
// leader's order; for those that don't, a new leader first waits until an old
// one has stopped and its last order has arrived.
func (n *Node) runOrders(ctx context.Context) {
	var leadingSince time.Duration
	leading := false
	for pause.For(ctx, orderInterval) {
		view := n.replica.shared.Load()
		if !view.leading {
			leading = false
			continue
		}
		if !leading {
			leading, leadingSince = true, n.now()
		}
		n.giveOrders(ctx, n.now()-leadingSince)
	}
}

func (n *Node) giveOrders(ctx context.Context, leadingFor time.Duration) {
	orders, err := atLeader(ctx, n, func(state *machine.Machine) []machine.OrderRecord { return state.Orders() })
	if err != nil {
		return
	}
	loading := 0
	for _, order := range orders {
		if order.State != machine.OrderPending {
			continue
		}
		checksFence := n.checksFence(order.Order.Backend)
		if !checksFence && leadingFor < orderLease+orderFlight {
			continue
		}
		// The weight store's rate is shared: more loads at once would only make
		// each of them slower.
		result, progress := n.giveOrder(ctx, order, loading < maximumLoadsAtOnce)
		switch progress {
		case orderLoading:
			loading++
		case orderEnded:
			_, _ = n.propose(ctx, machine.Command{OrderResult: &result})
		}
	}
}

// orderProgress is how far an order has come at its back end.
type orderProgress int

const (
	// orderWaiting: not given, or the back end does not answer.
	orderWaiting orderProgress = iota
	// orderLoading: given, and the back end is at it.
	orderLoading
	// orderEnded: the result is known.
	orderEnded
)

func (n *Node) checksFence(backend string) bool {
	for _, known := range n.view.Load().backends {
		if known.GetName() == backend {
			return known.GetChecksFence()
		}
	}
	return false
}

// giveOrder observes the back end first: an order whose answer was lost may
// have arrived, and is not given twice. It is given only if it may start now.
func (n *Node) giveOrder(ctx context.Context, order machine.OrderRecord, mayStart bool) (machine.OrderResult, orderProgress) {
	result := machine.OrderResult{Fence: order.Fence}
	target, found := n.backends.backend(order.Order.Backend)
	if !found {
		result.State, result.Detail = machine.OrderRefused, "the back end was removed"
		return result, orderEnded
	}
	ctx, cancel := context.WithTimeout(ctx, orderFlight)
	defer cancel()
	state, err := n.engines.OrderState(ctx, target.Address)
	if err == nil && state.Fence < order.Fence && mayStart && n.replica.shared.Load().leading {
		state, err = n.engines.SendOrder(ctx, target.Address, engine.Order{
			Fence: order.Fence, Kind: order.Order.Kind.String(), Target: order.Order.Target, Version: order.Order.Version,
		})
		n.log.Info().Str("event", "order_given").Str("backend", target.Name).Uint64("fence", order.Fence).
			Str("target", order.Order.Target).AnErr("error", err).Send()
	}
	var refused *engine.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Status == http.StatusConflict:
		result.State, result.Detail = machine.OrderSuperseded, "the back end has seen a higher fence"
		return result, orderEnded
	case err != nil:
		return result, orderWaiting
	case state.Fence > order.Fence:
		result.State, result.Detail = machine.OrderSuperseded, "the back end has a later order"
		return result, orderEnded
	case state.Fence == order.Fence && state.Loaded:
		result.State = machine.OrderDone
		return result, orderEnded
	case state.Fence == order.Fence:
		return result, orderLoading
	}
	return result, orderWaiting
}
