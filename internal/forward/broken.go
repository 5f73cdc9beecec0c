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

// brokenRun is a run at an instance that ended without a complete response.
type brokenRun struct {
	choice balance.Choice
	run    quarantine.Run
}

// broken describes the exchange's run at the moment it is interrupted.
func (e *exchange) broken(r *request, choice balance.Choice) brokenRun {
	return brokenRun{choice: choice, run: quarantine.Run{
		AnswerBegan: true, BeganFor: time.Since(e.answeredAt), BeginsAtHead: r.route.Kind == document.Stream && e.isSuccess(),
	}}
}

// String describes the run for the decision log.
func (b brokenRun) String() string {
	if !b.run.AnswerBegan {
		return "no answer had begun"
	}
	return fmt.Sprintf("its answer had begun %d ms before", b.run.BeganFor.Milliseconds())
}

// noteBroken records an interrupted run. Unless this node ended the run, the engine may have
// crashed, and the request may be the cause.
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

// callerIdentity identifies the request's caller by something that is the same when the request
// is retried: the tenant's name, or the empty string without a tenant. A machine's address may
// change between two retries.
func (r *request) callerIdentity() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}

// work identifies a request by its content, independent of its id.
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

// standing returns the quarantine status of the request.
func (r *request) standing() quarantine.Standing {
	return r.pipeline.options.Guard.Standing(r.work())
}

const (
	// endMemory is how long a crashed engine is remembered, so that runs whose interruption is
	// noticed late are reported with the others.
	endMemory = 2 * time.Second
	// aliveCheck is how long a new connection to an engine must stay open to show that the engine
	// is alive: a crashing process closes its listener and its connections in any order.
	aliveCheck = 50 * time.Millisecond
	// presentKept bounds the runs that are reported for one engine crash.
	presentKept = 16
)

// enginesEnded counts crashes that were detected by an interrupted run and a refused connection.
var enginesEnded = metrics.GetOrCreateCounter("ravenway_engine_ends_seen_total")

// endWatch detects whether an engine whose runs were interrupted has crashed. If its address
// still accepts connections, only connections were lost. Safe for concurrent use.
type endWatch struct {
	pipeline *Pipeline
	mutex    sync.Mutex
	engines  map[registry.Life]*brokenEngine
}

// brokenEngine is an engine whose runs were interrupted recently.
type brokenEngine struct {
	since    time.Time
	hasEnded bool
	// present are the interrupted runs that have not been reported yet.
	present []quarantine.Present
}

func newEndWatch(pipeline *Pipeline) *endWatch {
	return &endWatch{pipeline: pipeline, engines: map[registry.Life]*brokenEngine{}}
}

// broke records a run that was interrupted at an engine, and checks whether the engine has
// crashed.
func (w *endWatch) broke(choice balance.Choice, present quarantine.Present) {
	life := choice.Life()
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

// check connects to an engine at which a run was interrupted.
func (w *endWatch) check(choice balance.Choice) {
	ctx, cancel := context.WithTimeout(context.Background(), longestDialTimeout)
	defer cancel()
	for {
		opened, err := w.pipeline.pool.open(ctx, choice.Address)
		if err != nil {
			w.notConnected(choice, err)
			w.forgetUnlessEnded(choice.Life())
			return
		}
		if opened.holds(aliveCheck) {
			w.pipeline.pool.put(choice.Address, opened, nil)
			w.forgetUnlessEnded(choice.Life())
			return
		}
		opened.close()
	}
}

// forgetUnlessEnded drops the state of an engine that is alive, or whose state can't be
// determined.
func (w *endWatch) forgetUnlessEnded(life registry.Life) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if engine := w.engines[life]; engine != nil && !engine.hasEnded {
		delete(w.engines, life)
	}
}

// notConnected records that no connection to an engine could be opened. Right after interrupted
// runs, a refused connection shows that the engine has crashed.
func (w *endWatch) notConnected(choice balance.Choice, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	life := choice.Life()
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
	w.pipeline.options.Table.Ended(w.pipeline.options.Environment.Now(), life)
	w.pipeline.options.Log.EngineEnded(choice, runs, w.pipeline.options.Table.IsLeaving(life))
	w.report(life)
}

// lifeOver records that a newer incarnation has replaced one: runs that were interrupted there
// recently, or are from now on, were in flight when it ended.
func (w *endWatch) lifeOver(life registry.Life) {
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

// report reports the runs that were in flight at a crashed engine. An engine that was leaving
// ended as planned, so its runs are not reported.
func (w *endWatch) report(life registry.Life) {
	w.mutex.Lock()
	var present []quarantine.Present
	if engine := w.engines[life]; engine != nil {
		present, engine.present = engine.present, nil
	}
	w.mutex.Unlock()
	if len(present) > 0 && !w.pipeline.options.Table.IsLeaving(life) {
		w.pipeline.options.Guard.Ended(life, present)
	}
}
