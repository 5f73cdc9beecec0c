package labcli

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/ravenway/ravenway/internal/lab/simulate"
	state "github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// A bad version may get exposureShare of the requests plus exposureSlack, and no request later
	// than rollbackWithin after its 50th bad response.
	exposureShare, exposureSlack = 0.1, 50
	rollbackWithin               = 5 * time.Second
)

// rolloutKinds are a good version and versions with different defects.
var rolloutKinds = []struct {
	name       string
	regression simulate.Regression
}{
	{"good", simulate.Regression{}},
	{"0.02 fail", simulate.Regression{FailureShare: 0.02}}, {"0.05 fail", simulate.Regression{FailureShare: 0.05}}, {"0.1 fail", simulate.Regression{FailureShare: 0.1}},
	{"0.2 fail", simulate.Regression{FailureShare: 0.2}}, {"0.5 fail", simulate.Regression{FailureShare: 0.5}},
	{"0.1 fail from 4 s on", simulate.Regression{FailureShare: 0.1, From: 4 * time.Second}}, {"0.5 fail from 4 s on", simulate.Regression{FailureShare: 0.5, From: 4 * time.Second}},
	{"0.1 of one route of five", simulate.Regression{FailureShare: 0.1, OneRoute: true}}, {"0.5 of one route of five", simulate.Regression{FailureShare: 0.5, OneRoute: true}},
	{"0.2 under load", simulate.Regression{FailureShare: 0.2, UnderLoad: true}},
	{"2 times slower", simulate.Regression{SlowShare: 1, SlowFactor: 2}}, {"4 times slower", simulate.Regression{SlowShare: 1, SlowFactor: 4}}, {"8 times slower", simulate.Regression{SlowShare: 1, SlowFactor: 8}},
	{"0.3 of responses 4 times slower", simulate.Regression{SlowShare: 0.3, SlowFactor: 4}}, {"one route 3 times slower", simulate.Regression{SlowShare: 1, SlowFactor: 3, OneRoute: true}},
}

// printRollouts simulates each kind of version with each fault over some seeds and prints the
// results.
func printRollouts(out io.Writer, seeds int) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "version\tfault\trolled back\tdecision after, median\tmaximum\tbad responses, median\tmaximum\toverexposed\ttoo late")
	for _, kind := range rolloutKinds {
		for _, fault := range simulate.RolloutFaults() {
			sum := sumRollouts(simulate.RunRollouts(kind.regression, fault, seeds), kind.regression != simulate.Regression{})
			fmt.Fprintf(table, "%s\t%s\t%d of %d\t%s\t%s\t%d\t%d\t%d\t%d\n", kind.name, fault, sum.rolledBack, seeds,
				median(sum.decisionTimes), slices.Max(sum.decisionTimes), median(sum.badResponses), slices.Max(sum.badResponses), sum.overexposed, sum.late)
		}
	}
	return table.Flush()
}

// rolloutSum aggregates the runs of one kind. overexposed and late count the runs that broke the
// two limits of a bad version.
type rolloutSum struct {
	rolledBack, overexposed, late int
	decisionTimes                 []time.Duration
	badResponses                  []int
}

func sumRollouts(results []simulate.RolloutResult, isBad bool) rolloutSum {
	var sum rolloutSum
	for _, one := range results {
		if one.Stage == state.RolledBack {
			sum.rolledBack++
		}
		if isBad && float64(one.ToNewVersion) > exposureShare*float64(one.Requests)+exposureSlack {
			sum.overexposed++
		}
		if one.FiftiethBadAt > 0 && one.LastToNewVersionAt > one.FiftiethBadAt+rollbackWithin {
			sum.late++
		}
		sum.decisionTimes = append(sum.decisionTimes, one.DecidedAt.Round(10*time.Millisecond))
		sum.badResponses = append(sum.badResponses, one.BadResponses)
	}
	return sum
}

// median returns the median of some values.
func median[Value time.Duration | int](values []Value) Value {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
