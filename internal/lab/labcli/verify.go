package labcli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/lab/deployment"
	"github.com/ravenway/ravenway/internal/lab/emulator"
	"github.com/ravenway/ravenway/internal/operatorcli"
)

const verifyInterval = 500 * time.Millisecond

// comparison holds what was billed and what ran, by tenant, in tokens, and the plain calls that
// ran.
type comparison struct {
	billed     map[string]uint64
	ran        map[string]uint64
	limits     map[string]uint64
	plainCalls int
	ranTwice   []string
}

func (c comparison) isEqual() bool {
	for tenant, ran := range c.ran {
		if c.billed[tenant] != ran {
			return false
		}
	}
	for tenant, billed := range c.billed {
		if c.ran[tenant] != billed {
			return false
		}
	}
	return true
}

// verify compares the tokens that were billed with the ground truth, tenant by tenant, until they are
// equal or the maximum wait ends.
func verify(ctx context.Context, out io.Writer, command *cli.Command) error {
	plan, err := selectedPlan(command)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(command.Duration("patience"))
	for {
		compared, err := compare(ctx, plan)
		if err != nil {
			return err
		}
		if compared.isEqual() || time.Now().After(deadline) {
			return compared.print(out, plan)
		}
		time.Sleep(verifyInterval)
	}
}

func compare(ctx context.Context, plan deployment.Plan) (comparison, error) {
	compared := comparison{billed: map[string]uint64{}, ran: map[string]uint64{}, limits: map[string]uint64{}}
	events, err := fetchTruth(ctx, plan.AdminAddress())
	if err != nil {
		return compared, err
	}
	calls := map[string]int{}
	for _, event := range events {
		switch event.Kind {
		case emulator.EventFinished, emulator.EventCancelled:
			compared.ran[event.Tenant] += event.Tokens
		case emulator.EventCall:
			compared.plainCalls++
			if event.Method == "POST" {
				calls[event.Body]++
			}
		}
	}
	for body, count := range calls {
		if count > 1 {
			compared.ranTwice = append(compared.ranTwice, fmt.Sprintf("%q ran %d times", body, count))
		}
	}
	client := operatorcli.NewClient(plan.Nodes()[0].Address(deployment.OperatorsPort), operatorcli.TokenFromEnvironment())
	response, err := client.GetBudgets(ctx, connect.NewRequest(&ravenwayv1.GetBudgetsRequest{}))
	if err != nil {
		return compared, fmt.Errorf("reading the budgets: %w", err)
	}
	for _, budget := range response.Msg.GetBudgets() {
		if budget.GetSettled() > 0 {
			compared.billed[budget.GetTenant()] += budget.GetSettled()
		}
		compared.limits[budget.GetTenant()] += budget.GetLimit()
	}
	return compared, nil
}

func (c comparison) print(out io.Writer, plan deployment.Plan) error {
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, "TENANT\tLIMIT\tBILLED\tRUN BY ENGINES\t")
	wrong := 0
	for _, tenant := range plan.TenantNames() {
		mark := "equal"
		if c.billed[tenant] != c.ran[tenant] {
			mark = "DIFFERENT"
			wrong++
		}
		if c.billed[tenant] > c.limits[tenant] {
			mark += ", OVERSPENT"
			wrong++
		}
		fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%s\n", tenant, c.limits[tenant], c.billed[tenant], c.ran[tenant], mark)
	}
	_ = writer.Flush()
	fmt.Fprintf(out, "plain calls run: %d; calls that must not be repeated but ran twice: %d\n", c.plainCalls, len(c.ranTwice))
	if wrong > 0 || len(c.ranTwice) > 0 {
		return fmt.Errorf("%d tenants have wrong bills, %d calls ran twice", wrong, len(c.ranTwice))
	}
	return nil
}
