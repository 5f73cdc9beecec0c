package operatorcli

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// getLimits lists the rate limits that overloaded instances name in their responses. The issuer of
// a limit is the node that issues the permits for requests to the instance.
func getLimits(ctx context.Context, s *session, _ *cli.Command) error {
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetLimitsRequest]) (*connect.Response[ravenwayv1.GetLimitsResponse], error) {
		return c.GetLimits
	}, &ravenwayv1.GetLimitsRequest{})
	if err != nil {
		return err
	}
	return s.printMessage(response, func() { s.printLimits(response) })
}

func (s *session) printLimits(response *ravenwayv1.GetLimitsResponse) {
	s.printTable("INSTANCE\tSERVICE\tZONE\tREQUESTS/S\tNEXT PERMIT\tPRESSURE\tHOLDER\tHEARD", func(row func(...any)) {
		for _, limit := range response.GetLimits() {
			issuer := limit.GetHolder()
			if issuer == "" {
				issuer = "none"
			}
			next := time.Duration(limit.GetNextPermitMilliseconds()) * time.Millisecond
			age := time.Duration(limit.GetAgeMilliseconds()) * time.Millisecond
			row(limit.GetInstance(), limit.GetService(), limit.GetZone(), limit.GetRequestsPerSecond(), next,
				fmt.Sprintf("%.2f", limit.GetPressure()), issuer, fmt.Sprintf("%s ago", age.Round(time.Second)))
		}
	})
}
