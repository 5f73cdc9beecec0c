package operatorcli

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// startRollout orders a rollout. It needs no operation id: the response to a repeated order is that
// the rollout is in progress.
func startRollout(ctx context.Context, s *session, command *cli.Command) error {
	given, err := arguments(command, 2, 2)
	if err != nil {
		return err
	}
	_, err = withCondition(func(lastOrder *uint64) (*ravenwayv1.OrderRolloutResponse, error) {
		request := &ravenwayv1.OrderRolloutRequest{
			Service: given[0], Version: given[1], DurationMilliseconds: uint64(max(0, command.Duration("within").Milliseconds())), LastOrder: lastOrder,
		}
		return call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.OrderRolloutRequest]) (*connect.Response[ravenwayv1.OrderRolloutResponse], error) {
			return c.OrderRollout
		}, request)
	})
	if ExitCode(err) == ExitUnknownOutcome {
		return exitWith(ExitUnknownOutcome, "%w\nthe order can be given again", err)
	}
	if err != nil {
		return err
	}
	fmt.Fprintln(s.out, "ordered; see ravenway rollout list")
	return nil
}

// listRollouts shows the rollouts that are in effect on the responding node.
func listRollouts(ctx context.Context, s *session, _ *cli.Command) error {
	response, err := s.status(ctx)
	if err != nil {
		return err
	}
	return s.printMessage(response, func() { s.printRollouts(response) })
}

func (s *session) printRollouts(response *ravenwayv1.GetStatusResponse) {
	if len(response.GetRollouts()) == 0 {
		return
	}
	s.printTable("SERVICE\tVERSION\tSTAGE\tWITHIN\tORDER\tREASON", func(row func(...any)) {
		for _, rollout := range response.GetRollouts() {
			duration := time.Duration(rollout.GetDurationMilliseconds()) * time.Millisecond
			row(rollout.GetService(), rollout.GetVersion(), rollout.GetStage(), duration, rollout.GetRevision(), rollout.GetReason())
		}
	})
}
