package enginepath

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPathIsLostWhenSeveralEnginesFailWithoutAContact(t *testing.T) {
	tracker := NewTracker()
	tracker.SetListed(4)
	assert.Equal(t, tracker.Record(time.Second, "a", Connected, time.Millisecond).Kind, Unchanged)
	assert.Equal(t, tracker.Record(2*time.Second, "a", Silent, time.Millisecond).Kind, Unchanged)
	assert.Equal(t, tracker.Record(3*time.Second, "a", Silent, time.Millisecond).Kind, Unchanged)
	lost := tracker.Record(4*time.Second, "b", Refused, time.Millisecond)
	assert.DeepEqual(t, lost, Change{Kind: Lost, Silent: 1, Refused: 1, SinceContact: 3 * time.Second})
	assert.Equal(t, tracker.Record(5*time.Second, "c", Silent, time.Millisecond).Kind, Unchanged)
	_, isLost := tracker.Loss(5 * time.Second)
	assert.Assert(t, isLost)
	regained := tracker.Record(6*time.Second, "c", Connected, time.Millisecond)
	assert.DeepEqual(t, regained, Change{Kind: Regained, Silent: 1, Refused: 1, SinceContact: 5 * time.Second, Lasted: 2 * time.Second})
	assert.Equal(t, tracker.UnreachableCount(), 2)
}

func TestOneDeadEngineAmongReachableOnesIsNoLostPath(t *testing.T) {
	tracker := NewTracker()
	for second := range 60 {
		now := time.Duration(second) * time.Second
		assert.Equal(t, tracker.Record(now, "dead", Silent, time.Millisecond).Kind, Unchanged)
		assert.Equal(t, tracker.Record(now, "alive", Connected, time.Millisecond).Kind, Unchanged)
	}
	assert.Equal(t, tracker.UnreachableCount(), 1)
	tracker.Prune(time.Minute, []string{"alive"})
	assert.Equal(t, tracker.UnreachableCount(), 0)
}
