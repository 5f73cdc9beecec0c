package labcli

import (
	"fmt"
	"io"
	"runtime"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/lab/simulate"
)

// simulations are the simulations of mechanisms, by the name that --only accepts.
var simulations = map[string]func(seed uint64) *simulate.World{
	"consensus": func(seed uint64) *simulate.World { return simulate.RunConsensus(seed, simulate.NoDefect) },
	"upgrades":  func(seed uint64) *simulate.World { return simulate.RunUpgrade(seed, simulate.UpgradeNoDefect) },
	"claims":    func(seed uint64) *simulate.World { return simulate.RunClaims(seed, simulate.ClaimsNoDefect) },
	"budgets": func(seed uint64) *simulate.World {
		return simulate.RunBudgets(simulate.BudgetOptions{Seed: seed, Limit: 400_000, TopUp: 200_000, Faults: true, Rate: 25}).World
	},
	"lost-lives":      simulateCrashedIncarnations(simulate.CrashOptions{}),
	"suspended-lives": simulateCrashedIncarnations(simulate.CrashOptions{Suspensions: true}),
	"pooled-lives":    simulateCrashedIncarnations(simulate.CrashOptions{PooledBudgets: true}),
	"poison": func(seed uint64) *simulate.World {
		return simulate.RunPoison(simulate.PoisonOptions{
			Seed: seed, Policy: simulate.WeighCrashesWithoutRetries, PoisonRequests: 1 + int(seed%2), OtherCrashes: seed%3 == 0, IdenticalRequests: seed%3 == 0, CrashesBeforeResponse: seed%5 == 0,
		}).World
	},
	"prompt-parts":     simulatePromptParts,
	"backoff":          simulateBackoff,
	"streams":          simulateStreams,
	"rate-limits":      simulateLimits(false),
	"unsettled-limits": simulateLimits(true),
	"tight-budgets": func(seed uint64) *simulate.World {
		return simulate.RunBudgets(simulate.BudgetOptions{Seed: seed, Limit: 2000, Faults: true, LargeRequests: true, Rate: 10}).World
	},
}

// simulateCrashedIncarnations returns a simulation of incarnations that crash without a final report.
func simulateCrashedIncarnations(options simulate.CrashOptions) func(seed uint64) *simulate.World {
	return func(seed uint64) *simulate.World {
		one := options
		one.Seed = seed
		return simulate.RunCrashes(one).World
	}
}

// simulatePromptParts simulates parts of prompts that crash engines. Consecutive seeds go through the numbers of
// such parts, and through what else happens.
func simulatePromptParts(seed uint64) *simulate.World {
	parts := simulate.PoisonPartOptions{IsUsed: true, Crashing: 1 + int(seed%2), IsPopular: seed%3 > 0, HasFollowers: seed%5 == 0}
	return simulate.RunPoison(simulate.PoisonOptions{
		Seed: seed, Policy: simulate.WeighCrashesWithoutRetries, Parts: parts, PoisonRequests: int(seed / 2 % 2), OtherCrashes: seed%7 == 0,
		CrashesBeforeResponse: seed%11 == 0, Partition: seed%13 == 0,
	}).World
}

// simulateBackoff simulates engines that request pauses, with faults. Consecutive seeds go through
// all scenarios and lengths of pauses.
func simulateBackoff(seed uint64) *simulate.World {
	scenarios := []simulate.BackoffScenario{simulate.ThirdOverloaded, simulate.ZoneOverloaded, simulate.AllOverloaded, simulate.Wave}
	pauses := []time.Duration{500 * time.Millisecond, 3 * time.Second, 30 * time.Second}
	return simulate.RunBackoff(simulate.BackoffOptions{
		Seed: seed, Policy: simulate.SpreadTrials, Recovery: backoff.DefaultRecovery, Nodes: 8, Load: 0.6, Faults: true, PausesWhenFull: seed%2 == 0,
		Scenario: scenarios[seed%uint64(len(scenarios))], Pause: pauses[seed/uint64(len(scenarios))%uint64(len(pauses))],
	}).World
}

// simulateStreams simulates streams that are taken up again after losses of nodes. Consecutive seeds go
// through all losses.
func simulateStreams(seed uint64) *simulate.World {
	return simulate.RunStreamVersions(simulate.StreamOptions{
		Seed: seed, Loss: simulate.StreamLoss(seed % uint64(simulate.StreamLossCount)), Zones: 3, NodesPerZone: 3, Controls: 3, Rate: 4,
	}).World
}

// simulateLimits returns a simulation of rate limits with faults. Consecutive seeds go through all
// rates, and one in three has one-sided traffic.
func simulateLimits(isUnsettled bool) func(seed uint64) *simulate.World {
	return func(seed uint64) *simulate.World {
		return simulate.RunLimits(simulate.LimitOptions{
			Seed: seed, Policy: simulate.IssuerPermits, Nodes: 8, RateLimit: limitRates[seed%uint64(len(limitRates))], IsSkewed: seed%3 == 0,
			Faults: true, IsUnsettled: isUnsettled,
		}).World
	}
}

// runSimulations runs seeds concurrently and prints each one that broke an invariant.
func runSimulations(out io.Writer, only string, first, seeds uint64) error {
	names := make([]string, 0, len(simulations))
	for name := range simulations {
		if only == "" || only == name {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	if len(names) == 0 {
		return fmt.Errorf("unknown simulation %q", only)
	}
	broken := 0
	for _, name := range names {
		broken += runSeeds(out, name, first, seeds)
	}
	if broken > 0 {
		return fmt.Errorf("%d seeds broke an invariant", broken)
	}
	return nil
}

func runSeeds(out io.Writer, name string, first, seeds uint64) int {
	var mutex sync.Mutex
	faults := map[string]int{}
	checks, broken := 0, 0
	var workers sync.WaitGroup
	next := first
	for range runtime.NumCPU() {
		workers.Go(func() {
			for {
				mutex.Lock()
				seed := next
				next++
				mutex.Unlock()
				if seed >= first+seeds {
					return
				}
				world := simulations[name](seed)
				mutex.Lock()
				checks += world.Checks
				for kind, count := range world.Faults {
					faults[kind] += count
				}
				if world.Violation != nil {
					broken++
					fmt.Fprintf(out, "%s: seed %d: %v\n", name, seed, world.Violation)
				}
				mutex.Unlock()
			}
		})
	}
	workers.Wait()
	var kinds []string
	for kind, count := range faults {
		kinds = append(kinds, fmt.Sprintf("%s %d", kind, count))
	}
	sort.Strings(kinds)
	fmt.Fprintf(out, "%s: seeds %d to %d, %d broken, %d checks; faults: %s\n", name, first, first+seeds-1, broken, checks, strings.Join(kinds, ", "))
	return broken
}
