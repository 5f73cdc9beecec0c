package operatorcli

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// getLimits lists the rate limits that overloaded instances name in their responses.
func getLimits(ctx context.Context, s *session, _ *cli.Command) error {
	answer, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetLimitsRequest]) (*connect.Response[ravenwayv1.GetLimitsResponse], error) {
		return c.GetLimits
	}, &ravenwayv1.GetLimitsRequest{})
	if err != nil {
		return err
	}
	return s.show(answer, func() { s.sayLimits(answer) })
}

func (s *session) sayLimits(answer *ravenwayv1.GetLimitsResponse) {
	s.table("INSTANCE\tSERVICE\tZONE\tREQUESTS/S\tNEXT PERMIT\tPRESSURE\tHOLDER\tHEARD", func(row func(...any)) {
		for _, one := range answer.GetLimits() {
			holder := one.GetHolder()
			if holder == "" {
				holder = "none"
			}
			next := time.Duration(one.GetNextPermitMilliseconds()) * time.Millisecond
			age := time.Duration(one.GetAgeMilliseconds()) * time.Millisecond
			row(one.GetInstance(), one.GetService(), one.GetZone(), one.GetRequestsPerSecond(), next,
				fmt.Sprintf("%.2f", one.GetPressure()), holder, fmt.Sprintf("%s ago", age.Round(time.Second)))
		}
	})
}
