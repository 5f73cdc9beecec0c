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
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetPausesRequest]) (*connect.Response[ravenwayv1.GetPausesResponse], error) {
		return c.GetPauses
	}, &ravenwayv1.GetPausesRequest{})
	if err != nil {
		return err
	}
	return s.printMessage(response, func() { s.printPauses(response) })
}

func (s *session) printPauses(response *ravenwayv1.GetPausesResponse) {
	s.printTable("INSTANCE\tSERVICE\tZONE\tPHASE\tASKED\tLEFT\tANSWERS\tIN FLIGHT\tFIRST REQUEST", func(row func(...any)) {
		for _, pause := range response.GetPauses() {
			requested := time.Duration(pause.GetAskedMilliseconds()) * time.Millisecond
			remaining := time.Duration(pause.GetLeftMilliseconds()) * time.Millisecond
			row(pause.GetInstance(), pause.GetService(), pause.GetZone(), pause.GetPhase(), requested, remaining, pause.GetAnswers(), pause.GetInFlight(), pause.GetRequest())
		}
	})
}
