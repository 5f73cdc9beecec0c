package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/httpcheck"
	"github.com/ravenway/ravenway/internal/state/document"
)

// interruptedRun is a run at an instance that ended without a complete response.
type interruptedRun struct {
	choice balance.Choice
	run    quarantine.Run
}

// interruptedRun describes the exchange's run at the moment it is interrupted.
func (e *exchange) interruptedRun(r *request, choice balance.Choice) interruptedRun {
	return interruptedRun{choice: choice, run: quarantine.Run{
		ResponseBegan: true, ResponseAge: time.Since(e.respondedAt), RespondsAtStart: r.route.Kind == document.Stream && e.isSuccess(),
	}}
}

// String describes the run for the decision log.
func (i interruptedRun) String() string {
	if !i.run.ResponseBegan {
		return "no answer had begun"
	}
	return fmt.Sprintf("its answer had begun %d ms before", i.run.ResponseAge.Milliseconds())
}

// noteInterrupted records an interrupted run. Unless this node ended the run, the engine may have
// crashed, and the request may be the cause.
func (r *request) noteInterrupted(ctx context.Context, interrupted interruptedRun, result string, err error) {
	r.pipeline.options.Log.RunInterrupted(r, interrupted, result, err)
	if countExceeded(err) || httpcheck.Count(err) {
		// The engine is alive, and sends bytes that are no response.
		return
	}
	if ctx.Err() != nil || isTimeout(err) || errors.Is(err, errForeignResponse) || errors.Is(err, errCallerGone) {
		return
	}
	r.pipeline.options.Table.RunInterrupted(r.pipeline.options.Environment.Now(), interrupted.choice.Incarnation())
	r.pipeline.crashes.runInterrupted(interrupted.choice, quarantine.InFlightRun{
		Fingerprint: quarantine.FingerprintOfRequest(r.content()), Run: interrupted.run, Route: r.route.Name, Tenant: r.callerIdentity(),
		Parts: r.suspectParts(),
	})
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// callerIdentity identifies the request's caller by something that is the same when the request
// is retried: the tenant's name, or the empty string without a tenant. A machine's address may
// change between two retries.
func (r *request) callerIdentity() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}

// requestContent identifies a request by its content, independent of its id.
type requestContent struct {
	scope uint64
	body  []byte
	parts []quarantine.Part
}

// Scope implements quarantine.Request.
func (c requestContent) Scope() uint64 { return c.scope }

// Body implements quarantine.Request.
func (c requestContent) Body() []byte { return c.body }

// Parts implements quarantine.Request.
func (c requestContent) Parts() []quarantine.Part { return c.parts }

func (r *request) content() requestContent {
	if r.scope == 0 {
		r.scope = quarantine.ScopeOf(r.incoming.Host+r.incoming.RequestURI, r.callerIdentity())
		r.parts = sharedParts(r.call, r.callerIdentity())
	}
	return requestContent{scope: r.scope, body: r.body, parts: r.parts}
}

// sharedParts returns the parts of a prompt that other requests may share: all but the last.
func sharedParts(call *Call, caller string) []quarantine.Part {
	if len(call.Parts) < 2 {
		return nil
	}
	scope := quarantine.PartScopeOf(call.Model, caller)
	parts := make([]quarantine.Part, 0, len(call.Parts)-1)
	for _, part := range call.Parts[:len(call.Parts)-1] {
		parts = append(parts, quarantine.Part{Fingerprint: quarantine.PartFingerprintOf(scope, part.ID), ID: part.ID})
	}
	return parts
}

// suspectParts returns the parts of the request's prompt that may have crashed an engine: none once an
// engine has written a part of the response.
func (r *request) suspectParts() []quarantine.Part {
	if r.events > 0 {
		return nil
	}
	return r.content().parts
}

// noteWritten records that an engine wrote a response to the request, or a part of one.
func (r *request) noteWritten() {
	r.pipeline.options.Guard.Written(r.pipeline.options.Environment.Now(), r.content())
}

// quarantineStatus returns the quarantine status of the request.
func (r *request) quarantineStatus() quarantine.Status {
	return r.pipeline.options.Guard.Status(r.content())
}

const (
	// crashMemory is how long a crashed engine is remembered, so that runs whose interruption is
	// noticed late are reported with the others.
	crashMemory = 2 * time.Second
	// aliveCheckTime is how long a new connection to an engine must stay open to show that the
	// engine is alive: a crashing process closes its listener and its connections in any order.
	aliveCheckTime = 50 * time.Millisecond
	// maximumReportedRuns bounds the runs that are reported for one engine crash.
	maximumReportedRuns = 16
)

// enginesCrashed counts crashes that were detected by an interrupted run and a refused connection.
var enginesCrashed = metrics.GetOrCreateCounter("ravenway_engine_ends_seen_total")

// crashDetector detects whether an engine whose runs were interrupted has crashed. If its address
// still accepts connections, only connections were lost. Safe for concurrent use.
type crashDetector struct {
	pipeline *Pipeline
	mutex    sync.Mutex
	engines  map[registry.Incarnation]*suspectedEngine
}

// suspectedEngine is an engine whose runs were interrupted recently.
type suspectedEngine struct {
	// since is when the first run was interrupted, or when the crash was detected.
	since      time.Time
	hasCrashed bool
	// isChecking is set while a check whether the engine is alive is in progress.
	isChecking bool
	// unreported are the interrupted runs that have not been reported yet.
	unreported []quarantine.InFlightRun
}

// addUnreported adds a run. Beyond maximumReportedRuns the least suspicious run is dropped.
func (e *suspectedEngine) addUnreported(run quarantine.InFlightRun) {
	if len(e.unreported) < maximumReportedRuns {
		e.unreported = append(e.unreported, run)
		return
	}
	bySuspicion := func(a, b quarantine.InFlightRun) int { return cmp.Compare(a.Run.Suspicion(), b.Run.Suspicion()) }
	if least := slices.MinFunc(e.unreported, bySuspicion); bySuspicion(run, least) > 0 {
		position := slices.IndexFunc(e.unreported, func(one quarantine.InFlightRun) bool { return bySuspicion(one, least) == 0 })
		e.unreported[position] = run
	}
}

func newCrashDetector(pipeline *Pipeline) *crashDetector {
	return &crashDetector{pipeline: pipeline, engines: map[registry.Incarnation]*suspectedEngine{}}
}

// runInterrupted records a run that was interrupted at an engine, and checks whether the engine has
// crashed.
func (d *crashDetector) runInterrupted(choice balance.Choice, run quarantine.InFlightRun) {
	incarnation := choice.Incarnation()
	d.mutex.Lock()
	d.forgetOld()
	engine := d.engines[incarnation]
	if engine == nil {
		engine = &suspectedEngine{since: time.Now()}
		d.engines[incarnation] = engine
	}
	// A brittle engine crashes because of its rejections, and not because of a run.
	isBrittle := d.pipeline.options.Slots.IsBrittle(choice.Instance)
	if !isBrittle {
		engine.addUnreported(run)
	}
	hasCrashed, isChecking := engine.hasCrashed, engine.isChecking
	engine.isChecking = true
	d.mutex.Unlock()
	switch {
	case hasCrashed:
		d.report(incarnation)
	case !isChecking:
		go d.check(choice, time.Now())
	}
}

// count returns the number of engines that are suspected of a crash, or have crashed recently.
func (d *crashDetector) count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.engines)
}

func (d *crashDetector) forgetOld() {
	for incarnation, engine := range d.engines {
		if time.Since(engine.since) > crashMemory {
			delete(d.engines, incarnation)
		}
	}
}

// check connects to an engine at which a run was interrupted, until a connection stays open, which
// shows that the engine is alive, or none can be opened. Runs that go on since then show that it is the
// same process.
func (d *crashDetector) check(choice balance.Choice, interruptedAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), maximumDialTimeout)
	defer cancel()
	for {
		opened, err := d.pipeline.pool.open(ctx, choice.Address, choice.Incarnation())
		if err != nil {
			d.connectionFailed(choice, err)
			d.endCheck(choice.Incarnation())
			return
		}
		if opened.staysQuiet(aliveCheckTime) {
			d.pipeline.pool.put(choice.Address, opened, nil)
			if d.pipeline.pool.hasOutlasted(choice.Incarnation(), interruptedAt) {
				d.pipeline.options.Table.ProcessConfirmed(choice.Incarnation())
			}
			d.forgetAlive(choice.Incarnation())
			return
		}
		opened.close()
	}
}

// endCheck ends a check that could not connect. If that did not show a crash either, the runs are kept:
// a newer incarnation may show it.
func (d *crashDetector) endCheck(incarnation registry.Incarnation) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if engine := d.engines[incarnation]; engine != nil {
		engine.isChecking = false
	}
}

// forgetAlive drops the state of an engine that is alive.
func (d *crashDetector) forgetAlive(incarnation registry.Incarnation) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if engine := d.engines[incarnation]; engine != nil && !engine.hasCrashed {
		delete(d.engines, incarnation)
	}
}

// connectionFailed records that no connection to an engine could be opened. Right after interrupted
// runs, a refused connection shows that the engine has crashed.
func (d *crashDetector) connectionFailed(choice balance.Choice, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	incarnation := choice.Incarnation()
	d.pipeline.options.Table.ConnectionRefused(d.pipeline.options.Environment.Now(), incarnation)
	d.mutex.Lock()
	engine := d.engines[incarnation]
	if engine == nil || engine.hasCrashed {
		d.mutex.Unlock()
		return
	}
	engine.hasCrashed, engine.since = true, time.Now()
	runs := len(engine.unreported)
	d.mutex.Unlock()
	enginesCrashed.Inc()
	d.pipeline.options.Table.IncarnationEnded(d.pipeline.options.Environment.Now(), incarnation)
	d.pipeline.options.Log.EngineCrashed(choice, runs, d.pipeline.options.Table.IsLeaving(incarnation))
	d.report(incarnation)
}

// incarnationReplaced records that a newer incarnation has replaced one: runs that were
// interrupted there recently, or are from now on, were in flight when it ended.
func (d *crashDetector) incarnationReplaced(incarnation registry.Incarnation) {
	d.mutex.Lock()
	d.forgetOld()
	engine := d.engines[incarnation]
	if engine == nil {
		engine = &suspectedEngine{}
		d.engines[incarnation] = engine
	}
	engine.hasCrashed, engine.since = true, time.Now()
	d.mutex.Unlock()
	d.report(incarnation)
}

// report reports the runs that were in flight at a crashed engine. An engine that was leaving
// ended as planned, so its runs are not reported.
func (d *crashDetector) report(incarnation registry.Incarnation) {
	d.mutex.Lock()
	var runs []quarantine.InFlightRun
	if engine := d.engines[incarnation]; engine != nil {
		runs, engine.unreported = engine.unreported, nil
	}
	d.mutex.Unlock()
	if len(runs) > 0 && !d.pipeline.options.Table.IsLeaving(incarnation) {
		d.pipeline.options.Guard.ReportCrash(d.pipeline.options.Environment.Now(), incarnation, runs)
	}
}
