package operatorcli

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// getPaths lists the engines that a node does not reach itself, and the nodes that relay its
// connections.
func getPaths(ctx context.Context, s *session, _ *cli.Command) error {
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetPathsRequest]) (*connect.Response[ravenwayv1.GetPathsResponse], error) {
		return c.GetPaths
	}, &ravenwayv1.GetPathsRequest{})
	if err != nil {
		return err
	}
	return s.printMessage(response, func() { s.printPaths(response) })
}

func (s *session) printPaths(response *ravenwayv1.GetPathsResponse) {
	milliseconds := func(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
	state := "engines are reached"
	switch {
	case response.GetIsolated():
		state = fmt.Sprintf("isolated: no engine was reached for %s, directly or through other nodes", milliseconds(response.GetLostMilliseconds()))
	case response.GetLost():
		state = fmt.Sprintf("the own path to engines has been lost for %s", milliseconds(response.GetLostMilliseconds()))
	}
	fmt.Fprintf(s.out, "%s; %d connections are relayed for other nodes\n", state, response.GetRelayedForOthers())
	s.printTable("ENGINE\tINSTANCE\tSERVICE\tLAST ATTEMPT\tUNREACHABLE FOR\tAGE\tRELAYS PREFERRED FOR", func(row func(...any)) {
		for _, engine := range response.GetEngines() {
			row(engine.GetAddress(), engine.GetInstance(), engine.GetService(), engine.GetLastAttempt(), milliseconds(engine.GetUnreachableMilliseconds()),
				milliseconds(engine.GetAgeMilliseconds()), milliseconds(engine.GetHoldMilliseconds()))
		}
	})
	s.printTable("RELAY\tCONNECTIONS", func(row func(...any)) {
		for _, relay := range response.GetRelays() {
			row(relay.GetNode(), relay.GetConnections())
		}
	})
}
