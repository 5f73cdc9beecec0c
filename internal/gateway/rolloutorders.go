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
	// leastRollout is the shortest time in which a version can be judged and all work moved;
	// mostRollout keeps a mistaken figure from standing for weeks.
	leastRollout, mostRollout = 3 * time.Second, 24 * time.Hour
)

// Errors of orders for rollouts.
var (
	// ErrUnknownService says that the configuration has no such service.
	ErrUnknownService = errors.New("gateway: no such service")
	// ErrRolloutUnderWay says that the same order was taken before.
	ErrRolloutUnderWay = errors.New("gateway: the rollout is under way")
	// ErrOtherRollout says that another rollout of the service is running.
	ErrOtherRollout = errors.New("gateway: another rollout of the service is running")
	// ErrVersionRuns says that all of the service's instances have the version already.
	ErrVersionRuns = errors.New("gateway: the version runs already")
	// ErrRolloutDuration says that an order can't be met in its time.
	ErrRolloutDuration = errors.New("gateway: a rollout can't take that time")
	// ErrNoRollout says that no rollout of the service was ordered.
	ErrNoRollout = errors.New("gateway: no rollout of the service was ordered")
	// errConfigurationNotRead says that the leader does not know the configuration yet.
	errConfigurationNotRead = errors.New("the leader has not read its configuration yet")
	// errOlderNodes says that nodes run builds that know no rollouts.
	errOlderNodes = errors.New("nodes run a build that knows no rollouts")
)

// rolloutRefusal tells why an order was not taken.
type rolloutRefusal uint8

const (
	rolloutTaken rolloutRefusal = iota
	refusedUnknownService
	refusedVersionRuns
	refusedOlderNodes
)

// rolloutAnswer answers an order for a rollout, or a question for one.
type rolloutAnswer struct {
	Refused rolloutRefusal   `msgpack:"f"`
	Answer  rollout.Response `msgpack:"a"`
	Rollout rollout.Rollout  `msgpack:"r"`
	Found   bool             `msgpack:"o"`
}

// rolloutQuestion asks the leader for a service's newest rollout.
type rolloutQuestion struct {
	Service string `msgpack:"s"`
}

// OrderRollout implements Control.
func (n *Node) OrderRollout(ctx context.Context, service, version string, duration time.Duration) error {
	if duration < leastRollout || duration > mostRollout {
		return fmt.Errorf("%w: %s; from %s to %s are possible", ErrRolloutDuration, duration, leastRollout, mostRollout)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := rollout.Order{Service: service, Version: version, Duration: duration}
	answer, err := atLeader(ctx, n, peer.MethodOrderRollout, &order, func() (rolloutAnswer, error) { return n.orderRolloutHere(ctx, order) })
	if err == nil {
		err = answer.err(order)
	} else {
		err = fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	n.log.Info().Str("event", "rollout_order").Str("service", service).Str("target", version).Dur("duration", duration).
		Uint64("rollout", answer.Rollout.Revision).AnErr("error", err).Send()
	return err
}

func (a rolloutAnswer) err(order rollout.Order) error {
	switch {
	case a.Refused == refusedUnknownService:
		return fmt.Errorf("%w: %q", ErrUnknownService, order.Service)
	case a.Refused == refusedVersionRuns:
		return fmt.Errorf("%w: %q of service %q", ErrVersionRuns, order.Version, order.Service)
	case a.Refused == refusedOlderNodes:
		return fmt.Errorf("%w: %w", ErrUnavailable, errOlderNodes)
	case a.Answer == rollout.InProgress:
		return fmt.Errorf("%w: to %q since entry %d, now %s", ErrRolloutUnderWay, a.Rollout.Version, a.Rollout.Revision, a.Rollout.Stage)
	case a.Answer == rollout.OtherInProgress:
		return fmt.Errorf("%w: to %q", ErrOtherRollout, a.Rollout.Version)
	}
	return nil
}

// orderRolloutHere commits an order if this node leads.
func (n *Node) orderRolloutHere(ctx context.Context, order rollout.Order) (rolloutAnswer, error) {
	held, err := readHere(ctx, n, (*machine.Machine).Document)
	if err != nil {
		return rolloutAnswer{}, err
	}
	if held.Version == 0 || n.documents.version() < held.Version {
		// This node has just started: it can't tell which services there are.
		return rolloutAnswer{}, errConfigurationNotRead
	}
	if refused := n.refusesRollout(order); refused != rolloutTaken {
		return rolloutAnswer{Refused: refused}, nil
	}
	order.OrderedMS = time.Now().UnixMilli()
	result, err := n.commitHere(ctx, machine.Command{Rollout: &machine.RolloutCommand{Order: &order}})
	if err != nil {
		return rolloutAnswer{}, err
	}
	return rolloutAnswer{Answer: result.Rollout.Response, Rollout: result.Rollout.Rollout, Found: true}, nil
}

// refusesRollout tells why an order can't be taken as things are.
func (n *Node) refusesRollout(order rollout.Order) rolloutRefusal {
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
	if running, found := n.rollouts.inForce().Find(order.Service); found && running.Stage.IsRunning() {
		return rolloutTaken
	}
	if versions := n.table.Versions(order.Service); len(versions) == 1 && versions[0] == order.Version {
		return refusedVersionRuns
	}
	return rolloutTaken
}

// Rollout implements Control.
func (n *Node) Rollout(ctx context.Context, service string) (rollout.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	question := rolloutQuestion{Service: service}
	answer, err := atLeader(ctx, n, peer.MethodReadRollout, &question, func() (rolloutAnswer, error) { return n.readRolloutHere(ctx, question) })
	switch {
	case err != nil:
		return rollout.Rollout{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case !answer.Found:
		return rollout.Rollout{}, fmt.Errorf("%w: %q", ErrNoRollout, service)
	}
	return answer.Rollout, nil
}

// readRolloutHere reads a rollout once a quorum has confirmed that this node leads.
func (n *Node) readRolloutHere(ctx context.Context, question rolloutQuestion) (rolloutAnswer, error) {
	return readHere(ctx, n, func(state *machine.Machine) rolloutAnswer {
		found, isFound := state.Rollouts().Find(question.Service)
		return rolloutAnswer{Rollout: found, Found: isFound}
	})
}
