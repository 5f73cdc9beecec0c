package openfleet

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// inEffectWithin is the time within which an acknowledged configuration must be in effect at all
// connected nodes.
const inEffectWithin = 2500 * time.Millisecond

// expectInEffect sends a configuration and checks that it is in effect at a node in time.
func expectInEffect(t *testing.T, f *Fleet, name string, version uint64) {
	t.Helper()
	assert.NilError(t, f.PutConfiguration(configuration(version), time.Second))
	assert.NilError(t, f.WaitFor(inEffectWithin, "the configuration to be in effect at "+name, func() bool {
		return f.Machine(name).running().Version() == version
	}))
}

// Guards against configurations that take effect late at an entry node whose link is saturated by its
// callers, where each message takes more than a second. Announcing a version first and sending it
// afterwards took two such delays in sequence.
func TestNodeBehindASaturatedLinkAppliesANewVersionInTime(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *Fleet) {
		f.Network.SetDelay("entry-0", 1300*time.Millisecond)
		time.Sleep(3 * time.Second)
		expectInEffect(t, f, "entry-0", 2)
		expectInEffect(t, f, "entry-1", 3)
	})
}

// Guards against a lost connection over a saturated link that can't be established again: the
// handshake needs two messages to the node, and neither may take more than a second.
func TestNodeBehindASaturatedLinkIsReachedOverANewConnection(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *Fleet) {
		f.Network.SetDelay("entry-0", 550*time.Millisecond)
		f.Network.BreakConnections("entry-0")
		time.Sleep(4 * time.Second)
		expectInEffect(t, f, "entry-0", 2)
	})
}

// Guards against a node that waits for the control node of its own zone, whose frames are lost, while
// other control nodes have the version.
func TestVersionComesFromAnotherControlNodeIfTheSameZoneOneIsUnreachable(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *Fleet) {
		f.Network.PartitionOneWay("control-0", "entry-0")
		expectInEffect(t, f, "entry-0", 2)
	})
}

// Guards against a node with a saturated link that stays ready for callers: it could serve few of them
// in time while other entry nodes were idle.
func TestNodeBehindASaturatedLinkIsNotReadyUntilTheLinkRecovers(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *Fleet) {
		readyIs := func(name string, expected bool) func() bool { return func() bool { return f.Ready(name) == expected } }
		f.Network.SetDelay("entry-0", 500*time.Millisecond)
		assert.NilError(t, f.WaitFor(5*time.Second, "entry-0 not to be ready with a saturated link", readyIs("entry-0", false)))
		assert.Assert(t, f.Ready("entry-3"))
		// Requests that arrive nevertheless are served, and their connections are closed.
		response, err := f.Request("entry-0", CallerRequest{ID: "r1", Path: "/safe/x", Key: "key-one"})
		assert.NilError(t, err)
		assert.Equal(t, response.Status, http.StatusOK)
		f.Network.SetDelay("entry-0", 0)
		assert.NilError(t, f.WaitFor(10*time.Second, "entry-0 to be ready again", readyIs("entry-0", true)))
	})
}
