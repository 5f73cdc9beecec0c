package gateway

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/coordination/overload"
)

// errNoCallers means that a node serves no callers.
var errNoCallers = errors.New("only entry nodes have callers")

// GetCallers implements the schema's GetCallers.
func (o *operatorServer) GetCallers(context.Context, *connect.Request[ravenwayv1.GetCallersRequest]) (*connect.Response[ravenwayv1.GetCallersResponse], error) {
	if o.node.pipeline == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNoCallers)
	}
	response := o.node.gate.describe()
	addresses := map[overload.Key]string{}
	for _, known := range o.node.fleet.view.Load().neighbours.nodes {
		addresses[overload.KeyOf(known.Address)] = known.Address
	}
	for _, told := range response.GetTold() {
		told.Node = addresses[overload.Key(told.GetNodeKey())]
	}
	return connect.NewResponse(response), nil
}

// describe returns the gate's state for operators. What other nodes told has no node addresses.
func (c *callerGate) describe() *ravenwayv1.GetCallersResponse {
	now := c.node.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	zone := c.gate.Zone()
	response := &ravenwayv1.GetCallersResponse{
		Node: c.node.address, Utilization: c.gate.Utilization(), Bound: c.gate.Bound(),
		ZoneNodes: uint32(zone.Nodes), ZoneNodesWithRoom: uint32(zone.WithRoom),
	}
	names := map[overload.Key]string{}
	for _, caller := range c.gate.HeavyCallers(now) {
		described := describeCaller(caller.HeavyCaller)
		described.Node, described.NodeKey, described.Caller = c.node.address, uint32(c.key), caller.Name
		described.Utilization = response.GetUtilization()
		response.Callers = append(response.Callers, described)
		names[caller.Caller] = caller.Name
	}
	for _, told := range zone.Callers {
		if told.Node == c.key {
			continue
		}
		described := describeCaller(told.HeavyCaller)
		described.NodeKey, described.Utilization, described.Caller = uint32(told.Node), told.Utilization, names[told.Caller]
		response.Told = append(response.Told, described)
	}
	return response
}

func describeCaller(caller overload.HeavyCaller) *ravenwayv1.HeavyCaller {
	return &ravenwayv1.HeavyCaller{Key: uint32(caller.Caller), Rate: caller.Rate, Refused: caller.Refused}
}
