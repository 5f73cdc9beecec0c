package labcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ravenway/ravenway/internal/lab/simulate"
)

// limitRates are the rate limits that engines name in the simulations, in requests per second.
var limitRates = []float64{0.1, 1, 5, 50}

var limitPolicies = []simulate.LimitPolicy{simulate.EachForItself, simulate.EqualParts, simulate.FewSenders, simulate.IssuerPermits}

func limitsCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "limits", Usage: "simulate policies for the rate limits that engines name and print their results",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "runs of each case"},
			&cli.IntSliceFlag{Name: "nodes", Value: []int{8, 60}, Usage: "entry nodes of the fleets"},
			&cli.StringSliceFlag{Name: "only", Usage: "only these policies"},
			&cli.BoolFlag{Name: "unsettled", Usage: "engines change and end their limits, restart and fail; updates between nodes are delayed or lost"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			policies, err := selectChoices("only", command.StringSlice("only"), limitPolicies)
			if err != nil {
				return err
			}
			return printLimits(out, command.IntSlice("nodes"), command.Int("seeds"), policies, command.Bool("unsettled"))
		},
	}
}

var errLimitArguments = errors.New("--seeds and --nodes must be above 0")

// printLimits simulates each policy for rate limits over some seeds and prints the results.
func printLimits(out io.Writer, nodes []int, seeds int, policies []simulate.LimitPolicy, isUnsettled bool) error {
	if seeds < 1 {
		return errLimitArguments
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "nodes\tlimit\tfaults\ttraffic\tpolicy\tworst 4 s\tallowed\tbroken\tused\tbytes/s/node\tmessages/s/node\twait, 0.99")
	for _, count := range nodes {
		if count < 1 {
			return errLimitArguments
		}
		for _, perSecond := range limitRates {
			for _, faults := range []bool{false, true} {
				for _, isOneSided := range []bool{false, true} {
					for _, policy := range policies {
						options := simulate.LimitOptions{Policy: policy, Nodes: count, RateLimit: perSecond, IsSkewed: isOneSided, Faults: faults, IsUnsettled: isUnsettled}
						printLimitCase(table, options, seeds)
					}
				}
			}
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func printLimitCase(table io.Writer, options simulate.LimitOptions, seeds int) {
	results := runEachSeed(seeds, func(seed uint64) simulate.LimitResult {
		one := options
		one.Seed = seed
		return simulate.RunLimits(one)
	})
	worst, broken, used, bytes, messages := 0, 0, 0.0, 0, 0
	var longest time.Duration
	for _, one := range results {
		worst = max(worst, one.MaximumReceived)
		if one.Violation != nil {
			broken++
		}
		used += one.Used() / float64(seeds)
		bytes, messages = bytes+one.Bytes, messages+one.Messages
		longest = max(longest, one.WaitQuantile(0.99))
	}
	traffic := "even"
	if options.IsSkewed {
		traffic = "one-sided"
	}
	perNode := float64(seeds) * float64(options.Nodes) * results[0].Now.Seconds()
	fmt.Fprintf(table, "%d\t%g\t%t\t%s\t%s\t%d\t%d\t%d of %d\t%.2f\t%.0f\t%.1f\t%s\n", options.Nodes, options.RateLimit, options.Faults, traffic,
		options.Policy, worst, results[0].Allowed, broken, seeds, used, float64(bytes)/perNode, float64(messages)/perNode, longest.Round(time.Millisecond))
}

// runEachSeed runs seeds concurrently, on half of the processors, and returns their results in
// order.
func runEachSeed[Result any](seeds int, run func(seed uint64) Result) []Result {
	results := make([]Result, seeds)
	places := make(chan struct{}, max(1, runtime.NumCPU()/2))
	var running sync.WaitGroup
	for seed := range seeds {
		places <- struct{}{}
		running.Go(func() {
			defer func() { <-places }()
			results[seed] = run(uint64(seed))
		})
	}
	running.Wait()
	return results
}
