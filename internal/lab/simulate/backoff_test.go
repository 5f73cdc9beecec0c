package simulate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/lab/pausecheck"
)

// backoffSeedsInCI are the seeds of each case of eight nodes.
const backoffSeedsInCI = 3

var backoffScenarios = []BackoffScenario{ThirdIll, ZoneIll, AllIll, Wave}

func runBackoff(policy BackoffPolicy, scenario BackoffScenario, pause time.Duration, change func(*BackoffOptions)) BackoffResult {
	options := BackoffOptions{Policy: policy, Scenario: scenario, Nodes: 8, Pause: pause, Load: 0.6, Return: backoff.DefaultRecovery}
	change(&options)
	return RunBackoff(options)
}

// Guards against requests that come in a pause after their node started again, was suspended
// or cut off, or that waited for a connection as the pause was asked for.
func TestPausesAreKeptWhateverTheNodesDo(t *testing.T) {
	t.Parallel()
	for _, scenario := range backoffScenarios {
		for _, pause := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 30 * time.Second} {
			for seed := range uint64(backoffSeedsInCI) {
				result := runBackoff(SpreadTrials, scenario, pause, func(o *BackoffOptions) { o.Seed, o.Faults, o.AsksWhenFull = seed, true, seed%2 == 0 })
				assert.NilError(t, result.Broken, "%s, %s, seed %d", scenario, pause, seed)
				assert.Assert(t, result.Asked > 0)
			}
		}
	}
}

// Guards against seeds that can't be played again.
func TestSimulationOfPausesRepeats(t *testing.T) {
	t.Parallel()
	play := func() BackoffResult {
		result := runBackoff(SpreadTrials, Wave, 3*time.Second, func(o *BackoffOptions) { o.Seed, o.Faults = 7, true })
		result.World = nil
		return result
	}
	assert.DeepEqual(t, play(), play())
}

func TestManyNodesKeepPausesToo(t *testing.T) {
	t.Parallel()
	result := runBackoff(SpreadTrials, ThirdIll, 3*time.Second, func(o *BackoffOptions) { o.Nodes, o.Faults = 60, true })
	assert.NilError(t, result.Broken)
}

// The simulation notices nodes that keep no pause.
func TestPausesThatNobodyKeepsAreNoticed(t *testing.T) {
	t.Parallel()
	result := runBackoff(PausesIgnored, ThirdIll, 3*time.Second, func(*BackoffOptions) {})
	assert.Assert(t, result.InPause > pausecheck.MaximumInPause, "%d", result.InPause)
}

// Guards against nodes that come back all at once as the pauses of all engines end, and have
// them ask for another one.
func TestEnginesAreNotOverrunAsTheirPausesEnd(t *testing.T) {
	t.Parallel()
	later := func(policy BackoffPolicy) (asked int, inTime float64) {
		for seed := range uint64(backoffSeedsInCI) {
			result := runBackoff(policy, AllIll, 3*time.Second, func(o *BackoffOptions) { o.Seed, o.AsksWhenFull = seed, true })
			asked += result.Later
			inTime += float64(result.InTime) / float64(result.Sent) / backoffSeedsInCI
		}
		return asked, inTime
	}
	atOnce, servedAtOnce := later(HardEnd)
	spread, servedSpread := later(SpreadTrials)
	t.Logf("at once: %d more pauses, %.3f in time; spread: %d, %.3f", atOnce, servedAtOnce, spread, servedSpread)
	assert.Assert(t, 2*spread < atOnce)
	assert.Assert(t, servedSpread > servedAtOnce)
}

// Guards against engines that ask for a pause again and again, as long as they are ill, and
// have each node's callers pay for it.
func TestFewCallersPayForEnginesThatAreStillIllAfterAPause(t *testing.T) {
	t.Parallel()
	refused := func(policy BackoffPolicy) (count, asked int) {
		for seed := range uint64(backoffSeedsInCI) {
			result := runBackoff(policy, ThirdIll, 500*time.Millisecond, func(o *BackoffOptions) { o.Seed = seed })
			count, asked = count+result.Refused, asked+result.Asked
		}
		return count, asked
	}
	spread, askedSpread := refused(SpreadEnd)
	tried, askedTried := refused(SpreadTrials)
	t.Logf("spread: %d refused, %d pauses asked for; with trials: %d, %d", spread, askedSpread, tried, askedTried)
	assert.Assert(t, tried < spread && askedTried < askedSpread)
}
