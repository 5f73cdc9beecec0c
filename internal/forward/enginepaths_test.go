package forward

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/enginepath"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/transport"
)

// testPaths implements EnginePaths with a fixed plan and a relay that takes a time.
type testPaths struct {
	noEnginePaths
	plan       enginepath.Plan
	relayTakes time.Duration
	relayErr   error
	isLost     bool

	mutex   sync.Mutex
	results []enginepath.Outcome
	relayed []*testRelayed
}

func (p *testPaths) Plan(string) enginepath.Plan { return p.plan }

func (p *testPaths) IsLost() bool { return p.isLost }

func (p *testPaths) RecordDial(_ string, outcome enginepath.Outcome, _ time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.results = append(p.results, outcome)
}

func (p *testPaths) OpenRelayed(ctx context.Context, _ string, _ registry.Incarnation) (RelayedConnection, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(p.relayTakes):
	}
	if p.relayErr != nil {
		return nil, p.relayErr
	}
	local, _ := net.Pipe()
	opened := &testRelayed{EndConfirmer: transport.WithConfirmedEnd(local)}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.relayed = append(p.relayed, opened)
	return opened, nil
}

type testRelayed struct {
	transport.EndConfirmer
	isClosed bool
}

func (r *testRelayed) Close() error {
	r.isClosed = true
	return r.EndConfirmer.Close()
}

func (r *testRelayed) Relay() string { return "relay" }

func (r *testRelayed) ReportSignal(string, backoff.Signal) {}

func (r *testRelayed) ReportSilence() {}

// dialAfter returns a dial function that takes a time.
func dialAfter(takes time.Duration, err error) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, _ string) (net.Conn, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(takes):
		}
		if err != nil {
			return nil, err
		}
		local, _ := net.Pipe()
		return local, nil
	}
}

func TestFirstWayThatOpensIsUsed(t *testing.T) {
	const head = 20 * time.Millisecond
	type want struct {
		isRelayed bool
		took      time.Duration
		results   []enginepath.Outcome
	}
	for name, row := range map[string]struct {
		plan        enginepath.Plan
		directTakes time.Duration
		directErr   error
		relayTakes  time.Duration
		relayErr    error
		want        want
	}{
		"direct in time":                 {enginepath.Plan{RelayDelay: head}, time.Millisecond, nil, 5 * time.Millisecond, nil, want{false, time.Millisecond, []enginepath.Outcome{enginepath.Connected}}},
		"direct silent":                  {enginepath.Plan{RelayDelay: head}, time.Hour, nil, 5 * time.Millisecond, nil, want{true, head + 5*time.Millisecond, []enginepath.Outcome{enginepath.Silent}}},
		"direct refused: no delay":       {enginepath.Plan{RelayDelay: head}, time.Millisecond, syscall.ECONNREFUSED, 5 * time.Millisecond, nil, want{true, 6 * time.Millisecond, []enginepath.Outcome{enginepath.Refused}}},
		"direct late, before the relay":  {enginepath.Plan{RelayDelay: head}, 30 * time.Millisecond, nil, 50 * time.Millisecond, nil, want{false, 30 * time.Millisecond, []enginepath.Outcome{enginepath.Connected}}},
		"only a relay":                   {enginepath.Plan{WithoutDirect: true}, time.Hour, nil, 5 * time.Millisecond, nil, want{true, 5 * time.Millisecond, nil}},
		"relay first, and it fails":      {enginepath.Plan{DirectDelay: head}, time.Millisecond, nil, 3 * time.Millisecond, ErrNoRelay, want{false, 4 * time.Millisecond, []enginepath.Outcome{enginepath.Connected}}},
		"relay first, and it is in time": {enginepath.Plan{DirectDelay: head}, time.Millisecond, nil, 3 * time.Millisecond, nil, want{true, 3 * time.Millisecond, nil}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				paths := &testPaths{plan: row.plan, relayTakes: row.relayTakes, relayErr: row.relayErr}
				connections := newPool(dialAfter(row.directTakes, row.directErr), func() time.Duration { return 0 }, paths)
				began := time.Now()
				opened, err := connections.open(t.Context(), "engine", registry.Incarnation{})
				assert.NilError(t, err)
				assert.Equal(t, opened.relayed != nil, row.want.isRelayed)
				assert.Equal(t, time.Since(began), row.want.took)
				time.Sleep(time.Second)
				synctest.Wait()
				assert.DeepEqual(t, paths.results, row.want.results)
				// The loser is closed, or kept for the next request if it is a direct connection.
				for _, relayed := range paths.relayed {
					assert.Equal(t, relayed.isClosed, !row.want.isRelayed)
				}
			})
		})
	}
}

func TestRefusedConnectionShowsTheEndOfAnEngineOnlyIfRelaysAreRefusedToo(t *testing.T) {
	lost := errors.New("the peers have lost their paths")
	refusedByEngine := errors.Join(errors.New("asked three relays"), syscall.ECONNREFUSED)
	for name, row := range map[string]struct {
		directErr, relayErr error
		isLost, isRefused   bool
	}{
		"refused, relays too":           {syscall.ECONNREFUSED, refusedByEngine, false, true},
		"silent, relays refused":        {context.DeadlineExceeded, refusedByEngine, false, true},
		"refused, no relay":             {syscall.ECONNREFUSED, ErrNoRelay, false, true},
		"refused, no relay, path lost":  {syscall.ECONNREFUSED, ErrNoRelay, true, false},
		"refused, relays lost too":      {syscall.ECONNREFUSED, lost, false, false},
		"silent, relays lost too":       {context.DeadlineExceeded, lost, false, false},
		"refused, relays not asked":     {syscall.ECONNREFUSED, nil, false, true},
		"refused, not asked, path lost": {syscall.ECONNREFUSED, nil, true, false},
	} {
		race := &pathRace{pool: newPool(nil, nil, &testPaths{isLost: row.isLost})}
		err := race.failure(row.directErr, row.relayErr)
		assert.Check(t, errors.Is(err, syscall.ECONNREFUSED) == row.isRefused, "%s: %v", name, err)
	}
}

// Guards against a caller that waits for a connection although both ways failed a moment ago.
func TestNoAttemptIsMadeWithoutAWay(t *testing.T) {
	connections := newPool(dialAfter(time.Hour, nil), nil, &testPaths{plan: enginepath.Plan{WithoutDirect: true, WithoutRelay: true}})
	_, err := connections.open(t.Context(), "engine", registry.Incarnation{})
	assert.ErrorIs(t, err, errNoPath)
}

// Guards against unsafe requests that are written to an idle connection whose path is lost.
func TestIdleConnectionOverADoubtfulPathIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paths := &testPaths{plan: enginepath.Plan{WithoutRelay: true}}
		connections := newPool(dialAfter(0, nil), func() time.Duration { return 0 }, paths)
		first, err := connections.get(t.Context(), "engine", registry.Incarnation{})
		assert.NilError(t, err)
		connections.putUnused("engine", first)
		again, err := connections.get(t.Context(), "engine", registry.Incarnation{})
		assert.NilError(t, err)
		assert.Assert(t, again == first)
		connections.putUnused("engine", first)
		connections.recordDial("engine", enginepath.Silent, 0)
		other, err := connections.get(t.Context(), "engine", registry.Incarnation{})
		assert.NilError(t, err)
		assert.Assert(t, other != first)
	})
}
