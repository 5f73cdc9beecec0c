package operatorcli

import (
	"errors"

	"connectrpc.com/connect"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// maximumConditions bounds how often an order is sent again with another last order: each time,
// another operator's order was accepted in between.
const maximumConditions = 3

// withCondition sends an order and repeats it with the last order that a server names. send is
// called with nil first.
func withCondition[Response any](send func(lastOrder *uint64) (*Response, error)) (*Response, error) {
	response, err := send(nil)
	for range maximumConditions {
		lastOrder := requiredLastOrder(err)
		if lastOrder == nil {
			break
		}
		response, err = send(lastOrder)
	}
	return response, err
}

// requiredLastOrder returns the last order that an order has to name according to an error, or nil.
func requiredLastOrder(err error) *uint64 {
	var failed *connect.Error
	if !errors.As(err, &failed) {
		return nil
	}
	for _, detail := range failed.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if condition, isCondition := value.(*ravenwayv1.OrderCondition); isCondition {
			return &condition.LastOrder
		}
	}
	return nil
}
