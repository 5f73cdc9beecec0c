package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// scriptedDials is a dial function whose attempts each complete after their own time.
type scriptedDials struct {
	durations []time.Duration
	err       error

	mutex    sync.Mutex
	opened   []net.Conn
	attempts int
}

func (s *scriptedDials) dial(ctx context.Context) (net.Conn, error) {
	s.mutex.Lock()
	wait := s.durations[s.attempts]
	s.attempts++
	s.mutex.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
	}
	if s.err != nil {
		return nil, s.err
	}
	local, _ := net.Pipe()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.opened = append(s.opened, local)
	return local, nil
}

func runDials(t *testing.T, script *scriptedDials, test func(t *testing.T, connection net.Conn, err error, took time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		began := time.Now()
		connection, err := dialStaggered(ctx, initialAttemptDelay, script.dial)
		took := time.Since(began)
		synctest.Wait()
		test(t, connection, err, took)
	})
}

// Guards against abandoning slow attempts: over a saturated link, each response arrived after
// its attempt had been given up, so no connection was ever opened.
func TestSlowAttemptContinuesWhileTheNextOneRuns(t *testing.T) {
	script := &scriptedDials{durations: []time.Duration{1400 * time.Millisecond, 1400 * time.Millisecond, 1400 * time.Millisecond, 1400 * time.Millisecond}}
	runDials(t, script, func(t *testing.T, connection net.Conn, err error, took time.Duration) {
		assert.NilError(t, err)
		assert.Equal(t, took, 1400*time.Millisecond)
		assert.Equal(t, connection, script.opened[0])
	})
}

func TestLostAttemptDoesNotDelayTheNextOne(t *testing.T) {
	script := &scriptedDials{durations: []time.Duration{time.Hour, 10 * time.Millisecond}}
	runDials(t, script, func(t *testing.T, connection net.Conn, err error, took time.Duration) {
		assert.NilError(t, err)
		assert.Equal(t, took, initialAttemptDelay+10*time.Millisecond)
		assert.Equal(t, connection, script.opened[0])
	})
}

// Guards against slow reconnects after a power loss of all machines: each had dialled while
// the others were still off, so nodes had no connections for 0.9 s after their start.
func TestMachineThatStartsSlightlyLaterIsConnectedSlightlyLater(t *testing.T) {
	script := &scriptedDials{durations: []time.Duration{time.Hour, time.Hour, 10 * time.Millisecond}}
	runDials(t, script, func(t *testing.T, _ net.Conn, err error, took time.Duration) {
		assert.NilError(t, err)
		assert.Assert(t, took < 500*time.Millisecond, "%s", took)
	})
}

func TestRefusedAttemptEndsAllAttempts(t *testing.T) {
	script := &scriptedDials{durations: []time.Duration{time.Millisecond}, err: errors.New("refused")}
	runDials(t, script, func(t *testing.T, _ net.Conn, err error, took time.Duration) {
		assert.ErrorContains(t, err, "refused")
		assert.Equal(t, took, time.Millisecond)
	})
}

func TestUnansweredAttemptsEndAtTheTimeout(t *testing.T) {
	script := &scriptedDials{durations: []time.Duration{time.Hour, time.Hour, time.Hour, time.Hour, time.Hour}}
	runDials(t, script, func(t *testing.T, _ net.Conn, err error, took time.Duration) {
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, took, dialTimeout)
		assert.Equal(t, script.attempts, 5)
	})
}
