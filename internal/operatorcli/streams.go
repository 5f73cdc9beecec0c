package operatorcli

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// getStreams lists the versions on which streams began that callers may take up again.
func getStreams(ctx context.Context, s *session, _ *cli.Command) error {
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetStreamsRequest]) (*connect.Response[ravenwayv1.GetStreamsResponse], error) {
		return c.GetStreams
	}, &ravenwayv1.GetStreamsRequest{})
	if err != nil {
		return err
	}
	return s.printMessage(response, func() { s.printStreams(response) })
}

func (s *session) printStreams(response *ravenwayv1.GetStreamsResponse) {
	s.printTable("SERVICE\tVERSION\tSTREAMS\tINSTANCES", func(row func(...any)) {
		for _, version := range response.GetVersions() {
			row(version.GetService(), version.GetVersion(), version.GetStreams(), version.GetInstances())
		}
	})
	if dropped := response.GetDropped(); dropped > 0 {
		fmt.Fprintf(s.out, "%d records were dropped for want of space\n", dropped)
	}
}
