package openfleet

import (
	"context"
	"errors"
	"time"

	"github.com/ravenway/ravenway/internal/gateway"
	"github.com/ravenway/ravenway/internal/state/evacuation"
)

// maximumRedirects is how often an operator repeats an order with the condition that it was told.
const maximumRedirects = 2

// withCondition sends an order and repeats it with the last order that a node names. send is called
// with nil first.
func withCondition(send func(lastOrder *uint64) error) error {
	err := send(nil)
	for range maximumRedirects {
		var condition *gateway.ConditionError
		if !errors.As(err, &condition) {
			break
		}
		err = send(&condition.LastOrder)
	}
	return err
}

// orderZoneAt sends an operator's order for a zone to a node.
func orderZoneAt(ctx context.Context, node *gateway.Node, zone string, evacuated bool) (zones evacuation.Zones, err error) {
	err = withCondition(func(lastOrder *uint64) error {
		zones, err = node.OrderZone(ctx, gateway.ZoneOrder{Zone: zone, Evacuated: evacuated, LastOrder: lastOrder})
		return err
	})
	return zones, err
}

// orderRolloutAt sends an operator's order for a rollout to a node.
func orderRolloutAt(ctx context.Context, node *gateway.Node, service, version string, duration time.Duration) error {
	return withCondition(func(lastRollout *uint64) error {
		return node.OrderRollout(ctx, gateway.RolloutOrder{Service: service, Version: version, Duration: duration, LastRollout: lastRollout})
	})
}
