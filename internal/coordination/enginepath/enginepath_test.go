package enginepath

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPathIsLostWhenSeveralEnginesFailWithoutAContact(t *testing.T) {
	tracker := NewTracker()
	assert.Equal(t, tracker.Record(time.Second, "a", Connected).Kind, Unchanged)
	assert.Equal(t, tracker.Record(2*time.Second, "a", Silent).Kind, Unchanged)
	assert.Equal(t, tracker.Record(3*time.Second, "a", Silent).Kind, Unchanged)
	lost := tracker.Record(4*time.Second, "b", Refused)
	assert.DeepEqual(t, lost, Change{Kind: Lost, Silent: 1, Refused: 1, SinceContact: 3 * time.Second})
	assert.Equal(t, tracker.Record(5*time.Second, "c", Silent).Kind, Unchanged)
	assert.Assert(t, tracker.IsLost())
	regained := tracker.Record(6*time.Second, "c", Connected)
	assert.DeepEqual(t, regained, Change{Kind: Regained, Silent: 1, Refused: 1, SinceContact: 5 * time.Second, Lasted: 2 * time.Second})
	assert.Equal(t, tracker.Unreachable(), 2)
}

func TestOneDeadEngineAmongReachableOnesIsNoLostPath(t *testing.T) {
	tracker := NewTracker()
	for second := range 60 {
		now := time.Duration(second) * time.Second
		assert.Equal(t, tracker.Record(now, "dead", Silent).Kind, Unchanged)
		assert.Equal(t, tracker.Record(now, "alive", Connected).Kind, Unchanged)
	}
	assert.Equal(t, tracker.Unreachable(), 1)
	tracker.Prune(map[string]struct{}{"alive": {}})
	assert.Equal(t, tracker.Unreachable(), 0)
}
