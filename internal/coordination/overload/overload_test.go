package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	tick               = 300 * time.Millisecond
	linkBytesPerSecond = 1_000_000
)

// sheddingNode feeds a shedder with one reading per tick.
type sheddingNode struct {
	shedder Shedder
	now     time.Duration
	bytes   int64
}

// run simulates a time with a delay and a share of the link that callers fill, and returns for
// how much of the time the node shed load.
func (n *sheddingNode) run(length, delay time.Duration, share float64, change ...func(*Reading)) (shed time.Duration) {
	for end := n.now + length; n.now < end; {
		n.now += tick
		n.bytes += int64(share * linkBytesPerSecond * tick.Seconds())
		reading := Reading{Delay: delay, DelayKnown: true, CallerBytes: n.bytes, LinkBytes: linkBytesPerSecond, Others: 3}
		for _, one := range change {
			one(&reading)
		}
		n.shedder.Step(n.now, reading)
		if n.shedder.Shedding() {
			shed += tick
		}
	}
	return shed
}

func TestNodeWithAFullLinkShedsLoadUntilItIsFree(t *testing.T) {
	node := &sheddingNode{}
	assert.Equal(t, node.run(10*time.Second, 20*time.Millisecond, 0.5), time.Duration(0))
	node.run(2*time.Second, time.Second, 0.9)
	assert.Assert(t, node.shedder.Shedding())
	// Shedding ends neither before its time has passed nor before the link is free.
	node.run(initialSheddingTime-2*time.Second, 10*time.Millisecond, 0.1)
	assert.Assert(t, node.shedder.Shedding())
	node.run(5*time.Second, 200*time.Millisecond, 0.4)
	assert.Assert(t, node.shedder.Shedding())
	node.run(tick, 10*time.Millisecond, 0.1)
	assert.Assert(t, !node.shedder.Shedding())
}

func TestSheddingTimeDoublesWhileTheLinkFillsRepeatedly(t *testing.T) {
	node := &sheddingNode{}
	var times []time.Duration
	for range 4 {
		node.run(1500*time.Millisecond, time.Second, 0.9)
		assert.Assert(t, node.shedder.Shedding())
		times = append(times, node.run(30*time.Second, 0, 0).Round(time.Second))
		node.run(2*time.Second, 0, 0)
		node.shedder.endsAt = node.now
	}
	assert.DeepEqual(t, times, []time.Duration{4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second})
	node.run(sheddingMemory+time.Second, 0, 0.5)
	node.run(1500*time.Millisecond, time.Second, 0.9)
	assert.Equal(t, node.run(30*time.Second, 0, 0).Round(time.Second), 4*time.Second)
}

func TestShortDelayCausesNoShedding(t *testing.T) {
	node := &sheddingNode{}
	for range 10 {
		assert.Equal(t, node.run(2*tick, time.Second, 0.9), time.Duration(0))
		node.run(tick, 0, 0.9)
	}
}

// Frames of slow control nodes are late at all entry nodes. Guards against all entry nodes
// shedding load because of this.
func TestDelayNotCausedByCallersBytesCausesNoShedding(t *testing.T) {
	node := &sheddingNode{}
	assert.Equal(t, node.run(20*time.Second, 2*time.Second, 0.1), time.Duration(0))
}

func TestOnlyNodeOfItsZoneNeverShedsLoad(t *testing.T) {
	node := &sheddingNode{}
	assert.Equal(t, node.run(20*time.Second, 2*time.Second, 0.9, func(r *Reading) { r.Others = 0 }), time.Duration(0))
}

func TestNodeWithoutFramesEndsSheddingAfterItsTime(t *testing.T) {
	node := &sheddingNode{}
	noFrames := func(r *Reading) { r.DelayKnown = false }
	assert.Equal(t, node.run(5*time.Second, 2*time.Second, 0.9, noFrames), time.Duration(0))
	node.run(1500*time.Millisecond, time.Second, 0.9)
	assert.Assert(t, node.shedder.Shedding())
	node.run(initialSheddingTime+tick, 0, 0.9, noFrames)
	assert.Assert(t, !node.shedder.Shedding())
}

// New connections of a heavy caller go to other nodes before its bodies fill the link. Existing
// connections stay open, and shedding begins only when the link is full.
func TestNodeRequestsNoNewConnectionsBeforeItsLinkIsFull(t *testing.T) {
	node := &sheddingNode{}
	node.run(3*time.Second, 5*time.Millisecond, 0.15)
	assert.Assert(t, !node.shedder.Busy())
	node.run(2*tick, 5*time.Millisecond, 0.6)
	assert.Assert(t, node.shedder.Busy())
	assert.Assert(t, !node.shedder.Shedding())
	node.run(3*time.Second, 5*time.Millisecond, 0.15)
	assert.Assert(t, node.shedder.Busy())
	node.run(2*time.Second, 5*time.Millisecond, 0.05)
	assert.Assert(t, !node.shedder.Busy())
	// The only node of its zone accepts all connections.
	node.run(3*time.Second, 5*time.Millisecond, 0.9, func(r *Reading) { r.Others = 0 })
	assert.Assert(t, !node.shedder.Busy())
}
