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

// getQuarantine lists the requests against which crashes of engines are recorded, because they were
// in flight there at the time.
func getQuarantine(ctx context.Context, s *session, _ *cli.Command) error {
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetQuarantineRequest]) (*connect.Response[ravenwayv1.GetQuarantineResponse], error) {
		return c.GetQuarantine
	}, &ravenwayv1.GetQuarantineRequest{})
	if err != nil {
		return err
	}
	return s.printMessage(response, func() { s.printQuarantine(response) })
}

func (s *session) printQuarantine(response *ravenwayv1.GetQuarantineResponse) {
	s.printTable("FINGERPRINT\tSTANDING\tCOUNTED\tROUTE\tTENANT\tENDS", func(row func(...any)) {
		for _, entry := range response.GetRequests() {
			status := "held"
			if entry.GetQuarantined() {
				status = "quarantined"
			}
			var crashes []string
			for _, crash := range entry.GetEnds() {
				age := time.Duration(crash.GetAgeMilliseconds()) * time.Millisecond
				crashes = append(crashes, fmt.Sprintf("%s (%s, %s ago)", crash.GetEngine(), crash.GetSuspicion(), age.Round(time.Second)))
			}
			row(entry.GetFingerprint(), status, entry.GetCountedEnds(), entry.GetRoute(), entry.GetTenant(), strings.Join(crashes, ", "))
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
