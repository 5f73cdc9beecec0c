package labcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/lab/simulate"
)

var backoffPolicies = []simulate.BackoffPolicy{
	simulate.PausesIgnored, simulate.HardEnd, simulate.SpreadEnd, simulate.RankedEnd, simulate.Trials, simulate.SpreadTrials, simulate.SharedTrials,
}

var backoffScenarios = []simulate.BackoffScenario{simulate.ThirdOverloaded, simulate.ZoneOverloaded, simulate.AllOverloaded, simulate.Wave}

func backoffCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "backoff", Usage: "simulate policies for the pauses that engines request and print their results",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "runs of each case"},
			&cli.IntSliceFlag{Name: "nodes", Value: []int{8, 60}, Usage: "entry nodes of the fleets"},
			&cli.FloatSliceFlag{Name: "pause", Value: []float64{0.5, 3, 30}, Usage: "pauses that engines request, in seconds"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "which engines request pauses: third, zone, all or wave (default: each of them)"},
			&cli.FloatFlag{Name: "load", Value: 0.6, Usage: "load as a share of the engines' capacity"},
			&cli.StringSliceFlag{Name: "only", Usage: "only these policies"},
			&cli.FloatFlag{Name: "spread", Value: backoff.DefaultRecovery.SpreadShare, Usage: "part of a pause over which nodes resume at random times"},
			&cli.IntFlag{Name: "trials", Value: backoff.DefaultRecovery.InitialTrials, Usage: "requests that may be in flight right after a pause"},
			&cli.IntFlag{Name: "full", Value: backoff.DefaultRecovery.RecoveredTrials, Usage: "number of such requests from which an engine counts as recovered"},
			&cli.DurationFlag{Name: "longest", Value: backoff.DefaultRecovery.MaximumTrialTime, Usage: "time after which it counts as recovered in any case"},
			&cli.BoolFlag{Name: "full-engines-ask", Usage: "engines that are full request a pause too"},
			&cli.BoolFlag{Name: "faults", Usage: "nodes restart, stall, are suspended and partitioned"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			policies, err := selectChoices("only", command.StringSlice("only"), backoffPolicies)
			if err != nil {
				return err
			}
			scenarios, err := selectChoices("scenario", command.StringSlice("scenario"), backoffScenarios)
			if err != nil {
				return err
			}
			return printBackoffs(out, command, scenarios, policies)
		},
	}
}

var errBackoffArguments = errors.New("--seeds, --nodes, --pause and --load must be above 0")

// printBackoffs simulates each policy for pauses over some seeds and prints the results.
func printBackoffs(out io.Writer, command *cli.Command, scenarios []simulate.BackoffScenario, policies []simulate.BackoffPolicy) error {
	seeds, load := command.Int("seeds"), command.Float("load")
	if seeds < 1 || load <= 0 {
		return errBackoffArguments
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "nodes\tpause\tscenario\tpolicy\tin a pause\tbroken\tburst\tpauses\tafter recovery\tin time\trefused\tfull use")
	for _, nodes := range command.IntSlice("nodes") {
		for _, pause := range command.FloatSlice("pause") {
			if nodes < 1 || pause <= 0 {
				return errBackoffArguments
			}
			for _, scenario := range scenarios {
				for _, policy := range policies {
					printBackoffCase(table, simulate.BackoffOptions{
						Policy: policy, Scenario: scenario, Nodes: nodes, Pause: time.Duration(pause * float64(time.Second)),
						Load: load, Faults: command.Bool("faults"), PausesWhenFull: command.Bool("full-engines-ask"),
						Recovery: backoff.RecoveryPolicy{
							SpreadShare: command.Float("spread"), MaximumSpread: backoff.DefaultRecovery.MaximumSpread,
							InitialTrials: command.Int("trials"), RecoveredTrials: command.Int("full"), MaximumTrialTime: command.Duration("longest"),
						},
					}, seeds)
				}
			}
			if err := table.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

func printBackoffCase(table io.Writer, options simulate.BackoffOptions, seeds int) {
	results := runEachSeed(seeds, func(seed uint64) simulate.BackoffResult {
		one := options
		one.Seed = seed
		return simulate.RunBackoff(one)
	})
	inPause, broken, asked, later, sent, inTime, refused := 0, 0, 0, 0, 0, 0, 0
	var burst float64
	var fullUse time.Duration
	for _, one := range results {
		inPause = max(inPause, one.MaximumInPause)
		if one.Violation != nil {
			broken++
		}
		burst += one.Burst / float64(seeds)
		asked, later, sent, inTime, refused = asked+one.Pauses, later+one.PausesAfterRecovery, sent+one.Sent, inTime+one.InTime, refused+one.Refused
		fullUse += one.RecoveryTime / time.Duration(seeds)
	}
	fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d\t%d of %d\t%.1f\t%.0f\t%.1f\t%.4f\t%.4f\t%s\n", options.Nodes, options.Pause, options.Scenario, options.Policy,
		inPause, broken, seeds, burst, float64(asked)/float64(seeds), float64(later)/float64(seeds),
		float64(inTime)/float64(sent), float64(refused)/float64(sent), fullUse.Round(10*time.Millisecond))
}
