package operatorcli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// getQuarantine lists the requests that were in flight at engines when they crashed.
func getQuarantine(ctx context.Context, s *session, _ *cli.Command) error {
	answer, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetQuarantineRequest]) (*connect.Response[ravenwayv1.GetQuarantineResponse], error) {
		return c.GetQuarantine
	}, &ravenwayv1.GetQuarantineRequest{})
	if err != nil {
		return err
	}
	return s.show(answer, func() { s.sayQuarantine(answer) })
}

func (s *session) sayQuarantine(answer *ravenwayv1.GetQuarantineResponse) {
	s.table("FINGERPRINT\tSTANDING\tCOUNTED\tROUTE\tTENANT\tENDS", func(row func(...any)) {
		for _, one := range answer.GetRequests() {
			standing := "held"
			if one.GetQuarantined() {
				standing = "quarantined"
			}
			var ends []string
			for _, end := range one.GetEnds() {
				age := time.Duration(end.GetAgeMilliseconds()) * time.Millisecond
				ends = append(ends, fmt.Sprintf("%s (%s, %s ago)", end.GetEngine(), end.GetSuspicion(), age.Round(time.Second)))
			}
			row(one.GetFingerprint(), standing, one.GetCountedEnds(), one.GetRoute(), one.GetTenant(), strings.Join(ends, ", "))
		}
	})
}

// releaseQuarantined deletes the crashes recorded against a request.
func releaseQuarantined(ctx context.Context, s *session, command *cli.Command) error {
	given, err := arguments(command, 1, 1)
	if err != nil {
		return err
	}
	_, err = call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.ReleaseQuarantinedRequest]) (*connect.Response[ravenwayv1.ReleaseQuarantinedResponse], error) {
		return c.ReleaseQuarantined
	}, &ravenwayv1.ReleaseQuarantinedRequest{Fingerprint: given[0]})
	if err != nil {
		return err
	}
	fmt.Fprintln(s.out, "released")
	return nil
}
