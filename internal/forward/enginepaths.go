package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/enginepath"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/transport"
)

// relayTimeout bounds the opening of a connection through relays: one of them may be gone, and the
// next one connects to an engine.
const relayTimeout = 400 * time.Millisecond

// Errors of connections to engines.
var (
	// ErrNoRelay means that no other node relays a connection now.
	ErrNoRelay = errors.New("forward: no node relays the connection")
	// errNoPath means that neither way to an engine is worth an attempt now.
	errNoPath = errors.New("forward: the engine was unreachable a moment ago, directly and through relays")
)

// EnginePaths decides how connections to engines are opened, and opens them through other nodes.
type EnginePaths interface {
	// Plan returns how to open a connection to the engine at an address.
	Plan(address string) enginepath.Plan
	// RecordDial records the result of a direct attempt to connect to the engine at an address, and
	// how long it took.
	RecordDial(address string, outcome enginepath.Outcome, took time.Duration)
	// IsDoubtful reports whether a direct connection to an engine that was opened before may have
	// lost its path, and IsLost whether this node has lost its path to all engines.
	IsDoubtful(address string) bool
	IsLost() bool
	// IsPartitioned reports whether this node is partitioned from an engine that other nodes reach.
	// TakeCheck reports whether a check of that is due, and counts it as done.
	IsPartitioned(address string) bool
	TakeCheck(address string) bool
	// IsIsolated reports whether callers are better served by other nodes, since this one reaches
	// no engine.
	IsIsolated() bool
	// OpenRelayed opens a connection to an incarnation of an engine through another node. The error
	// wraps syscall.ECONNREFUSED if the engine refused the other node's connection, and ErrNoRelay
	// if no node relays.
	OpenRelayed(ctx context.Context, address string, incarnation registry.Incarnation) (RelayedConnection, error)
}

// RelayedConnection is a connection to an engine through another node, the relay.
type RelayedConnection interface {
	transport.EndConfirmer
	// Relay returns the relay's address.
	Relay() string
	// ReportSignal reports to the relay what the engine's response to a request asks of its machine.
	ReportSignal(request string, signal backoff.Signal)
	// ReportSilence records that the relay acknowledges nothing.
	ReportSilence()
}

type noEnginePaths struct{}

func (noEnginePaths) Plan(string) enginepath.Plan { return enginepath.Plan{WithoutRelay: true} }

func (noEnginePaths) RecordDial(string, enginepath.Outcome, time.Duration) {}

func (noEnginePaths) IsDoubtful(string) bool { return false }

func (noEnginePaths) IsLost() bool { return false }

func (noEnginePaths) IsPartitioned(string) bool { return false }

func (noEnginePaths) TakeCheck(string) bool { return false }

func (noEnginePaths) IsIsolated() bool { return false }

func (noEnginePaths) OpenRelayed(context.Context, string, registry.Incarnation) (RelayedConnection, error) {
	return nil, ErrNoRelay
}

// DialOutcome returns what the result of a dial indicates about the path to the engine.
func DialOutcome(err error) enginepath.Outcome {
	switch {
	case err == nil:
		return enginepath.Connected
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return enginepath.Refused
	}
	return enginepath.Silent
}

// DialEngine opens a direct connection to the engine at an address, whose bytes are counted.
func (p *Pipeline) DialEngine(ctx context.Context, address string) (transport.EndConfirmer, error) {
	network, err := p.pool.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.pool.adopt(network), nil
}

// adopt counts a new direct connection and its bytes.
func (p *pool) adopt(network net.Conn) transport.EndConfirmer {
	connectionsOpened.Inc()
	return transport.WithConfirmedEnd(p.meter.Wrap(network))
}

// openDirect opens a direct connection even if it is not worth an attempt by the results so far.
func (p *pool) openDirect(ctx context.Context, address string) (*connection, error) {
	startedAt := time.Now()
	network, err := p.dial(ctx, address)
	p.recordDial(address, DialOutcome(err), time.Since(startedAt))
	if err != nil {
		return nil, err
	}
	return newConnection(p.adopt(network)), nil
}

// pathRace opens one connection to an engine by the direct way and through a relay, whichever
// succeeds first.
type pathRace struct {
	pool        *pool
	address     string
	incarnation registry.Incarnation
	results     chan pathResult
	// over is closed when the race has ended.
	over chan struct{}
	// cancelDirect and cancelRelay end the attempts; nil before their start.
	cancelDirect, cancelRelay context.CancelFunc
}

// pathResult is the result of one attempt.
type pathResult struct {
	connection *connection
	err        error
	isRelayed  bool
}

// open opens a new connection.
func (p *pool) open(ctx context.Context, address string, incarnation registry.Incarnation) (*connection, error) {
	plan := p.paths.Plan(address)
	if plan.WithoutDirect && plan.WithoutRelay {
		return nil, errNoPath
	}
	race := &pathRace{pool: p, address: address, incarnation: incarnation, results: make(chan pathResult), over: make(chan struct{})}
	defer close(race.over)
	return race.run(ctx, plan)
}

func (r *pathRace) run(ctx context.Context, plan enginepath.Plan) (*connection, error) {
	// An attempt is due when its timer fires, or when the other one has failed. A nil channel
	// stands for one that is excluded or has started.
	var directDue, relayDue <-chan time.Time
	if !plan.WithoutDirect {
		directDue = dueAfter(plan.DirectDelay)
	}
	if !plan.WithoutRelay {
		delay := plan.RelayDelay
		if !plan.WithoutDirect && delay > 0 {
			delay += r.pool.linkDelay()
		}
		relayDue = dueAfter(delay)
	}
	var directErr, relayErr error
	running := 0
	for {
		if running == 0 && (directErr != nil || relayErr != nil) {
			switch {
			case directDue != nil:
				directDue = dueAfter(0)
			case relayDue != nil:
				relayDue = dueAfter(0)
			default:
				return nil, r.failure(directErr, relayErr)
			}
		}
		select {
		case <-directDue:
			directDue = nil
			running++
			r.startDirect(ctx)
		case <-relayDue:
			relayDue = nil
			running++
			r.startRelayed(ctx)
		case result := <-r.results:
			running--
			switch {
			case result.err == nil:
				r.end(result.isRelayed)
				return result.connection, nil
			case result.isRelayed:
				relayErr = result.err
			default:
				directErr = result.err
			}
		case <-ctx.Done():
			r.end(false)
			return nil, ctx.Err()
		}
	}
}

// dueAfter returns a channel from which can be received after a delay. Without a delay it has no timer: in a
// testing/synctest bubble, timers that fall due before a goroutine reads them crash the race detector.
func dueAfter(delay time.Duration) <-chan time.Time {
	if delay > 0 {
		return time.After(delay)
	}
	due := make(chan time.Time)
	close(due)
	return due
}

// end ends the attempts that are still running. A direct attempt continues after a relayed one has
// succeeded, since its result shows whether the engine is reachable.
func (r *pathRace) end(isRelayed bool) {
	if r.cancelRelay != nil && !isRelayed {
		r.cancelRelay()
	}
	if r.cancelDirect != nil && !isRelayed {
		r.cancelDirect()
	}
}

// startDirect starts the direct attempt. It does not end with the context, see end.
func (r *pathRace) startDirect(ctx context.Context) {
	timeout := min(DialTimeout+r.pool.linkDelay(), maximumDialTimeout)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	r.cancelDirect = cancel
	go func() {
		defer cancel()
		startedAt := time.Now()
		network, err := r.pool.dial(ctx, r.address)
		if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
			r.pool.recordDial(r.address, DialOutcome(err), time.Since(startedAt))
		}
		if err != nil {
			r.deliver(pathResult{err: err})
			return
		}
		opened := newConnection(r.pool.adopt(network))
		if !r.deliver(pathResult{connection: opened}) {
			r.pool.putUnused(r.address, opened)
		}
	}()
}

// startRelayed starts the attempt through relays.
func (r *pathRace) startRelayed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, min(relayTimeout+r.pool.linkDelay(), maximumDialTimeout))
	r.cancelRelay = cancel
	go func() {
		defer cancel()
		relayed, err := r.pool.paths.OpenRelayed(ctx, r.address, r.incarnation)
		if err != nil {
			r.deliver(pathResult{err: err, isRelayed: true})
			return
		}
		connectionsRelayed.Inc()
		opened := newConnection(relayed)
		opened.relayed = relayed
		if !r.deliver(pathResult{connection: opened, isRelayed: true}) {
			opened.close()
		}
	}()
}

// deliver passes a result to the race; false means that the race is over.
func (r *pathRace) deliver(result pathResult) bool {
	select {
	case r.results <- result:
		return true
	case <-r.over:
		return false
	}
}

// failure returns the error of a race in which no attempt succeeded. It wraps syscall.ECONNREFUSED
// only if the refusal shows that the engine has ended: a partition may refuse this node's own
// connections, too.
func (r *pathRace) failure(directErr, relayErr error) error {
	isRefused := errors.Is(relayErr, syscall.ECONNREFUSED)
	if errors.Is(directErr, syscall.ECONNREFUSED) && (relayErr == nil || errors.Is(relayErr, ErrNoRelay)) {
		isRefused = !r.pool.paths.IsLost()
	}
	switch {
	case isRefused:
		return fmt.Errorf("%w (directly: %v, through a relay: %v)", syscall.ECONNREFUSED, directErr, relayErr)
	case relayErr == nil && !errors.Is(directErr, syscall.ECONNREFUSED):
		return directErr
	case relayErr == nil:
		return fmt.Errorf("the path to all engines is lost: %v", directErr)
	}
	return fmt.Errorf("directly: %v, through a relay: %w", directErr, relayErr)
}

// recordDial records the result of a direct attempt, or a connection's silence. The idle connections
// of an engine that is no longer reachable are closed: a request written to one may be lost.
func (p *pool) recordDial(address string, outcome enginepath.Outcome, took time.Duration) {
	p.paths.RecordDial(address, outcome, took)
	if outcome != enginepath.Connected {
		p.closeIdle(address)
	}
}

// failureOutcome is the outcome of a run that an instance interrupted. If the path to the instance
// is doubtful, the run indicates nothing about the instance.
func (r *request) failureOutcome(choice balance.Choice) balance.Outcome {
	if r.pipeline.options.EnginePaths.IsDoubtful(choice.Address) {
		return balance.Abandoned
	}
	return balance.Failed
}
