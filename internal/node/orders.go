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
	// maximumConcurrentLoads is the maximum number of orders in progress at back ends. Further orders
	// wait.
	maximumConcurrentLoads = 2
	// orderTimeout is the timeout of one exchange with a back end, and so the longest time that a sent
	// order can take to arrive.
	orderTimeout = 2 * time.Second
	// staleLeaderTime is the longest time for which an earlier leader may still send orders after it
	// has lost its quorum: the longest election timeout, after which it steps down.
	staleLeaderTime = 2 * electionTicks * replicaTick
)

// runOrders sends committed orders to their back ends while this node leads. An order is an
// operator's command to one back end: to load a model or an adapter, or to change its role. It
// carries a fence, the index of its entry in the replicated log: back ends that check it refuse the
// late order of an earlier leader. For back ends that don't check it, a new leader first waits
// until an earlier one has stopped and its last order has arrived.
func (n *Node) runOrders(ctx context.Context) {
	var leadingSince time.Duration
	leading := false
	for pause.For(ctx, orderInterval) {
		view := n.replica.view.Load()
		if !view.leading {
			leading = false
			continue
		}
		if !leading {
			leading, leadingSince = true, n.now()
		}
		n.sendOrders(ctx, n.now()-leadingSince)
	}
}

func (n *Node) sendOrders(ctx context.Context, leadingFor time.Duration) {
	orders, err := readCommitted(ctx, n, func(state *machine.Machine) []machine.OrderRecord { return state.Orders() })
	if err != nil {
		return
	}
	loading := 0
	for _, order := range orders {
		if order.State != machine.OrderPending {
			continue
		}
		checksFence := n.checksFence(order.Order.Backend)
		if !checksFence && leadingFor < staleLeaderTime+orderTimeout {
			continue
		}
		// Back ends share the bandwidth of the weight store, so more concurrent loads would only slow
		// each of them down.
		result, progress := n.sendOrder(ctx, order, loading < maximumConcurrentLoads)
		switch progress {
		case orderLoading:
			loading++
		case orderFinished:
			_, _ = n.propose(ctx, machine.Command{OrderResult: &result})
		}
	}
}

// orderProgress is the progress of an order at its back end.
type orderProgress int

const (
	// orderWaiting means that the order was not sent, or that the back end does not respond.
	orderWaiting orderProgress = iota
	// orderLoading means that the back end has the order and is executing it.
	orderLoading
	// orderFinished means that the result of the order is known.
	orderFinished
)

func (n *Node) checksFence(backend string) bool {
	for _, known := range n.view.Load().backends {
		if known.GetName() == backend {
			return known.GetChecksFence()
		}
	}
	return false
}

// sendOrder reads the state of the back end and sends the order if the back end does not have it
// yet. Reading first avoids sending an order twice whose response was lost. With mayStart false, it
// only reads.
func (n *Node) sendOrder(ctx context.Context, order machine.OrderRecord, mayStart bool) (machine.OrderResult, orderProgress) {
	result := machine.OrderResult{FencingToken: order.FencingToken}
	target, found := n.backends.backend(order.Order.Backend)
	if !found {
		result.State, result.Detail = machine.OrderRefused, "the back end was removed"
		return result, orderFinished
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := n.engines.OrderState(ctx, target.Address)
	if err == nil && state.Fence < order.FencingToken && mayStart && n.replica.view.Load().leading {
		state, err = n.engines.SendOrder(ctx, target.Address, engine.Order{
			Fence: order.FencingToken, Kind: order.Order.Kind.String(), Target: order.Order.Target, Version: order.Order.Version,
		})
		n.log.Info().Str("event", "order_given").Str("backend", target.Name).Uint64("fence", order.FencingToken).
			Str("target", order.Order.Target).AnErr("error", err).Send()
	}
	var refused *engine.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Status == http.StatusConflict:
		result.State, result.Detail = machine.OrderSuperseded, "the back end has seen a higher fence"
		return result, orderFinished
	case err != nil:
		return result, orderWaiting
	case state.Fence > order.FencingToken:
		result.State, result.Detail = machine.OrderSuperseded, "the back end has a later order"
		return result, orderFinished
	case state.Fence == order.FencingToken && state.Loaded:
		result.State = machine.OrderDone
		return result, orderFinished
	case state.Fence == order.FencingToken:
		return result, orderLoading
	}
	return result, orderWaiting
}
