package operatorcli

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// setEvacuated returns a command that evacuates or restores a zone. It needs no operation id, since
// a repeated order changes nothing.
func setEvacuated(evacuated bool) func(context.Context, *session, *cli.Command) error {
	return func(ctx context.Context, s *session, command *cli.Command) error {
		given, err := arguments(command, 1, 1)
		if err != nil {
			return err
		}
		response, err := withCondition(func(lastOrder *uint64) (*ravenwayv1.OrderZoneResponse, error) {
			request := &ravenwayv1.OrderZoneRequest{Zone: given[0], Evacuated: evacuated, LastOrder: lastOrder}
			return call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.OrderZoneRequest]) (*connect.Response[ravenwayv1.OrderZoneResponse], error) {
				return c.OrderZone
			}, request)
		})
		if ExitCode(err) == ExitUnknownOutcome {
			return exitWith(ExitUnknownOutcome, "%w\nthe order can be given again", err)
		}
		if err != nil {
			return err
		}
		if err := s.printMessage(response, func() { s.printZones(response) }); err != nil || !command.Bool("wait") {
			return err
		}
		return s.waitUntilInEffect(ctx, "revision of the zones", response.GetEvacuationRevision(), command.Duration("wait-timeout"),
			(*ravenwayv1.NodeStatus).GetEvacuationRevision)
	}
}

func (s *session) printZones(response *ravenwayv1.OrderZoneResponse) {
	fmt.Fprintf(s.out, "evacuated zones: %s (revision %d)\n", orNone(response.GetEvacuatedZones()), response.GetEvacuationRevision())
}
