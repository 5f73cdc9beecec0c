package openfleet

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// inForceWithin is the time within which an acknowledged configuration has to be
// in force at all connected nodes of the incident's deployment.
const inForceWithin = 2500 * time.Millisecond

// expectInForce sends a configuration and checks that a node has it in time.
func expectInForce(t *testing.T, f *Fleet, name string, version uint64) {
	t.Helper()
	assert.NilError(t, f.Put(configuration(version), time.Second))
	assert.NilError(t, f.WaitFor(inForceWithin, "the configuration in force at "+name, func() bool {
		return f.Machine(name).running().Version() == version
	}))
}

// Incident CONFIG on zhf-valuation-grown: what is sent to an entry node whose
// link its callers fill is on its way for a second and more. Word of a version
// and then the version itself were two such ways, one after the other.
func TestNodeBehindAFullLinkHasANewVersionInTime(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *Fleet) {
		f.Network.Delay("entry-0", 1300*time.Millisecond)
		time.Sleep(3 * time.Second)
		expectInForce(t, f, "entry-0", 2)
		expectInForce(t, f, "entry-1", 3)
	})
}

// The same incident: a connection that was lost did not come back, since its
// handshake takes two ways to the node, and none may take over a second.
func TestNodeBehindAFullLinkIsReachedAgainOverANewConnection(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *Fleet) {
		f.Network.Delay("entry-0", 550*time.Millisecond)
		f.Network.BreakConnections("entry-0")
		time.Sleep(4 * time.Second)
		expectInForce(t, f, "entry-0", 2)
	})
}

// A control node of the own zone whose frames are lost must not hold up what
// others have.
func TestVersionComesFromAnotherNodeWhereTheOwnZonesIsNotHeard(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *Fleet) {
		f.Network.CutOneWay("control-0", "entry-0")
		expectInForce(t, f, "entry-0", 2)
	})
}

// The same incident: the node with the full link went on asking for callers, of
// whom it could serve few in time, while its neighbours were idle.
func TestNodeWhoseLinkIsFullAsksForNoMoreCallersUntilItIsFree(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *Fleet) {
		readyIs := func(name string, wanted bool) func() bool { return func() bool { return f.Ready(name) == wanted } }
		f.Network.Delay("entry-0", 500*time.Millisecond)
		assert.NilError(t, f.WaitFor(5*time.Second, "not ready with a full link", readyIs("entry-0", false)))
		assert.Assert(t, f.Ready("entry-3"))
		// Requests that come all the same are served, and their connections end.
		answer, err := f.Request("entry-0", Ask{ID: "r1", Path: "/safe/x", Key: "key-one"})
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, http.StatusOK)
		f.Network.Delay("entry-0", 0)
		assert.NilError(t, f.WaitFor(10*time.Second, "ready again", readyIs("entry-0", true)))
	})
}
