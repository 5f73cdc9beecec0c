// Package labcli is the command line of ravenway-lab.
package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ravenway/ravenway/internal/lab/deployment"
	"github.com/ravenway/ravenway/internal/lab/emulator"
	"github.com/ravenway/ravenway/internal/lab/load"
	"github.com/ravenway/ravenway/internal/lab/losses"
	"github.com/ravenway/ravenway/internal/lab/standin"
	"github.com/ravenway/ravenway/internal/lab/versions"
	"github.com/ravenway/ravenway/internal/logs"
	"github.com/ravenway/ravenway/internal/operatorcli"
)

// Command returns the whole command line. In the soak, which runs real daemons under injected faults,
// the stand-ins for callers, engines and operators use the wire interface.
func Command(out io.Writer, wire standin.Wire) *cli.Command {
	planFlag := &cli.StringFlag{Name: "deployment", Value: "zameen-haq", Usage: "zameen-haq or drukwacht"}
	return &cli.Command{
		Name:  "ravenway-lab",
		Usage: "stand-ins and experiments for ravenway",
		Commands: []*cli.Command{
			{Name: "generate", Usage: "write a deployment's settings, keys and catalog", ArgsUsage: "FOLDER", Flags: []cli.Flag{planFlag}, Action: generate},
			{Name: "emulate", Usage: "emulate the back ends of a catalog and the platform", ArgsUsage: "CATALOG",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "admin", Required: true, Usage: "host:port of the platform's list, the ground truth log and the switches"},
					&cli.StringFlag{Name: "truth", Usage: "file for the ground truth log, one line for each run or order"},
				}, Action: emulate},
			{Name: "load", Usage: "send a deployment's mix and report what callers see",
				Flags: []cli.Flag{planFlag,
					&cli.Float64Flag{Name: "rate", Value: 40, Usage: "requests per second"},
					&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
					&cli.Uint64Flag{Name: "seed", Value: 1},
					&cli.BoolFlag{Name: "retry", Usage: "send cut requests again through another entry node"},
					&cli.StringFlag{Name: "report", Usage: "file for the report as JSON"},
				},
				Action: func(ctx context.Context, command *cli.Command) error { return runLoad(ctx, out, command) }},
			{Name: "simulate", Usage: "run the simulations over many seeds",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "seeds", Value: 200}, &cli.Uint64Flag{Name: "first", Usage: "first seed"},
					&cli.StringFlag{Name: "only", Usage: "consensus, claims, budgets, tight-budgets, lost-lives, pooled-lives, poison, rate-limits or backoff"}},
				Action: func(_ context.Context, command *cli.Command) error {
					return runSimulations(out, command.String("only"), command.Uint64("first"), command.Uint64("seeds"))
				}},
			soakCommand(out, wire),
			{Name: "rollouts", Usage: "simulate rollouts of good and bad versions and print their results",
				Flags: []cli.Flag{&cli.IntFlag{Name: "seeds", Value: 100, Usage: "rollouts of each kind of version with each fault"}},
				Action: func(_ context.Context, command *cli.Command) error {
					if command.Int("seeds") < 1 {
						return fmt.Errorf("--seeds must be above 0")
					}
					return printRollouts(out, command.Int("seeds"))
				}},
			limitsCommand(out),
			backoffCommand(out),
			{Name: "losses", Usage: "report from nodes' logs where requests were refused, late or broken off", ArgsUsage: "LOG... (- for the standard input)",
				Flags: []cli.Flag{&cli.DurationFlag{Name: "step", Value: 2 * time.Second, Usage: "length of a step of the time line"}},
				Action: func(_ context.Context, command *cli.Command) error {
					return printLosses(out, command.Args().Slice(), command.Duration("step"))
				}},
			{Name: "versions", Usage: "report from nodes' logs when each version of the configuration was in effect on which nodes", ArgsUsage: "LOG... (- for the standard input)",
				Flags: []cli.Flag{&cli.DurationFlag{Name: "limit", Value: 20 * time.Second, Usage: "a node that applies a version later than this counts as off"}},
				Action: func(_ context.Context, command *cli.Command) error {
					return printVersions(out, command.Args().Slice(), command.Duration("limit"))
				}},
			{Name: "verify", Usage: "compare what was billed with what the engines ran",
				Flags: []cli.Flag{planFlag,
					&cli.DurationFlag{Name: "patience", Value: 30 * time.Second, Usage: "time for settlements to arrive"}},
				Action: func(ctx context.Context, command *cli.Command) error { return verify(ctx, out, command) }},
		},
	}
}

func selectedPlan(command *cli.Command) (deployment.Plan, error) {
	return deployment.ByName(command.String("deployment"))
}

// printReport reads nodes' logs and prints a report on them.
func printReport[Report interface{ Print(out io.Writer) error }](out io.Writer, paths []string, read func([]logs.Line) (Report, error)) error {
	if len(paths) == 0 {
		return fmt.Errorf("no log file given; name the logs of one or more nodes")
	}
	lines, err := logs.Read(paths)
	if err != nil {
		return err
	}
	report, err := read(lines)
	if err != nil {
		return err
	}
	return report.Print(out)
}

func printLosses(out io.Writer, paths []string, step time.Duration) error {
	if step <= 0 {
		return fmt.Errorf("--step must be above 0")
	}
	return printReport(out, paths, func(lines []logs.Line) (*losses.Report, error) { return losses.Read(lines, step) })
}

func printVersions(out io.Writer, paths []string, limit time.Duration) error {
	if limit <= 0 {
		return fmt.Errorf("--limit must be above 0")
	}
	return printReport(out, paths, func(lines []logs.Line) (*versions.Report, error) { return versions.Read(lines, limit) })
}

func generate(_ context.Context, command *cli.Command) error {
	plan, err := selectedPlan(command)
	if err != nil {
		return err
	}
	if command.Args().Len() != 1 {
		return fmt.Errorf("generate needs one argument: the folder")
	}
	folder, err := filepath.Abs(command.Args().First())
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))
	secret := func() string {
		return fmt.Sprintf("%016x%016x%016x", random.Uint64(), random.Uint64(), random.Uint64())
	}
	return plan.Write(folder, secret(), secret())
}

func emulate(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() != 1 {
		return fmt.Errorf("emulate needs one argument: the catalog file")
	}
	document, err := operatorcli.ReadDocument(command.Args().First())
	if err != nil {
		return err
	}
	var writer io.Writer
	if path := command.String("truth"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return fmt.Errorf("creating the ground truth log: %w", err)
		}
		defer file.Close()
		writer = file
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	world := emulator.NewWorld(document, emulator.EngineOptions{EventGap: 50}, emulator.NewGroundTruth(writer))
	return world.Serve(ctx, command.String("admin"))
}

// NewLoadClient returns a client that keeps up to 256 idle connections to each entry node.
func NewLoadClient() *load.Client {
	return &load.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
}

// MixOf returns a deployment's mix. Large tenants send five times the load of others.
func MixOf(plan deployment.Plan, seed uint64) load.Mix {
	var tenants []load.Tenant
	for _, name := range plan.TenantNames() {
		share := 1
		if plan.IsLarge(name) {
			share = 5
		}
		tenants = append(tenants, load.Tenant{Name: name, APIKey: plan.APIKey(name), Share: share})
	}
	return load.NewMix(tenants, plan.Model, plan.PlainPrefix, rand.New(rand.NewPCG(seed, 1)))
}

func runLoad(ctx context.Context, out io.Writer, command *cli.Command) error {
	plan, err := selectedPlan(command)
	if err != nil {
		return err
	}
	var entries []string
	for _, node := range plan.Nodes() {
		entries = append(entries, node.Address(deployment.CallersPort))
	}
	seed := command.Uint64("seed")
	report, err := load.Run(ctx, load.Options{
		Entries: entries, Mix: MixOf(plan, seed), Rate: command.Float64("rate"), Duration: command.Duration("duration"),
		Seed: seed, Client: NewLoadClient(), Retry: command.Bool("retry"),
	})
	if err != nil {
		return err
	}
	fmt.Fprint(out, report)
	if path := command.String("report"); path != "" {
		encoded, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, encoded, 0o600); err != nil {
			return fmt.Errorf("writing the report: %w", err)
		}
	}
	if bad := report.Outcomes[load.Wrong] + report.Outcomes[load.Interrupted]; bad > 0 {
		return fmt.Errorf("%d requests got a wrong answer or were cut", bad)
	}
	return nil
}

// fetchTruth reads an emulator's ground truth log.
func fetchTruth(ctx context.Context, admin string) ([]emulator.GroundTruthEvent, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+emulator.PathGroundTruth, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("reading the ground truth log: %w", err)
	}
	defer response.Body.Close()
	var events []emulator.GroundTruthEvent
	if err := json.NewDecoder(response.Body).Decode(&events); err != nil {
		return nil, fmt.Errorf("reading the ground truth log: %w", err)
	}
	return events, nil
}
