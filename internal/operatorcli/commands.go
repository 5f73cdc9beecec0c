package operatorcli

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/api/ravenway/v1/ravenwayv1connect"
	"github.com/ravenway/ravenway/internal/logs"
)

// client is the generated client; its methods are passed to call.
type client = ravenwayv1connect.OperatorServiceClient

// Command returns the root command, which writes its output to out.
func Command(out io.Writer) *cli.Command {
	action := func(run func(context.Context, *session, *cli.Command) error) cli.ActionFunc {
		return func(ctx context.Context, command *cli.Command) error {
			opened, err := newSession(out, command)
			if err != nil {
				return err
			}
			return run(ctx, opened, command)
		}
	}
	operation := &cli.StringFlag{Name: "operation-id", Usage: "repeat an earlier operation safely by its id"}
	return &cli.Command{
		Name:                  "ravenway",
		Usage:                 "operate a ravenway fleet",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "server", Value: []string{"127.0.0.1:7102"}, Sources: cli.EnvVars("RAVENWAY_SERVER"), Usage: "operator listener of a daemon; several are tried in turn"},
			&cli.StringFlag{Name: "token-file", Sources: cli.EnvVars("RAVENWAY_TOKEN_FILE"), Usage: "file with the operator token"},
			&cli.StringFlag{Name: "output", Value: "table", Usage: "table or json"},
		},
		Commands: []*cli.Command{
			{Name: "apply", Usage: "change the catalog as a TOML or JSON file specifies", ArgsUsage: "FILE",
				Flags: append(waitFlags(), operation,
					&cli.Uint64Flag{Name: "base", Usage: "revision that the change was made from (default: the current one)"}),
				Action: action(apply)},
			{Name: "delete", Usage: "delete one catalog object", ArgsUsage: "KIND NAME", Flags: []cli.Flag{operation}, Action: action(deleteObject)},
			{Name: "get", Usage: "show the catalog", Action: action(getCatalog)},
			{Name: "status", Usage: "show the fleet as the first server sees it", Action: action(getStatus)},
			{Name: "budget", Usage: "show and change prepaid budgets", Commands: []*cli.Command{
				{Name: "get", Usage: "show one budget or all", ArgsUsage: "[BUDGET]", Action: action(getBudgets)},
				{Name: "top-up", Usage: "add tokens to a limit", ArgsUsage: "BUDGET TOKENS", Flags: []cli.Flag{operation}, Action: action(topUpBudget)},
				{Name: "lower", Usage: "subtract tokens from a limit", ArgsUsage: "BUDGET TOKENS", Flags: []cli.Flag{operation}, Action: action(lowerBudget)},
			}},
			{Name: "tenant", Usage: "tenants' keys", Commands: []*cli.Command{
				{Name: "key", Usage: "generate an API key and print it with its hash", Action: action(generateKey)},
			}},
			{Name: "backend", Usage: "back ends", Commands: []*cli.Command{
				{Name: "drain", Usage: "send a back end no new work", ArgsUsage: "BACKEND", Flags: []cli.Flag{operation}, Action: action(setDraining(true))},
				{Name: "resume", Usage: "send a drained back end work again", ArgsUsage: "BACKEND", Flags: []cli.Flag{operation}, Action: action(setDraining(false))},
				{Name: "order", Usage: "order a back end to load a model or adapter, or to change role", ArgsUsage: "BACKEND load-model|load-adapter|change-role TARGET [VERSION]", Flags: []cli.Flag{operation}, Action: action(sendOrder)},
				{Name: "orders", Usage: "show orders and their outcomes", Action: action(getOrders)},
			}},
			{Name: "zone", Usage: "evacuate zones and restore them", Commands: []*cli.Command{
				{Name: "evacuate", Usage: "send the zone's instances no new requests", ArgsUsage: "ZONE", Flags: waitFlags(), Action: action(setEvacuated(true))},
				{Name: "restore", Usage: "send the zone's instances requests again", ArgsUsage: "ZONE", Flags: waitFlags(), Action: action(setEvacuated(false))},
			}},
			{Name: "rollout", Usage: "move a service's work to back ends of another version", Commands: []*cli.Command{
				{Name: "start", Usage: "order a rollout: few requests first, all once the version is as good as the old one; otherwise it is rolled back", ArgsUsage: "SERVICE VERSION",
					Flags: []cli.Flag{&cli.DurationFlag{Name: "within", Value: time.Minute, Usage: "maximum duration of the rollout"}}, Action: action(startRollout)},
				{Name: "list", Usage: "show the newest rollout of each service", Action: action(listRollouts)},
			}},
			{Name: "quarantine", Usage: "poison requests, which crash the engines that run them", Commands: []*cli.Command{
				{Name: "list", Usage: "show the crashes recorded against requests; a control node knows the reports of all nodes", Action: action(getQuarantine)},
				{Name: "release", Usage: "delete the crashes recorded against a request: it can reach engines again", ArgsUsage: "FINGERPRINT", Action: action(releaseQuarantined)},
			}},
			{Name: "reservations", Usage: "prompts that engines have yet to read", Commands: []*cli.Command{
				{Name: "list", Usage: "show the reserved prompts at the engines that an entry node coordinates, the longest backlog first", Action: action(getReservations)},
			}},
			{Name: "limits", Usage: "rate limits that overloaded instances name", Commands: []*cli.Command{
				{Name: "list", Usage: "show the rate limits that an entry node knows, the scarcest first", Action: action(getLimits)},
			}},
			{Name: "pauses", Usage: "pauses that instances requested from entry nodes, and leaving instances", Commands: []*cli.Command{
				{Name: "list", Usage: "show the pauses requested from an entry node, the longest first", Action: action(getPauses)},
			}},
			{Name: "streams", Usage: "versions on which streams began that callers may take up again", Commands: []*cli.Command{
				{Name: "list", Usage: "show the versions, with the streams that a node has a record of, by service and version", Action: action(getStreams)},
			}},
			{Name: "paths", Usage: "an entry node's ways to engines", Commands: []*cli.Command{
				{Name: "list", Usage: "show the engines that an entry node does not reach itself, and the nodes that relay its connections", Action: action(getPaths)},
			}},
			{Name: "callers", Usage: "callers with a large share of an entry node's work", Commands: []*cli.Command{
				{Name: "list", Usage: "show an entry node's heavy callers, and those that the other nodes of its zone tell of", Action: action(getCallers)},
			}},
			{Name: "explain", Usage: "show how a request was routed, from a node or from its logs", ArgsUsage: "REQUEST",
				Flags:  []cli.Flag{&cli.StringSliceFlag{Name: "log", Usage: "log file of a node to read instead of querying the node; - is the standard input"}},
				Action: action(explain)},
			{Name: "snapshot", Usage: "make a control node write a snapshot now", Action: action(snapshot)},
		},
	}
}

// waitFlags returns the flags of commands that can wait until their change is in effect.
func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "return when the change is in effect on every reachable node"},
		&cli.DurationFlag{Name: "wait-timeout", Value: 10 * time.Second, Usage: "maximum wait"},
	}
}

func arguments(command *cli.Command, minimum, maximum int) ([]string, error) {
	given := command.Args().Slice()
	if len(given) < minimum || len(given) > maximum {
		return nil, exitWith(ExitUsage, "usage: %s %s", command.FullName(), command.ArgsUsage)
	}
	return given, nil
}

func apply(ctx context.Context, s *session, command *cli.Command) error {
	given, err := arguments(command, 1, 1)
	if err != nil {
		return err
	}
	document, err := ReadDocument(given[0])
	if err != nil {
		return exitWith(ExitUsage, "%w", err)
	}
	request := &ravenwayv1.ApplyRequest{OperationId: operationID(command), Put: document, BaseRevision: command.Uint64("base")}
	if !command.IsSet("base") {
		if request.BaseRevision, err = currentRevision(ctx, s); err != nil {
			return err
		}
	}
	return s.applyChange(ctx, command, request)
}

func currentRevision(ctx context.Context, s *session) (uint64, error) {
	response, err := s.catalog(ctx)
	return response.GetRevision(), err
}

// applyChange sends a catalog change and prints its outcome.
func (s *session) applyChange(ctx context.Context, command *cli.Command, request *ravenwayv1.ApplyRequest) error {
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.ApplyRequest]) (*connect.Response[ravenwayv1.ApplyResponse], error) {
		return c.Apply
	}, request)
	if ExitCode(err) == ExitUnknownOutcome {
		return exitWith(ExitUnknownOutcome, "%w\nrun again with --operation-id %s --base %d", err, request.GetOperationId(), request.GetBaseRevision())
	}
	if err != nil {
		return err
	}
	if response.GetConflictRevision() > 0 || response.GetConflictOperationId() != "" {
		return exitWith(ExitConflict, "conflict: operation %s won with revision %d; nothing was changed",
			response.GetConflictOperationId(), response.GetConflictRevision())
	}
	if findings := response.GetFindings(); len(findings) > 0 {
		lines := make([]string, len(findings))
		for position, finding := range findings {
			lines[position] = fmt.Sprintf("%s: %s", finding.GetPlace(), finding.GetProblem())
		}
		return exitWith(ExitFailed, "nothing was changed; %d findings:\n%s", len(findings), strings.Join(lines, "\n"))
	}
	if err := s.printMessage(response, func() {
		fmt.Fprintf(s.out, "revision %d (operation %s)\n", response.GetRevision(), request.GetOperationId())
	}); err != nil || !command.Bool("wait") {
		return err
	}
	return s.waitUntilInEffect(ctx, "revision", response.GetRevision(), command.Duration("wait-timeout"), (*ravenwayv1.NodeStatus).GetRevision)
}

const (
	// unreachableAfter is the time since a node's last contact after which it counts as unreachable
	// and is not waited for.
	unreachableAfter = 3 * time.Second
	waitPollInterval = 200 * time.Millisecond
)

// waitUntilInEffect waits until every reachable node has a revision in effect, and prints the names
// of the unreachable ones. revisionAt returns the revision that is in effect on a node.
func (s *session) waitUntilInEffect(ctx context.Context, what string, revision uint64, timeout time.Duration, revisionAt func(*ravenwayv1.NodeStatus) uint64) error {
	deadline := time.Now().Add(timeout)
	for {
		status, err := s.status(ctx)
		if err != nil {
			return err
		}
		var behind, unreachable []string
		for _, node := range status.GetNodes() {
			switch {
			case time.Duration(node.GetSilentMilliseconds())*time.Millisecond > unreachableAfter:
				unreachable = append(unreachable, node.GetName())
			case revisionAt(node) < revision:
				behind = append(behind, node.GetName())
			}
		}
		if len(behind) == 0 {
			fmt.Fprintf(s.out, "in force on %d nodes; not reached: %s\n", len(status.GetNodes())-len(unreachable), orNone(unreachable))
			return nil
		}
		if time.Now().After(deadline) {
			return exitWith(ExitFailed, "%s %d is committed, but not yet in effect on: %s; not reached: %s",
				what, revision, strings.Join(behind, ", "), orNone(unreachable))
		}
		time.Sleep(waitPollInterval)
	}
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

func deleteObject(ctx context.Context, s *session, command *cli.Command) error {
	given, err := arguments(command, 2, 2)
	if err != nil {
		return err
	}
	base, err := currentRevision(ctx, s)
	if err != nil {
		return err
	}
	return s.applyChange(ctx, command, &ravenwayv1.ApplyRequest{
		OperationId: operationID(command), BaseRevision: base,
		Delete: []*ravenwayv1.ObjectReference{{Kind: given[0], Name: given[1]}},
	})
}

func (s *session) catalog(ctx context.Context) (*ravenwayv1.GetCatalogResponse, error) {
	return call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetCatalogRequest]) (*connect.Response[ravenwayv1.GetCatalogResponse], error) {
		return c.GetCatalog
	}, &ravenwayv1.GetCatalogRequest{})
}

func getCatalog(ctx context.Context, s *session, _ *cli.Command) error {
	response, err := s.catalog(ctx)
	if err != nil {
		return err
	}
	return s.printMessage(response, func() {
		document := response.GetCatalog()
		fmt.Fprintf(s.out, "revision %d\n", response.GetRevision())
		s.printTable("KIND\tNAME\tDETAIL", func(row func(...any)) {
			for _, tenant := range document.GetTenants() {
				row("tenant", tenant.GetName(), fmt.Sprintf("weight %d, default budget %s, %d keys", tenant.GetWeight(), tenant.GetDefaultBudget(), len(tenant.GetApiKeyHashes())))
			}
			for _, budget := range document.GetBudgets() {
				row("budget", budget.GetName(), "tenant "+budget.GetTenant())
			}
			for _, service := range document.GetServices() {
				row("service", service.GetName(), strings.TrimSpace(service.GetKind().String()+" "+strings.Join(service.GetModels(), ",")))
			}
			for _, route := range document.GetRoutes() {
				row("route", route.GetName(), fmt.Sprintf("%s to %s, not repeatable: %s", route.GetPathPrefix(), route.GetService(), orNone(route.GetNotRepeatableMethods())))
			}
			for _, backend := range document.GetBackends() {
				row("backend", backend.GetName(), fmt.Sprintf("%s in %s at %s, draining %v", backend.GetService(), backend.GetZone(), backend.GetAddress(), backend.GetDraining()))
			}
		})
	})
}

func (s *session) printTable(header string, fill func(row func(...any))) {
	writer := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, header)
	fill(func(columns ...any) {
		texts := make([]string, len(columns))
		for position, column := range columns {
			texts[position] = fmt.Sprint(column)
		}
		fmt.Fprintln(writer, strings.Join(texts, "\t"))
	})
	_ = writer.Flush()
}

func (s *session) status(ctx context.Context) (*ravenwayv1.GetStatusResponse, error) {
	return call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetStatusRequest]) (*connect.Response[ravenwayv1.GetStatusResponse], error) {
		return c.GetStatus
	}, &ravenwayv1.GetStatusRequest{})
}

func getStatus(ctx context.Context, s *session, _ *cli.Command) error {
	response, err := s.status(ctx)
	if err != nil {
		return err
	}
	return s.printMessage(response, func() {
		s.printGroup(response)
		if zones := response.GetEvacuatedZones(); len(zones) > 0 {
			fmt.Fprintf(s.out, "evacuated zones: %s\n", strings.Join(zones, ", "))
		}
		s.printRollouts(response)
		s.printNodes(response.GetNodes())
	})
}

// printGroup prints the status of the control group.
func (s *session) printGroup(response *ravenwayv1.GetStatusResponse) {
	leader := response.GetLeader()
	if leader == "" {
		leader = "unknown"
	}
	quorumAge := time.Duration(response.GetQuorumAgeMilliseconds()) * time.Millisecond
	fmt.Fprintf(s.out, "as seen by %s: leader %s, term %d, commit %d, revision %d, last contact with a quorum %v ago\n",
		response.GetNode(), leader, response.GetTerm(), response.GetCommitIndex(), response.GetRevision(), quorumAge)
	if response.GetVoters() > 0 {
		fmt.Fprintf(s.out, "voters %d, of which %d hold every committed entry on disk\n", response.GetVoters(), response.GetCaughtUpVoters())
	}
	if version, newest := response.GetLogVersion(), response.GetNewestLogVersion(); version < newest {
		fmt.Fprintf(s.out, "log version %d, to be raised to %d; the fleet can be downgraded to the earlier build until then", version, newest)
		if waiting := response.GetLogVersionWaitsFor(); len(waiting) > 0 {
			fmt.Fprintf(s.out, "; waits for %s", strings.Join(waiting, ", "))
		}
		fmt.Fprintln(s.out)
	} else if newest > 0 {
		fmt.Fprintf(s.out, "log version %d\n", version)
	}
}

func (s *session) printNodes(nodes []*ravenwayv1.NodeStatus) {
	s.printTable("NODE\tZONE\tCONTROL\tLEADER\tREVISION\tBUILD\tDIALECT\tSILENT\tSTATE", func(row func(...any)) {
		for _, node := range nodes {
			sinceContact := time.Duration(node.GetSilentMilliseconds()) * time.Millisecond
			state := "live"
			if node.GetStopping() {
				state = "stopping"
			}
			if sinceContact > unreachableAfter {
				state = "not heard from"
			}
			row(node.GetName(), node.GetZone(), node.GetControl(), node.GetLeader(), node.GetRevision(), cmp.Or(node.GetBuild(), "unknown"),
				node.GetDialect(), sinceContact.Round(100*time.Millisecond), state)
		}
	})
}

func getBudgets(ctx context.Context, s *session, command *cli.Command) error {
	given, err := arguments(command, 0, 1)
	if err != nil {
		return err
	}
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetBudgetsRequest]) (*connect.Response[ravenwayv1.GetBudgetsResponse], error) {
		return c.GetBudgets
	}, &ravenwayv1.GetBudgetsRequest{Budget: strings.Join(given, "")})
	if err != nil {
		return err
	}
	if len(given) == 1 && len(response.GetBudgets()) == 0 {
		return exitWith(ExitFailed, "budget %q does not exist", given[0])
	}
	return s.printMessage(response, func() {
		s.printTable("BUDGET\tTENANT\tLIMIT\tSETTLED\tOF LOST NODES\tOUTSTANDING\tLEFT", func(row func(...any)) {
			for _, budget := range response.GetBudgets() {
				// The tokens that were settled without being known to be used: those of incarnations
				// that crashed without a final report.
				lost := budget.GetEndedAllowed() + budget.GetEndedPaced() + budget.GetEndedWhole()
				row(budget.GetBudget(), budget.GetTenant(), budget.GetLimit(), budget.GetSettled(), lost, budget.GetOutstanding(),
					budget.GetLimit()-budget.GetSettled()-budget.GetOutstanding())
			}
		})
	})
}

func topUpBudget(ctx context.Context, s *session, command *cli.Command) error {
	budget, tokens, err := budgetArguments(command)
	if err != nil {
		return err
	}
	id := operationID(command)
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.TopUpBudgetRequest]) (*connect.Response[ravenwayv1.BudgetChangeResponse], error) {
		return c.TopUpBudget
	}, &ravenwayv1.TopUpBudgetRequest{OperationId: id, Budget: budget, Tokens: tokens})
	return s.printBudgetChange(id, response, err)
}

func lowerBudget(ctx context.Context, s *session, command *cli.Command) error {
	budget, tokens, err := budgetArguments(command)
	if err != nil {
		return err
	}
	id := operationID(command)
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.LowerBudgetRequest]) (*connect.Response[ravenwayv1.BudgetChangeResponse], error) {
		return c.LowerBudget
	}, &ravenwayv1.LowerBudgetRequest{OperationId: id, Budget: budget, Tokens: tokens})
	return s.printBudgetChange(id, response, err)
}

func budgetArguments(command *cli.Command) (string, uint64, error) {
	given, err := arguments(command, 2, 2)
	if err != nil {
		return "", 0, err
	}
	var tokens uint64
	if _, err := fmt.Sscanf(given[1], "%d", &tokens); err != nil || fmt.Sprint(tokens) != given[1] || tokens == 0 {
		return "", 0, exitWith(ExitUsage, "TOKENS: %q is not a whole number above 0", given[1])
	}
	return given[0], tokens, nil
}

func (s *session) printBudgetChange(id string, response *ravenwayv1.BudgetChangeResponse, err error) error {
	if ExitCode(err) == ExitUnknownOutcome {
		return exitWith(ExitUnknownOutcome, "%w\nrun again with --operation-id %s", err, id)
	}
	if err != nil {
		return err
	}
	if response.GetRefused() != "" {
		return exitWith(ExitFailed, "refused: %s", response.GetRefused())
	}
	return s.printMessage(response, func() {
		status := response.GetStatus()
		fmt.Fprintf(s.out, "budget %s: limit %d, settled %d, outstanding %d (operation %s)\n",
			status.GetBudget(), status.GetLimit(), status.GetSettled(), status.GetOutstanding(), id)
	})
}

// randomKeyBytes is the number of random bytes in a new API key.
const randomKeyBytes = 24

func generateKey(_ context.Context, s *session, _ *cli.Command) error {
	secret := make([]byte, randomKeyBytes)
	_, _ = rand.Read(secret)
	key := "rw-" + hex.EncodeToString(secret)
	digest := sha256.Sum256([]byte(key))
	fmt.Fprintf(s.out, "key:  %s\nhash: %s\n", key, hex.EncodeToString(digest[:]))
	return nil
}

// setDraining returns a command that sets a back end's draining flag and keeps its other fields.
func setDraining(draining bool) func(context.Context, *session, *cli.Command) error {
	return func(ctx context.Context, s *session, command *cli.Command) error {
		given, err := arguments(command, 1, 1)
		if err != nil {
			return err
		}
		current, err := s.catalog(ctx)
		if err != nil {
			return err
		}
		for _, backend := range current.GetCatalog().GetBackends() {
			if backend.GetName() != given[0] {
				continue
			}
			backend.Draining = draining
			return s.applyChange(ctx, command, &ravenwayv1.ApplyRequest{
				OperationId: operationID(command), BaseRevision: current.GetRevision(),
				Put: &ravenwayv1.CatalogDocument{Backends: []*ravenwayv1.Backend{backend}},
			})
		}
		return exitWith(ExitFailed, "back end %q does not exist", given[0])
	}
}

var orderKinds = map[string]ravenwayv1.OrderKind{
	"load-model":   ravenwayv1.OrderKind_ORDER_KIND_LOAD_MODEL,
	"load-adapter": ravenwayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER,
	"change-role":  ravenwayv1.OrderKind_ORDER_KIND_CHANGE_ROLE,
}

func sendOrder(ctx context.Context, s *session, command *cli.Command) error {
	given, err := arguments(command, 3, 4)
	if err != nil {
		return err
	}
	kind, known := orderKinds[given[1]]
	if !known {
		return exitWith(ExitUsage, "%q is none of load-model, load-adapter, change-role", given[1])
	}
	request := &ravenwayv1.OrderRequest{OperationId: operationID(command), Backend: given[0], Kind: kind, Target: given[2]}
	if len(given) == 4 {
		request.Version = given[3]
	}
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.OrderRequest]) (*connect.Response[ravenwayv1.OrderResponse], error) {
		return c.Order
	}, request)
	if err != nil {
		return err
	}
	if response.GetRefused() != "" {
		return exitWith(ExitFailed, "refused: %s", response.GetRefused())
	}
	return s.printMessage(response, func() {
		fmt.Fprintf(s.out, "order %d to %s is %s (operation %s)\n", response.GetStatus().GetFence(), given[0], response.GetStatus().GetState(), request.GetOperationId())
	})
}

func getOrders(ctx context.Context, s *session, _ *cli.Command) error {
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.GetOrdersRequest]) (*connect.Response[ravenwayv1.GetOrdersResponse], error) {
		return c.GetOrders
	}, &ravenwayv1.GetOrdersRequest{})
	if err != nil {
		return err
	}
	return s.printMessage(response, func() {
		s.printTable("FENCE\tBACKEND\tKIND\tTARGET\tVERSION\tSTATE\tDETAIL", func(row func(...any)) {
			for _, entry := range response.GetOrders() {
				row(entry.GetFence(), entry.GetBackend(), entry.GetKind(), entry.GetTarget(), entry.GetVersion(), entry.GetState(), entry.GetDetail())
			}
		})
	})
}

func explain(ctx context.Context, s *session, command *cli.Command) error {
	given, err := arguments(command, 1, 1)
	if err != nil {
		return err
	}
	if paths := command.StringSlice("log"); len(paths) > 0 {
		lines, err := logs.Read(paths)
		if err != nil {
			return err
		}
		return explainFromLogs(s.out, lines, given[0])
	}
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.ExplainRequest]) (*connect.Response[ravenwayv1.ExplainResponse], error) {
		return c.Explain
	}, &ravenwayv1.ExplainRequest{RequestId: given[0]})
	if err != nil {
		return err
	}
	return s.printMessage(response, func() {
		fmt.Fprintf(s.out, "node %s decided:\n", response.GetNode())
		for _, line := range response.GetDecisions() {
			fmt.Fprintln(s.out, "  "+line)
		}
	})
}

func snapshot(ctx context.Context, s *session, _ *cli.Command) error {
	response, err := call(ctx, s, func(c client) func(context.Context, *connect.Request[ravenwayv1.SnapshotRequest]) (*connect.Response[ravenwayv1.SnapshotResponse], error) {
		return c.Snapshot
	}, &ravenwayv1.SnapshotRequest{})
	if err != nil {
		return err
	}
	return s.printMessage(response, func() { fmt.Fprintf(s.out, "snapshot at entry %d\n", response.GetIndex()) })
}
