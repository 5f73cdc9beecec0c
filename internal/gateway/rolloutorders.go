package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/machine"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// minimumRollout is the shortest time in which the canary analysis can decide on a version and
	// all requests can move. maximumRollout prevents a mistyped duration from staying in effect for
	// weeks.
	minimumRollout, maximumRollout = 3 * time.Second, 24 * time.Hour
)

// Errors of rollout orders.
var (
	// ErrUnknownService means that the configuration has no such service.
	ErrUnknownService = errors.New("gateway: no such service")
	// ErrRolloutInProgress means that the same order was accepted before: its rollout is running, or
	// was ordered so recently that the new order counts as a repetition.
	ErrRolloutInProgress = errors.New("gateway: the rollout is under way")
	// ErrOtherRollout means that another rollout of the service is running.
	ErrOtherRollout = errors.New("gateway: another rollout of the service is running")
	// ErrVersionAlreadyRunning means that all of the service's instances already run the version.
	ErrVersionAlreadyRunning = errors.New("gateway: the version runs already")
	// ErrRolloutDuration means that an order's duration is out of range.
	ErrRolloutDuration = errors.New("gateway: a rollout can't take that time")
	// ErrNoRollout means that no rollout of the service was ordered.
	ErrNoRollout = errors.New("gateway: no rollout of the service was ordered")
	// errConfigurationNotRead means that the leader has not read the configuration yet.
	errConfigurationNotRead = errors.New("the leader has not read its configuration yet")
	// errOlderNodes means that nodes run builds that do not support rollouts.
	errOlderNodes = errors.New("nodes run a build that knows no rollouts")
)

// rolloutRefusal is the reason why an order was not accepted.
type rolloutRefusal uint8

const (
	rolloutAccepted rolloutRefusal = iota
	refusedUnknownService
	refusedVersionRuns
	refusedOlderNodes
)

// rolloutResponse is the response to a rollout order, or to a request for a service's rollout.
type rolloutResponse struct {
	Refusal  rolloutRefusal   `msgpack:"f"`
	Response rollout.Response `msgpack:"a"`
	Rollout  rollout.Rollout  `msgpack:"r"`
	Found    bool             `msgpack:"o"`
}

// readRolloutRequest requests a service's newest rollout from the leader.
type readRolloutRequest struct {
	Service string `msgpack:"s"`
}

// RolloutOrder is an operator's order to move a service's requests to instances of a version.
type RolloutOrder struct {
	Service  string
	Version  string
	Duration time.Duration
	// LastRollout is the service's newest rollout as a ConditionError named it, nil if the sender
	// knows none.
	LastRollout *uint64
}

// orderRolloutRequest requests that the leader commit an order for a rollout.
type orderRolloutRequest struct {
	Service     string        `msgpack:"s"`
	Version     string        `msgpack:"v"`
	Duration    time.Duration `msgpack:"d"`
	LastRollout *uint64       `msgpack:"l,omitempty"`
	// ReadsOutcome indicates that the sender knows the response rollout.Rejected.
	ReadsOutcome bool `msgpack:"o,omitempty"`
}

// OrderRollout implements Control.
func (n *Node) OrderRollout(ctx context.Context, order RolloutOrder) error {
	if order.Duration < minimumRollout || order.Duration > maximumRollout {
		return fmt.Errorf("%w: %s; from %s to %s are possible", ErrRolloutDuration, order.Duration, minimumRollout, maximumRollout)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request := orderRolloutRequest{Service: order.Service, Version: order.Version, Duration: order.Duration, LastRollout: order.LastRollout, ReadsOutcome: true}
	response, err := atLeader(ctx, n, peer.MethodOrderRollout, &request, func() (rolloutResponse, error) { return n.orderRolloutHere(ctx, request) })
	if err == nil {
		err = response.err(order)
	} else {
		err = fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	n.log.Info().Str("event", "rollout_order").Str("service", order.Service).Str("target", order.Version).Dur("duration", order.Duration).
		Str("condition", printCondition(order.LastRollout)).Uint64("rollout", response.Rollout.Revision).AnErr("error", err).Send()
	return err
}

func (a rolloutResponse) err(order RolloutOrder) error {
	switch {
	case a.Response == rollout.Rejected:
		return &ConditionError{LastOrder: a.Rollout.Revision}
	case a.Refusal == refusedUnknownService:
		return fmt.Errorf("%w: %q", ErrUnknownService, order.Service)
	case a.Refusal == refusedVersionRuns:
		return fmt.Errorf("%w: %q of service %q", ErrVersionAlreadyRunning, order.Version, order.Service)
	case a.Refusal == refusedOlderNodes:
		return fmt.Errorf("%w: %w", ErrUnavailable, errOlderNodes)
	case a.Response == rollout.InProgress:
		return fmt.Errorf("%w: to %q since entry %d, now %s", ErrRolloutInProgress, a.Rollout.Version, a.Rollout.Revision, a.Rollout.Stage)
	case a.Response == rollout.OtherInProgress:
		return fmt.Errorf("%w: to %q", ErrOtherRollout, a.Rollout.Version)
	}
	return nil
}

// orderRolloutHere commits an order if this node leads.
func (n *Node) orderRolloutHere(ctx context.Context, request orderRolloutRequest) (rolloutResponse, error) {
	order := rollout.Order{Service: request.Service, Version: request.Version, Duration: request.Duration}
	newest, err := readHere(ctx, n, (*machine.Machine).Document)
	if err != nil {
		return rolloutResponse{}, err
	}
	if newest.Version == 0 || n.documents.version() < newest.Version {
		// This node has just started and does not know the services yet.
		return rolloutResponse{}, errConfigurationNotRead
	}
	if refused := n.rolloutRefusalFor(order); refused != rolloutAccepted {
		return rolloutResponse{Refusal: refused}, nil
	}
	order.OrderedMS = time.Now().UnixMilli()
	result, err := n.commitHere(ctx, machine.Command{Rollout: &machine.RolloutCommand{Order: &order, LastRollout: request.LastRollout}})
	if err != nil {
		return rolloutResponse{}, err
	}
	if result.Rollout.Response == rollout.Rejected {
		ordersRejected.Inc()
		if !request.ReadsOutcome {
			return rolloutResponse{}, errOlderSender
		}
	}
	return rolloutResponse{Response: result.Rollout.Response, Rollout: result.Rollout.Rollout, Found: true}, nil
}

// rolloutRefusalFor returns why an order can't be accepted at the moment, or rolloutAccepted if it
// can.
func (n *Node) rolloutRefusalFor(order rollout.Order) rolloutRefusal {
	index := n.documents.index.Load()
	if index.Service(order.Service) == nil {
		return refusedUnknownService
	}
	if n.replica.shared.Load().logVersion < machine.VersionRollouts {
		return refusedOlderNodes
	}
	for _, known := range n.fleet.view.Load().alive {
		if known.ProtocolVersion < peer.ProtocolSums {
			return refusedOlderNodes
		}
	}
	if running, found := n.rollouts.current().Find(order.Service); found && running.Stage.IsRunning() {
		return rolloutAccepted
	}
	if versions := n.table.Versions(order.Service); len(versions) == 1 && versions[0] == order.Version {
		return refusedVersionRuns
	}
	return rolloutAccepted
}

// Rollout implements Control.
func (n *Node) Rollout(ctx context.Context, service string) (rollout.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request := readRolloutRequest{Service: service}
	response, err := atLeader(ctx, n, peer.MethodReadRollout, &request, func() (rolloutResponse, error) { return n.readRolloutHere(ctx, request) })
	switch {
	case err != nil:
		return rollout.Rollout{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case !response.Found:
		return rollout.Rollout{}, fmt.Errorf("%w: %q", ErrNoRollout, service)
	}
	return response.Rollout, nil
}

// readRolloutHere reads a rollout once a quorum has confirmed that this node leads.
func (n *Node) readRolloutHere(ctx context.Context, request readRolloutRequest) (rolloutResponse, error) {
	return readHere(ctx, n, func(state *machine.Machine) rolloutResponse {
		found, isFound := state.Rollouts().Find(request.Service)
		return rolloutResponse{Rollout: found, Found: isFound}
	})
}
