package forward

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/state/document"
)

// The end of a response with neither a length nor chunks is the end of its connection, which is also what
// the crash of its engine looks like. While such responses arrive from an engine, a further connection to it
// is kept open, the witness: it ends with the engine's process and with nothing else. A new connection at
// the end of the response would not show a crash if another process listens at the address by then.

const (
	// streamQuietTime is how long after a stream's last event the witness must stay open: a crashing process
	// closes its connections in any order within this time. It delays the end of the stream, and no event.
	streamQuietTime = aliveCheckTime
	// wholeQuietTime is streamQuietTime for other responses, which it delays as a whole.
	wholeQuietTime = 20 * time.Millisecond
	// maximumWitnessAge is how old the witness of a further response may be.
	maximumWitnessAge = 2 * time.Second
	// maximumIdleAge is the age from which on the engine may have closed the witness because it is idle.
	maximumIdleAge = defaultIdle
)

var (
	// errEngineEnded means that a response ended with its connection because its engine crashed.
	errEngineEnded = errors.New("forward: the engine ended with the response's connection")
	// errEndUnconfirmed means that a response ended with its connection, and whether its engine crashed can't
	// be found out.
	errEndUnconfirmed = errors.New("forward: it is not known whether the engine ended with the response's connection")
	// errRequestNotReceived means that a response ended with its connection although its engine may not have received the
	// whole request: the connection was reset, or the engine has ended it early.
	errRequestNotReceived = errors.New("forward: the response's connection ended before the whole request was received")
	// errNoEvent means that a stream ended with its connection before its first event.
	errNoEvent = errors.New("forward: the stream ended before its first event")
)

// endWitness is an idle connection to an engine that shows whether the engine's process has ended.
type endWitness struct {
	openedAt time.Time
	// opened is closed when the connection is open or can't be opened.
	opened     chan struct{}
	connection *connection
	err        error
	// ended is closed when the connection can't be read any more, for the reason readErr.
	ended   chan struct{}
	readErr error
	// users is the number of responses that use the witness.
	users int
}

// endWitnesses holds the witnesses of all engines. Safe for concurrent use.
type endWitnesses struct {
	pool  *pool
	mutex sync.Mutex
	// newest is the newest witness of each incarnation.
	newest map[registry.Incarnation]*endWitness
}

func newEndWitnesses(pool *pool) *endWitnesses {
	return &endWitnesses{pool: pool, newest: map[registry.Incarnation]*endWitness{}}
}

// acquire returns a witness of an engine, which the caller releases.
func (w *endWitnesses) acquire(choice balance.Choice) *endWitness {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.newest[choice.Incarnation()]
	if known == nil || time.Since(known.openedAt) > maximumWitnessAge {
		known = &endWitness{openedAt: time.Now(), opened: make(chan struct{}), ended: make(chan struct{})}
		w.newest[choice.Incarnation()] = known
		go known.watch(w.pool, choice)
	}
	known.users++
	return known
}

// watch opens the connection and waits until it ends.
func (w *endWitness) watch(pool *pool, choice balance.Choice) {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	w.connection, w.err = pool.open(ctx, choice.Address, choice.Incarnation())
	close(w.opened)
	if w.err == nil {
		_, w.readErr = w.connection.reader.Peek(1)
	}
	close(w.ended)
}

// release ends the use of a witness. With the last use its connection becomes available to requests.
func (w *endWitnesses) release(used *endWitness, choice balance.Choice) {
	w.mutex.Lock()
	used.users--
	isLast := used.users == 0
	if isLast && w.newest[choice.Incarnation()] == used {
		delete(w.newest, choice.Incarnation())
	}
	w.mutex.Unlock()
	if isLast {
		go used.keep(w.pool, choice.Address)
	}
}

// keep passes the connection of a witness that nothing uses to the pool.
func (w *endWitness) keep(pool *pool, address string) {
	<-w.opened
	if w.err != nil {
		return
	}
	// Ends the wait for the connection's end.
	_ = w.connection.network.SetReadDeadline(time.Now())
	<-w.ended
	if !errors.Is(w.readErr, os.ErrDeadlineExceeded) {
		w.connection.close()
		return
	}
	_ = w.connection.network.SetReadDeadline(time.Time{})
	pool.putUnused(address, w.connection)
}

// processState is what a witness shows of an engine's process.
type processState uint8

const (
	// processUnknown: there is no witness.
	processUnknown processState = iota
	processRuns
	processEnded
	// processMayRun: the witness has ended, but the engine may have closed it because it was idle.
	processMayRun
)

// process returns the state of the engine's process at the end of a response, after it has been quiet for a
// time.
func (w *endWitness) process(ctx context.Context, quietTime time.Duration) processState {
	select {
	case <-w.opened:
	case <-ctx.Done():
		return processUnknown
	}
	if errors.Is(w.err, syscall.ECONNREFUSED) {
		return processEnded
	}
	if w.err != nil {
		return processUnknown
	}
	quiet := time.NewTimer(quietTime)
	defer quiet.Stop()
	select {
	case <-quiet.C:
		return processRuns
	case <-w.ended:
	}
	if time.Since(w.openedAt) > maximumIdleAge {
		return processMayRun
	}
	return processEnded
}

// watchEnd begins to watch the engine if the response will end with its connection. The returned function
// ends that.
func (r *request) watchEnd(sending *exchange, choice balance.Choice) (stop func()) {
	if !sending.endsByClose() {
		return func() {}
	}
	sending.witness = r.pipeline.witnesses.acquire(choice)
	return func() { r.pipeline.witnesses.release(sending.witness, choice) }
}

// responsesCut counts responses that ended with their connection while their request was not received as a whole.
var responsesCut = metrics.GetOrCreateCounter("ravenway_engine_responses_cut_total")

// confirmRequestReceived returns an error unless the engine's machine has received the whole request. An engine that
// ends its connection before has not responded to it, and a reset may look like a regular end to the reader.
func (e *exchange) confirmRequestReceived(ctx context.Context) error {
	select {
	case <-e.written:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if e.writeErr != nil {
		return e.writeErr
	}
	return e.connection.network.ConfirmEnd(ctx)
}

// confirmEnd returns an error if a response that was read to its end may have been broken off by the crash
// of its engine, or by a reset of its connection.
func (r *request) confirmEnd(ctx context.Context, sending *exchange, choice balance.Choice) error {
	if !sending.endsByClose() {
		return nil
	}
	r.pipeline.options.Log.EndedByClose(r, choice)
	if err := sending.confirmRequestReceived(ctx); err != nil {
		responsesCut.Inc()
		return fmt.Errorf("%w: %w", errRequestNotReceived, err)
	}
	quietTime := wholeQuietTime
	if r.route.Kind == document.Stream {
		quietTime = streamQuietTime
	}
	process := sending.witness.process(ctx, quietTime)
	if process == processEnded || sending.isReplaced.Load() || r.pipeline.crashes.hasCrashed(choice.Incarnation()) {
		return errEngineEnded
	}
	if process == processRuns {
		return nil
	}
	err := r.confirmByConnecting(ctx, choice, quietTime)
	if process == processMayRun && errors.Is(err, errEndUnconfirmed) {
		return nil
	}
	return err
}

// confirmByConnecting returns an error unless a new connection to an engine stays open for a time. An engine
// whose witness could not be opened may have been silent while the response arrived.
func (r *request) confirmByConnecting(ctx context.Context, choice balance.Choice, quietTime time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	opened, err := r.pipeline.pool.open(ctx, choice.Address, choice.Incarnation())
	if errors.Is(err, errNoPath) {
		// The response has just ended, so the engine may be reachable again.
		opened, err = r.pipeline.pool.openDirect(ctx, choice.Address)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", errEngineEnded, err)
	case err != nil:
		return fmt.Errorf("%w: %w", errEndUnconfirmed, err)
	case !opened.staysQuiet(quietTime):
		opened.close()
		return errEndUnconfirmed
	}
	_ = opened.network.SetReadDeadline(time.Time{})
	r.pipeline.pool.putUnused(choice.Address, opened)
	return nil
}

// hasCrashed reports whether an incarnation is known to have crashed recently.
func (d *crashDetector) hasCrashed(incarnation registry.Incarnation) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	engine := d.engines[incarnation]
	return engine != nil && engine.hasCrashed
}
