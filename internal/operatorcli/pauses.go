package operatorcli

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// getPauses lists the instances that requested a pause from a node, and those that are leaving.
func getPauses(ctx context.Context, s *session, _ *cli.Command) error {
	answer, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetPausesRequest]) (*connect.Response[ravenwayv1.GetPausesResponse], error) {
		return c.GetPauses
	}, &ravenwayv1.GetPausesRequest{})
	if err != nil {
		return err
	}
	return s.show(answer, func() { s.sayPauses(answer) })
}

func (s *session) sayPauses(answer *ravenwayv1.GetPausesResponse) {
	s.table("INSTANCE\tSERVICE\tZONE\tPHASE\tASKED\tLEFT\tANSWERS\tIN FLIGHT\tFIRST REQUEST", func(row func(...any)) {
		for _, one := range answer.GetPauses() {
			asked := time.Duration(one.GetAskedMilliseconds()) * time.Millisecond
			left := time.Duration(one.GetLeftMilliseconds()) * time.Millisecond
			row(one.GetInstance(), one.GetService(), one.GetZone(), one.GetPhase(), asked, left, one.GetAnswers(), one.GetInFlight(), one.GetRequest())
		}
	})
}
