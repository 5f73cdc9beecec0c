package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// ConditionError means that an order would change something and did not name the last order that
// was accepted for it, so that it may be a delayed copy of an earlier order. The sender repeats the
// order with LastOrder; a copy that nobody waits for is not repeated.
type ConditionError struct {
	// LastOrder is the index of the last order, 0 if there was none.
	LastOrder uint64
}

// Error implements error.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("gateway: the order has to name the last order, which is %d", e.LastOrder)
}

// ErrCondition means that the condition of an order can't be read.
var ErrCondition = errors.New("gateway: the order's condition can't be read")

// errOlderSender means that an order was rejected that a node of an earlier build sent: it could not read
// that its order had no effect.
var errOlderSender = errors.New("the order has to name the last order, which the sender's build does not support")

// ordersRejected counts orders without effect because they did not name the last order.
var ordersRejected = metrics.GetOrCreateCounter("ravenway_orders_rejected_total")

// printCondition formats the last order that an order named, for logs.
func printCondition(lastOrder *uint64) string {
	if lastOrder == nil {
		return "none"
	}
	return fmt.Sprint(*lastOrder)
}

// conditionParameter is the query parameter of an order that names the last order that its sender
// was told of.
const conditionParameter = "last"

// ReadCondition returns the last order that an order names, nil if it names none.
func ReadCondition(request *http.Request) (*uint64, error) {
	query, err := url.ParseQuery(request.URL.RawQuery)
	if err != nil {
		return nil, fmt.Errorf("%w: query: %w", ErrCondition, err)
	}
	values, found := query[conditionParameter]
	if !found {
		return nil, nil
	}
	if len(values) > 1 {
		return nil, fmt.Errorf("%w: %s: is given %d times", ErrCondition, conditionParameter, len(values))
	}
	lastOrder, err := strconv.ParseUint(values[0], 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %q is not the number of an order", ErrCondition, conditionParameter, values[0])
	}
	return &lastOrder, nil
}

// redirect makes the sender of an order repeat it with the condition that it lacks. A copy of an order
// that a connection or a process holds back is not repeated, because its sender no longer waits for a
// response.
func (e *ConditionError) redirect(writer http.ResponseWriter, request *http.Request) {
	target := url.URL{
		Scheme: "http", Host: request.Host, Path: request.URL.Path,
		RawQuery: url.Values{conditionParameter: {strconv.FormatUint(e.LastOrder, 10)}}.Encode(),
	}
	if local, isKnown := request.Context().Value(http.LocalAddrContextKey).(net.Addr); isKnown && target.Host == "" {
		target.Host = local.String()
	}
	writer.Header().Set("Location", target.String())
	writer.WriteHeader(http.StatusTemporaryRedirect)
}

// describeCondition returns the schema's error for an order that has to name the last order.
func describeCondition(condition *ConditionError) error {
	described := connect.NewError(connect.CodeFailedPrecondition, condition)
	detail, err := connect.NewErrorDetail(&ravenwayv1.OrderCondition{LastOrder: condition.LastOrder})
	if err != nil {
		return connect.NewError(connect.CodeInternal, errors.Join(condition, err))
	}
	described.AddDetail(detail)
	return described
}
