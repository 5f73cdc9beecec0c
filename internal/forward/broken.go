package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/state/document"
)

// brokenRun is a run at an instance that ended without a whole answer.
type brokenRun struct {
	choice balance.Choice
	run    quarantine.Run
}

// broken describes the exchange's run as it breaks.
func (e *exchange) broken(r *request, choice balance.Choice) brokenRun {
	return brokenRun{choice: choice, run: quarantine.Run{
		ResponseBegan: true, ResponseAge: time.Since(e.answeredAt), RespondsAtStart: r.route.Kind == document.Stream && e.isSuccess(),
	}}
}

// String describes it for the decision log.
func (b brokenRun) String() string {
	if !b.run.ResponseBegan {
		return "no answer had begun"
	}
	return fmt.Sprintf("its answer had begun %d ms before", b.run.ResponseAge.Milliseconds())
}

// noteBroken notes a run that broke. Unless this node ended it, the engine may have
// ended, and the request may be why.
func (r *request) noteBroken(ctx context.Context, broken brokenRun, result string, err error) {
	r.pipeline.options.Log.Broken(r, broken, result, err)
	if ctx.Err() != nil || isTimeout(err) || errors.Is(err, errOtherAnswer) || errors.Is(err, errCallerGone) {
		return
	}
	r.pipeline.ends.broke(broken.choice, quarantine.Present{
		Fingerprint: quarantine.FingerprintOfRequest(r.work()), Run: broken.run, Route: r.route.Name, Tenant: r.callerIdentity(),
	})
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// callerIdentity is whose request it is as far as a return of it says the same again:
// the tenant's name, or nothing. A machine's address may change between two returns.
func (r *request) callerIdentity() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}

// work is what a request is, whatever its id.
type work struct {
	scope uint64
	body  []byte
}

// Scope implements quarantine.Request.
func (w work) Scope() uint64 { return w.scope }

// Body implements quarantine.Request.
func (w work) Body() []byte { return w.body }

func (r *request) work() work {
	if r.scope == 0 {
		r.scope = quarantine.ScopeOf(r.incoming.Host+r.incoming.RequestURI, r.callerIdentity())
	}
	return work{scope: r.scope, body: r.body}
}

// standing tells what is held against the request.
func (r *request) standing() quarantine.Status {
	return r.pipeline.options.Guard.Status(r.work())
}

const (
	// endMemory is how long an engine that has ended is remembered, so that runs whose
	// end is noticed late count with the others.
	endMemory = 2 * time.Second
	// aliveCheck is how long a new connection to an engine must hold to show that the
	// engine lives: one that ends closes its listener and its connections in any order.
	aliveCheck = 50 * time.Millisecond
	// presentKept bounds the runs that are reported of one engine's end.
	presentKept = 16
)

// enginesEnded counts ends that were seen by a run that broke and a refused connection.
var enginesEnded = metrics.GetOrCreateCounter("ravenway_engine_ends_seen_total")

// endWatch finds out whether an engine at which runs broke has ended: an address that
// takes connections on has only lost some. Safe for concurrent use.
type endWatch struct {
	pipeline *Pipeline
	mutex    sync.Mutex
	engines  map[registry.Incarnation]*brokenEngine
}

// brokenEngine is an engine at which runs broke of late.
type brokenEngine struct {
	since    time.Time
	hasEnded bool
	// present are the runs that broke and were not reported.
	present []quarantine.Present
}

func newEndWatch(pipeline *Pipeline) *endWatch {
	return &endWatch{pipeline: pipeline, engines: map[registry.Incarnation]*brokenEngine{}}
}

// broke notes a run that broke at an engine, and looks whether that has ended.
func (w *endWatch) broke(choice balance.Choice, present quarantine.Present) {
	life := choice.Incarnation()
	w.mutex.Lock()
	w.forgetOld()
	engine := w.engines[life]
	isFirst := engine == nil
	if isFirst {
		engine = &brokenEngine{since: time.Now()}
		w.engines[life] = engine
	}
	if len(engine.present) < presentKept {
		engine.present = append(engine.present, present)
	}
	hasEnded := engine.hasEnded
	w.mutex.Unlock()
	switch {
	case hasEnded:
		w.report(life)
	case isFirst:
		go w.check(choice)
	}
}

func (w *endWatch) forgetOld() {
	for life, engine := range w.engines {
		if time.Since(engine.since) > endMemory {
			delete(w.engines, life)
		}
	}
}

// check connects to an engine at which a run broke.
func (w *endWatch) check(choice balance.Choice) {
	ctx, cancel := context.WithTimeout(context.Background(), longestDialTimeout)
	defer cancel()
	for {
		opened, err := w.pipeline.pool.open(ctx, choice.Address)
		if err != nil {
			w.notConnected(choice, err)
			w.forgetUnlessEnded(choice.Incarnation())
			return
		}
		if opened.holds(aliveCheck) {
			w.pipeline.pool.put(choice.Address, opened, nil)
			w.forgetUnlessEnded(choice.Incarnation())
			return
		}
		opened.close()
	}
}

// forgetUnlessEnded drops what is known of an engine that lives, or of which nothing can
// be told.
func (w *endWatch) forgetUnlessEnded(life registry.Incarnation) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if engine := w.engines[life]; engine != nil && !engine.hasEnded {
		delete(w.engines, life)
	}
}

// notConnected notes that no connection to an engine came up. Where runs have just
// broken, a refusal shows that the engine has ended.
func (w *endWatch) notConnected(choice balance.Choice, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	life := choice.Incarnation()
	w.mutex.Lock()
	engine := w.engines[life]
	if engine == nil || engine.hasEnded {
		w.mutex.Unlock()
		return
	}
	engine.hasEnded, engine.since = true, time.Now()
	runs := len(engine.present)
	w.mutex.Unlock()
	enginesEnded.Inc()
	w.pipeline.options.Table.IncarnationEnded(w.pipeline.options.Environment.Now(), life)
	w.pipeline.options.Log.EngineEnded(choice, runs, w.pipeline.options.Table.IsLeaving(life))
	w.report(life)
}

// lifeOver notes that a newer life has replaced one: runs that break there from now on,
// and those that just did, were at its end.
func (w *endWatch) lifeOver(life registry.Incarnation) {
	w.mutex.Lock()
	w.forgetOld()
	engine := w.engines[life]
	if engine == nil {
		engine = &brokenEngine{}
		w.engines[life] = engine
	}
	engine.hasEnded, engine.since = true, time.Now()
	w.mutex.Unlock()
	w.report(life)
}

// report hands on who was at an engine that has ended. One that was leaving ended as it
// said, by nobody's fault.
func (w *endWatch) report(life registry.Incarnation) {
	w.mutex.Lock()
	var present []quarantine.Present
	if engine := w.engines[life]; engine != nil {
		present, engine.present = engine.present, nil
	}
	w.mutex.Unlock()
	if len(present) > 0 && !w.pipeline.options.Table.IsLeaving(life) {
		w.pipeline.options.Guard.ReportCrash(life, present)
	}
}
