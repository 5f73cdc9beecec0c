package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"strings"
	"time"

	"github.com/ravenway/ravenway/internal/lab/enginecut"
	"github.com/ravenway/ravenway/internal/lab/pathcheck"
	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// partitionRandomStream is the second seed of the random numbers for partitions.
	partitionRandomStream = 5700
	partitionTime         = 7 * time.Second
	// silenceRandomStream is the second seed of the random numbers for silent engines.
	silenceRandomStream = 5900
	minimumSilence      = 500 * time.Millisecond
	// settlingTime is the time without faults before the partition that is checked.
	settlingTime = 6 * time.Second
)

// partitionFault is the name of the fault that partitions an entry node from all engines.
const partitionFault = "partition_entry"

// statusPrepaidSpent begins the status of a refusal of a tenant that has used up its tokens.
const statusPrepaidSpent = "402"

// canPartition reports whether a daemon is the lab build, which can be partitioned from engines.
func canPartition(daemon string) bool {
	output, err := exec.Command(daemon, "version").Output()
	return err == nil && strings.Contains(string(output), enginecut.Variable)
}

// setEnginePath changes what happens to a machine's connections to engines.
func (r *run) setEnginePath(one *machine, mode enginecut.Mode) {
	if err := enginecut.SetMode(one.enginePathFile(), mode); err != nil {
		r.violationf("%v", err)
	}
}

// partitionEntry partitions an entry node from all engines for a time.
func (r *run) partitionEntry(ctx context.Context, random *rand.Rand) {
	one, mode := r.pick(random, false), enginecut.Modes[random.IntN(len(enginecut.Modes))]
	r.reportf("%s is partitioned from all engines: %s", one.name, mode)
	r.setEnginePath(one, mode)
	pause.For(ctx, 2*randomFaultDuration(random))
	r.setEnginePath(one, enginecut.Open)
}

// checkPartition partitions some entry nodes from all engines while there is no other fault, and
// checks that callers are served there like at the others.
func (r *run) checkPartition(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, partitionRandomStream))
	entries := r.fleet.members[controlCount:]
	partitioned := map[*machine]bool{}
	mode := enginecut.Modes[random.IntN(len(enginecut.Modes))]
	for _, place := range random.Perm(len(entries))[:1+random.IntN(len(entries)-1)] {
		partitioned[entries[place]] = true
		r.reportf("%s is partitioned from all engines: %s", entries[place].name, mode)
		r.setEnginePath(entries[place], mode)
	}
	from := time.Since(r.startedAt) + pathcheck.ReactionTime
	pause.For(ctx, partitionTime)
	until := time.Since(r.startedAt)
	for one := range partitioned {
		r.setEnginePath(one, enginecut.Open)
	}
	// Calls that were sent at the end of the partition end within their timeout.
	pause.For(ctx, callTimeout)
	r.checkServed(partitioned, from, until)
}

// checkSilence makes all engines silent towards all nodes for a second or two, and checks that no call in
// progress is cut by that.
func (r *run) checkSilence(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, silenceRandomStream))
	lasting := randomDuration(random, minimumSilence, enginecut.MaximumSilence)
	r.reportf("all engines are silent for %d ms", lasting.Milliseconds())
	from := time.Since(r.startedAt)
	for _, one := range r.fleet.members[controlCount:] {
		r.setEnginePath(one, enginecut.Silent)
	}
	pause.For(ctx, lasting)
	for _, one := range r.fleet.members[controlCount:] {
		r.setEnginePath(one, enginecut.Open)
	}
	until := time.Since(r.startedAt)
	pause.For(ctx, callTimeout)
	inProgress := 0
	for _, one := range r.callers.snapshot() {
		// Calls that no engine has run yet wait for tokens, and may be refused.
		isRunning := one.startedAt < from && one.endedAt >= from && r.fleet.truth.Runs(one.id) > 0
		if one.kind == Safe || !isRunning || r.wasDisrupted(one) {
			continue
		}
		inProgress++
		if one.outcome != Complete {
			r.violationf("call %s (%s) was in progress when all engines fell silent for %s, and ended as %s: %s", one.id, one.kind, until-from, one.outcome, one.detail)
		}
	}
	r.reportf("%d calls were in progress when the engines fell silent", inProgress)
}

// checkServed checks the service rule on the calls that were sent in a span. Calls whose tenant has
// used up its tokens are left out.
func (r *run) checkServed(partitioned map[*machine]bool, from, until time.Duration) {
	var atPartitioned, atOthers pathcheck.Attempts
	for _, one := range r.callers.snapshot() {
		if one.startedAt < from || one.startedAt >= until || strings.HasPrefix(one.detail, statusPrepaidSpent) {
			continue
		}
		attempts := &atOthers
		if partitioned[one.entry] {
			attempts = &atPartitioned
		}
		attempts.Sent++
		if one.outcome == Complete {
			attempts.Served++
		}
	}
	text := fmt.Sprintf("partitioned nodes served %d of %d calls, the others %d of %d", atPartitioned.Served, atPartitioned.Sent, atOthers.Served, atOthers.Sent)
	r.reportf("%s", text)
	if atPartitioned.Sent == 0 || atOthers.Sent == 0 || pathcheck.IsBroken(atPartitioned, atOthers) {
		r.violationf("%s", text)
	}
}
