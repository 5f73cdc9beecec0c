package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	tick = 300 * time.Millisecond
	link = 1_000_000
)

// world feeds a shedder with one reading per tick.
type world struct {
	shedder Shedder
	now     time.Duration
	bytes   int64
}

// run simulates a time with a delay and a share of the link that callers fill, and returns for
// how much of the time the node shed load.
func (w *world) run(length, delay time.Duration, share float64, change ...func(*Reading)) (shed time.Duration) {
	for end := w.now + length; w.now < end; {
		w.now += tick
		w.bytes += int64(share * link * tick.Seconds())
		reading := Reading{Delay: delay, DelayKnown: true, CallerBytes: w.bytes, LinkBytes: link, Others: 3}
		for _, one := range change {
			one(&reading)
		}
		w.shedder.Step(w.now, reading)
		if w.shedder.Shedding() {
			shed += tick
		}
	}
	return shed
}

func TestNodeWithAFullLinkShedsLoadUntilItIsFree(t *testing.T) {
	w := &world{}
	assert.Equal(t, w.run(10*time.Second, 20*time.Millisecond, 0.5), time.Duration(0))
	w.run(2*time.Second, time.Second, 0.9)
	assert.Assert(t, w.shedder.Shedding())
	// Shedding ends neither before its time has passed nor before the link is free.
	w.run(firstPause-2*time.Second, 10*time.Millisecond, 0.1)
	assert.Assert(t, w.shedder.Shedding())
	w.run(5*time.Second, 200*time.Millisecond, 0.4)
	assert.Assert(t, w.shedder.Shedding())
	w.run(tick, 10*time.Millisecond, 0.1)
	assert.Assert(t, !w.shedder.Shedding())
}

func TestPausesGrowWhileTheLinkFillsAgainAndAgain(t *testing.T) {
	w := &world{}
	var pauses []time.Duration
	for range 4 {
		w.run(1500*time.Millisecond, time.Second, 0.9)
		assert.Assert(t, w.shedder.Shedding())
		pauses = append(pauses, w.run(30*time.Second, 0, 0).Round(time.Second))
		w.run(2*time.Second, 0, 0)
		w.shedder.until = w.now
	}
	assert.DeepEqual(t, pauses, []time.Duration{4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second})
	w.run(pauseMemory+time.Second, 0, 0.5)
	w.run(1500*time.Millisecond, time.Second, 0.9)
	assert.Equal(t, w.run(30*time.Second, 0, 0).Round(time.Second), 4*time.Second)
}

func TestShortDelayIsNoFullLink(t *testing.T) {
	w := &world{}
	for range 10 {
		assert.Equal(t, w.run(2*tick, time.Second, 0.9), time.Duration(0))
		w.run(tick, 0, 0.9)
	}
}

// Frames of slow control nodes are late at all entry nodes. Guards against all entry nodes
// shedding load because of this.
func TestDelayWithoutCallersBytesIsNoFullLink(t *testing.T) {
	w := &world{}
	assert.Equal(t, w.run(20*time.Second, 2*time.Second, 0.1), time.Duration(0))
}

func TestOnlyNodeOfItsZoneStays(t *testing.T) {
	w := &world{}
	assert.Equal(t, w.run(20*time.Second, 2*time.Second, 0.9, func(r *Reading) { r.Others = 0 }), time.Duration(0))
}

func TestNodeThatHearsNobodyComesBackAfterItsPause(t *testing.T) {
	w := &world{}
	unheard := func(r *Reading) { r.DelayKnown = false }
	assert.Equal(t, w.run(5*time.Second, 2*time.Second, 0.9, unheard), time.Duration(0))
	w.run(1500*time.Millisecond, time.Second, 0.9)
	assert.Assert(t, w.shedder.Shedding())
	w.run(firstPause+tick, 0, 0.9, unheard)
	assert.Assert(t, !w.shedder.Shedding())
}

// New connections of a heavy caller go to other nodes before its bodies fill the link. Existing
// connections stay open, and shedding begins only when the link is full.
func TestNodeAsksForNoNewConnectionsBeforeItsLinkIsFull(t *testing.T) {
	w := &world{}
	w.run(3*time.Second, 5*time.Millisecond, 0.15)
	assert.Assert(t, !w.shedder.Busy())
	w.run(2*tick, 5*time.Millisecond, 0.6)
	assert.Assert(t, w.shedder.Busy())
	assert.Assert(t, !w.shedder.Shedding())
	w.run(3*time.Second, 5*time.Millisecond, 0.15)
	assert.Assert(t, w.shedder.Busy())
	w.run(2*time.Second, 5*time.Millisecond, 0.05)
	assert.Assert(t, !w.shedder.Busy())
	// The only node of its zone accepts all connections.
	w.run(3*time.Second, 5*time.Millisecond, 0.9, func(r *Reading) { r.Others = 0 })
	assert.Assert(t, !w.shedder.Busy())
}
