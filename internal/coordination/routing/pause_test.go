package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func pausedTable() *Table {
	table := NewTable("a", map[string]int{"a": 1}, rand.New(rand.NewPCG(1, 1)))
	table.SetBackends([]Backend{{Name: "b0", Service: "s", Zone: "a"}, {Name: "b1", Service: "s", Zone: "a"}})
	return table
}

func TestPausedBackEndIsNotUsedAndItsPauseIsNeverShortened(t *testing.T) {
	table := pausedTable()
	table.Pause(0, "b0", 3*time.Second)
	table.Pause(time.Second, "b0", time.Second)
	table.Pause(0, "gone", time.Second)
	// The pause survives a new revision of the catalog.
	table.SetBackends([]Backend{{Name: "b0", Service: "s", Zone: "a"}, {Name: "b1", Service: "s", Zone: "a"}})
	for range 20 {
		choice, found := table.Choose(3*time.Second-1, Request{Service: "s"})
		assert.Assert(t, found)
		assert.Equal(t, choice.Backend.Name, "b1")
	}
	usable, reason := table.Usable(3*time.Second-1, "b0")
	assert.Assert(t, !usable && reason == "paused", reason)
	usable, _ = table.Usable(3*time.Second, "b0")
	assert.Assert(t, usable)
}

func TestServiceOpensWhenTheFirstPauseEndsIfAllArePaused(t *testing.T) {
	table := pausedTable()
	table.Pause(0, "b0", 3*time.Second)
	_, areAllPaused := table.FirstPauseEnd(0, "s")
	assert.Assert(t, !areAllPaused)
	table.Pause(0, "b1", 5*time.Second)
	opensAt, areAllPaused := table.FirstPauseEnd(0, "s")
	assert.Assert(t, areAllPaused)
	assert.Equal(t, opensAt, 3*time.Second)
	table.MarkLeaving("b0")
	opensAt, _ = table.FirstPauseEnd(0, "s")
	assert.Equal(t, opensAt, 5*time.Second, "a leaving back end does not become available again")
}
