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
		Name: "backoff", Usage: "simulate the ways to keep the pauses that engines ask for and tell what became of them",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "runs of each case"},
			&cli.IntSliceFlag{Name: "nodes", Value: []int{8, 60}, Usage: "entry nodes of the fleets"},
			&cli.FloatSliceFlag{Name: "pause", Value: []float64{0.5, 3, 30}, Usage: "pauses that engines ask for, in seconds"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "which engines ask for pauses: third, zone, all or wave (default: each of them)"},
			&cli.FloatFlag{Name: "load", Value: 0.6, Usage: "load as a share of what the engines bear"},
			&cli.StringSliceFlag{Name: "only", Usage: "some of the ways"},
			&cli.FloatFlag{Name: "spread", Value: backoff.DefaultReturn.Spread, Usage: "part of a pause over which nodes come back"},
			&cli.IntFlag{Name: "trials", Value: backoff.DefaultReturn.FirstTrials, Usage: "requests that may be unanswered right after a pause"},
			&cli.IntFlag{Name: "full", Value: backoff.DefaultReturn.FullTrials, Usage: "such requests from which an engine counts as back"},
			&cli.DurationFlag{Name: "longest", Value: backoff.DefaultReturn.LongestTrials, Usage: "time after which it counts as back anyway"},
			&cli.BoolFlag{Name: "full-engines-ask", Usage: "engines that are full ask for a pause too"},
			&cli.BoolFlag{Name: "faults", Usage: "nodes start again, stand still, are suspended and cut off"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			policies, err := choose("only", command.StringSlice("only"), backoffPolicies)
			if err != nil {
				return err
			}
			scenarios, err := choose("scenario", command.StringSlice("scenario"), backoffScenarios)
			if err != nil {
				return err
			}
			return printBackoffs(out, command, scenarios, policies)
		},
	}
}

var errBackoffArguments = errors.New("--seeds, --nodes, --pause and --load must be above 0")

// printBackoffs plays each way to keep pauses over some seeds and prints what became of it.
func printBackoffs(out io.Writer, command *cli.Command, scenarios []simulate.BackoffScenario, policies []simulate.BackoffPolicy) error {
	seeds, load := command.Int("seeds"), command.Float("load")
	if seeds < 1 || load <= 0 {
		return errBackoffArguments
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "nodes\tpause\tscenario\tway\tin a pause\tbroken\tburst\tasked\tagain\tin time\trefused\tfull use")
	for _, nodes := range command.IntSlice("nodes") {
		for _, pause := range command.FloatSlice("pause") {
			if nodes < 1 || pause <= 0 {
				return errBackoffArguments
			}
			for _, scenario := range scenarios {
				for _, policy := range policies {
					printBackoffCase(table, simulate.BackoffOptions{
						Policy: policy, Scenario: scenario, Nodes: nodes, Pause: time.Duration(pause * float64(time.Second)),
						Load: load, Faults: command.Bool("faults"), AsksWhenFull: command.Bool("full-engines-ask"),
						Return: backoff.ReturnPolicy{
							Spread: command.Float("spread"), LongestSpread: backoff.DefaultReturn.LongestSpread,
							FirstTrials: command.Int("trials"), FullTrials: command.Int("full"), LongestTrials: command.Duration("longest"),
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
	results := eachSeed(seeds, func(seed uint64) simulate.BackoffResult {
		one := options
		one.Seed = seed
		return simulate.RunBackoff(one)
	})
	inPause, broken, asked, later, sent, inTime, refused := 0, 0, 0, 0, 0, 0, 0
	var burst float64
	var fullUse time.Duration
	for _, one := range results {
		inPause = max(inPause, one.InPause)
		if one.Broken != nil {
			broken++
		}
		burst += one.Burst / float64(seeds)
		asked, later, sent, inTime, refused = asked+one.Asked, later+one.Later, sent+one.Sent, inTime+one.InTime, refused+one.Refused
		fullUse += one.FullUse / time.Duration(seeds)
	}
	fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d\t%d of %d\t%.1f\t%.0f\t%.1f\t%.4f\t%.4f\t%s\n", options.Nodes, options.Pause, options.Scenario, options.Policy,
		inPause, broken, seeds, burst, float64(asked)/float64(seeds), float64(later)/float64(seeds),
		float64(inTime)/float64(sent), float64(refused)/float64(sent), fullUse.Round(10*time.Millisecond))
}
