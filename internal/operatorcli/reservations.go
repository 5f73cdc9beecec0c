package operatorcli

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// getReservations lists the prompts that engines have yet to read, at the engines that the node
// coordinates.
func getReservations(ctx context.Context, s *session, _ *cli.Command) error {
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetReservationsRequest]) (*connect.Response[ravenwayv1.GetReservationsResponse], error) {
		return c.GetReservations
	}, &ravenwayv1.GetReservationsRequest{})
	if err != nil {
		return err
	}
	return s.printMessage(response, func() { s.printReservations(response) })
}

func (s *session) printReservations(response *ravenwayv1.GetReservationsResponse) {
	s.printTable("INSTANCE\tSERVICE\tZONE\tTOKENS\tPROMPTS\tOLDEST", func(row func(...any)) {
		for _, backlog := range response.GetInstances() {
			oldest := time.Duration(backlog.GetOldestMilliseconds()) * time.Millisecond
			row(backlog.GetInstance(), backlog.GetService(), backlog.GetZone(), backlog.GetTokens(), backlog.GetPrompts(), oldest)
		}
	})
}
