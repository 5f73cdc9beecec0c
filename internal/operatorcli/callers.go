package operatorcli

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// getCallers lists the callers with a large share of a node's work, and those that the other nodes
// of its zone tell of.
func getCallers(ctx context.Context, s *session, _ *cli.Command) error {
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetCallersRequest]) (*connect.Response[ravenwayv1.GetCallersResponse], error) {
		return c.GetCallers
	}, &ravenwayv1.GetCallersRequest{})
	if err != nil {
		return err
	}
	return s.printMessage(response, func() { s.printCallers(response) })
}

func (s *session) printCallers(response *ravenwayv1.GetCallersResponse) {
	bound := "none"
	if response.GetBound() > 0 {
		bound = fmt.Sprintf("%.1f", response.GetBound())
	}
	fmt.Fprintf(s.out, "node %s, link %.2f, bound %s, zone: %d nodes, %d with room\n",
		response.GetNode(), response.GetUtilization(), bound, response.GetZoneNodes(), response.GetZoneNodesWithRoom())
	s.printTable("NODE\tCALLER\tWORK/S\tREFUSED/S\tLINK", func(row func(...any)) {
		for _, caller := range append(response.GetCallers(), response.GetTold()...) {
			row(nameOr(caller.GetNode(), caller.GetNodeKey()), nameOr(caller.GetCaller(), caller.GetKey()),
				fmt.Sprintf("%.1f", caller.GetRate()), fmt.Sprintf("%.1f", caller.GetRefused()), fmt.Sprintf("%.2f", caller.GetUtilization()))
		}
	})
}

// nameOr returns a name, or if it is not known the key that stands for it.
func nameOr(name string, key uint32) string {
	if name == "" {
		return fmt.Sprintf("key %08x", key)
	}
	return name
}
