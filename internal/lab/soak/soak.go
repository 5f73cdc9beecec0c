// Package soak runs the real daemons as separate processes on loopback, with
// stand-ins for engines, callers and an operator, and injects faults from outside:
// signals, lost disks, and relays that delay, reset or block connections.
// It checks ravenway's guarantees against what callers and engines see.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/lab/standin"
	"github.com/ravenway/ravenway/internal/pause"
)

// Options set up a run.
type Options struct {
	// Daemon is the program of ravenwayd.
	Daemon string
	// EarlierDaemon is the program of an earlier build. If it is set, the fleet starts on that
	// build and is upgraded to Daemon while faults are injected; "" means no upgrade.
	EarlierDaemon string
	// EarlierHasQuarantine reports whether the earlier build quarantines requests that crash their
	// engines.
	EarlierHasQuarantine bool
	// ReturnsToEarlier makes half of the machines return to the earlier build before the upgrade
	// continues.
	ReturnsToEarlier bool
	// Order is the order in which an upgrade replaces the machines.
	Order Order
	// Wire encodes the messages of the stand-ins for callers, engines and the operator.
	Wire standin.Wire
	Seed uint64
	// Entries is the number of entry nodes; there are always three control nodes.
	Entries int
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Folder is an empty folder for settings, disks and logs.
	Folder string
	// Lane separates the loopback addresses of concurrent runs.
	Lane int
	// Report receives the timeline; nil discards it.
	Report io.Writer
}

// ErrGuaranteeViolated indicates that a guarantee was violated.
var ErrGuaranteeViolated = errors.New("soak: a guarantee was violated")

// Summary is the result of a run.
type Summary struct {
	Calls    int
	Outcomes map[Outcome]int
	Faults   int
	// CutByStops counts calls that had run and were cut while a planned stop of their entry node
	// was the only fault in progress.
	CutByStops int
	// LedgerOvercharge is the maximum over the tenants of what is charged beyond what the callers
	// received, as a fraction of the limit.
	LedgerOvercharge float64
	// Reservations counts the entry nodes' requests to reserve a prompt, by result.
	Reservations map[string]int
	// Streams counts the resumable streams that began, were taken up again and went on, and
	// StreamVersions the versions of their events.
	Streams        map[string]int
	StreamVersions int
	Violations     []string
}

// run is the state of a run with one seed.
type run struct {
	fleet     *fleet
	callers   *callers
	startedAt time.Time
	// isUpgraded reports whether the machines are upgraded during the run.
	isUpgraded bool
	// canPartition reports whether the daemon can be partitioned from engines.
	canPartition bool
	// crashesBeforeQuarantine counts the engines that each request crashed before all nodes had a
	// build with a quarantine.
	crashesBeforeQuarantine map[Kind]int

	mutex      sync.Mutex
	report     io.Writer
	violations []string
	// injected is the number of injected faults.
	injected int
	// held are the machines that are reserved for a fault or a replacement.
	held map[*machine]bool
	// diskLostAt is the time at which the last machine that lost its disk was to start again.
	diskLostAt time.Time
	// disruptiveSpans are the spans in which a fault other than a planned stop was injected.
	disruptiveSpans []span
	// unstableSpans are the spans in which a fault may have hit control nodes.
	unstableSpans []span
	// ledgerOvercharge is the maximum of ledgerEntry.overcharge over the tenants.
	ledgerOvercharge float64
	reservations     *reservationCounts
	// streamCounts counts the resumable streams, and streamVersionCount the versions of their events.
	streamCounts       map[string]int
	streamVersionCount int
}

type span struct{ from, until time.Duration }

const (
	seriesCount         = 2
	recoveryWindow      = 3 * time.Second
	maximumRecoveryWait = 15 * time.Second
	disruptionMargin    = 2 * time.Second
	minimumServedShare  = 0.25
	finalDowntime       = time.Second
	recoveryTime        = 4 * time.Second
	// poisonRandomStream is the first of the second seeds of the random numbers for poison requests.
	poisonRandomStream = 1000
)

func placeName(place int) string { return fmt.Sprintf("place-%d", place) }

// Run runs a fleet with the faults of one seed and checks the guarantees.
func Run(ctx context.Context, options Options) (Summary, error) {
	if options.Report == nil {
		options.Report = io.Discard
	}
	for _, program := range []string{options.Daemon, options.EarlierDaemon} {
		if program == "" {
			continue
		}
		if _, err := os.Stat(program); err != nil {
			return Summary{}, fmt.Errorf("looking for the daemon's program: %w", err)
		}
	}
	made, err := newFleet(options)
	if err != nil {
		return Summary{}, err
	}
	defer made.close()
	startedAt := time.Now()
	made.startedAt = startedAt
	r := &run{fleet: made, callers: newCallers(made, startedAt), startedAt: startedAt, report: options.Report, held: map[*machine]bool{}, isUpgraded: options.EarlierDaemon != "", canPartition: canPartition(options.Daemon), crashesBeforeQuarantine: map[Kind]int{}, reservations: newReservationCounts()}
	r.reportf("seed %d, %d entry nodes, faults for %s", options.Seed, options.Entries, options.FaultDuration)
	background, stopBackground := context.WithCancel(ctx)
	defer stopBackground()
	go made.sendHeartbeats(background)
	if err := made.start(ctx); err != nil {
		return Summary{}, err
	}
	r.reportf("all entry nodes are ready; the daemon can be partitioned from engines: %v", r.canPartition)
	go r.countReservations(background)
	r.runFaults(ctx, options)
	r.check(ctx)
	return r.summarize()
}

// runFaults sends calls while seriesCount concurrent series inject faults, then kills all processes
// at the same time for finalDowntime and lets the fleet recover.
func (r *run) runFaults(ctx context.Context, options Options) {
	calling, stopCalling := context.WithCancel(ctx)
	var called sync.WaitGroup
	called.Go(func() { r.callers.run(calling, rand.New(rand.NewPCG(options.Seed, 2))) })
	for number, kind := range poisonKinds {
		if options.FaultDuration == 0 {
			// Without faults engines don't crash either.
			break
		}
		called.Go(func() {
			r.callers.sendPoison(calling, kind, rand.New(rand.NewPCG(options.Seed, poisonRandomStream+uint64(number))))
		})
	}
	if options.FaultDuration > 0 {
		called.Go(func() {
			r.callers.sendCrashingParts(calling, rand.New(rand.NewPCG(options.Seed, crashingPartRandomStream)))
		})
	}
	faultContext, stopFaults := context.WithTimeout(ctx, options.FaultDuration)
	defer stopFaults()
	var injecting sync.WaitGroup
	if options.EarlierDaemon != "" {
		injecting.Go(func() { r.upgrade(ctx, options) })
	}
	if options.EarlierDaemon == "" && options.FaultDuration > 0 {
		injecting.Go(func() { r.rollout(ctx, options.Seed) })
		injecting.Go(func() { r.limitEngines(faultContext, rand.New(rand.NewPCG(options.Seed, limitRandomStream))) })
		injecting.Go(func() { r.disturbEngines(ctx, faultContext, rand.New(rand.NewPCG(options.Seed, backoffRandomStream))) })
	}
	if options.FaultDuration > 0 {
		injecting.Go(func() { r.releaseVersions(ctx, faultContext, rand.New(rand.NewPCG(options.Seed, releaseRandomStream))) })
	}
	for number := range seriesCount {
		injecting.Go(func() { r.runFaultSeries(ctx, faultContext, rand.New(rand.NewPCG(options.Seed, 3+uint64(number)))) })
	}
	injecting.Wait()
	if options.EarlierDaemon == "" && options.FaultDuration > 0 {
		var checking sync.WaitGroup
		checking.Go(func() { r.checkBadResponses(ctx) })
		r.recordSpan(func() { r.checkLateOrders(ctx, options.Seed) }, &r.unstableSpans, contactTime)
		checking.Wait()
		r.loseAllEntries(ctx, options.Seed)
	}
	if r.canPartition && options.FaultDuration > 0 {
		pause.For(ctx, settlingTime)
		r.checkSilence(ctx, options.Seed)
		r.checkPartition(ctx, options.Seed)
		r.checkSurge(ctx, options.Seed)
		r.checkBrittle(ctx, brittleTime)
	}
	r.injectDisruptive(func() { r.killAndRestartAll(ctx, finalDowntime, func(*machine) bool { return true }) })
	r.checkRecovery(ctx)
	stopCalling()
	called.Wait()
}

func (r *run) runFaultSeries(ctx, faultContext context.Context, random *rand.Rand) {
	for faultContext.Err() == nil {
		pause.For(faultContext, time.Duration(random.Int64N(int64(2*meanFaultInterval))))
		one := faults[random.IntN(len(faults))]
		if r.isUpgraded && !isUpgradeFault(one.name) || one.name == partitionFault && !r.canPartition {
			continue
		}
		r.reportf("fault %s", one.name)
		if mayHitControl(one.name) {
			inject := one.inject
			one.inject = func(ctx context.Context, r *run, random *rand.Rand) {
				r.recordSpan(func() { inject(ctx, r, random) }, &r.unstableSpans, contactTime)
			}
		}
		if strings.HasPrefix(one.name, "planned_stop") || one.name == "configuration" || one.name == "drain_engine" || one.name == surgeFault {
			one.inject(ctx, r, random)
		} else {
			r.injectDisruptive(func() { one.inject(ctx, r, random) })
		}
		r.mutex.Lock()
		r.injected++
		r.mutex.Unlock()
	}
}

// injectDisruptive injects a fault that may cut calls, and records its span. The span ends
// disruptionMargin after the fault.
func (r *run) injectDisruptive(inject func()) {
	r.recordSpan(inject, &r.disruptiveSpans, disruptionMargin)
}

// recordSpan injects a fault and adds its span, which ends a margin after the fault.
func (r *run) recordSpan(inject func(), spans *[]span, margin time.Duration) {
	from := time.Since(r.startedAt)
	r.mutex.Lock()
	position := len(*spans)
	*spans = append(*spans, span{from: from, until: math.MaxInt64})
	r.mutex.Unlock()
	inject()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	(*spans)[position].until = time.Since(r.startedAt) + margin
}

// checkRecovery waits up to maximumRecoveryWait until entry nodes are ready again. After another
// recoveryTime it checks that at least minimumServedShare of the plain calls in recoveryWindow
// are served.
func (r *run) checkRecovery(ctx context.Context) {
	err := r.fleet.waitFor(ctx, maximumRecoveryWait, "ready entries after the last fault", r.fleet.allReady)
	if err != nil {
		r.violationf("%v", err)
	}
	pause.For(ctx, recoveryTime)
	from := time.Since(r.startedAt)
	pause.For(ctx, recoveryWindow)
	served, sent := 0, 0
	for _, one := range r.callers.snapshot() {
		if one.startedAt < from || one.kind == Stream || one.kind == Resumable {
			// The tenants of streams may have used up their tokens by then.
			continue
		}
		sent++
		if one.outcome == Complete {
			served++
		}
	}
	r.reportf("after the last fault %d of %d plain calls are served", served, sent)
	if float64(served) < minimumServedShare*float64(sent) || sent == 0 {
		r.violationf("recovery: %d of %d plain calls are served", served, sent)
	}
}

// check runs all checks, and compares the configuration that the fleet returns with the one sent.
func (r *run) check(ctx context.Context) {
	r.checkCalls()
	r.checkStreams()
	r.checkPoison()
	r.checkLimits()
	r.checkBackoff()
	wrong := ""
	if err := r.fleet.waitFor(ctx, maximumRecoveryWait, "the configuration", func() bool {
		wrong = r.fleet.checkConfiguration(ctx)
		return wrong == ""
	}); err != nil {
		r.violationf("%v: %s", err, wrong)
	}
	r.checkLedger(ctx)
}

// checkCalls compares what callers saw with what engines ran.
func (r *run) checkCalls() {
	for _, one := range r.callers.snapshot() {
		runs := r.fleet.truth.Runs(one.id)
		switch {
		case one.outcome == Wrong:
			r.violationf("call %s (%s) at %s got a wrong answer: %s", one.id, one.kind, one.entry.name, one.detail)
		case one.outcome == NotRun && runs > 0:
			r.violationf("call %s (%s) at %s was refused with %s and ran %d times", one.id, one.kind, one.entry.name, one.detail, runs)
		case runs > 1 && (one.kind == Once || one.kind == Stream):
			r.violationf("call %s (%s) ran %d times", one.id, one.kind, runs)
		}
	}
	for tenant, prepaid := range r.fleet.prepaid {
		if used := r.fleet.truth.DeliveredTokens(tenant); used > prepaid {
			r.violationf("%s got %d tokens of %d prepaid", tenant, used, prepaid)
		}
	}
}

func (r *run) summarize() (Summary, error) {
	summary := Summary{Outcomes: map[Outcome]int{}, Reservations: r.reservations.totals()}
	r.reportf("prompts reserved: %v", summary.Reservations)
	for _, one := range r.callers.snapshot() {
		summary.Calls++
		summary.Outcomes[one.outcome]++
		if one.outcome == Cut && one.isStopping && r.fleet.truth.Runs(one.id) > 0 && !r.wasDisrupted(one) {
			summary.CutByStops++
			r.violationf("call %s (%s) was cut by the planned stop of %s: %s", one.id, one.kind, one.entry.name, one.detail)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	summary.Streams, summary.StreamVersions = r.streamCounts, r.streamVersionCount
	summary.Faults, summary.Violations, summary.LedgerOvercharge = r.injected, r.violations, r.ledgerOvercharge
	if len(r.violations) > 0 {
		return summary, fmt.Errorf("%w: %s", ErrGuaranteeViolated, strings.Join(r.violations, "; "))
	}
	return summary, nil
}

// wasDisrupted reports whether a fault other than a planned stop was in progress near a call.
func (r *run) wasDisrupted(one result) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, disrupted := range append(r.fleet.copyCrashSpans(), r.disruptiveSpans...) {
		if one.startedAt <= disrupted.until && one.endedAt >= disrupted.from {
			return true
		}
	}
	return false
}

func (r *run) reportf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.report, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *run) violationf(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.reportf("BROKEN: %s", text)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, text)
}
