package machine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/state/rollout"
)

func TestLogVersionOnlyRisesAndIsKeptInSnapshots(t *testing.T) {
	m := New()
	assert.Equal(t, m.LogVersion(), VersionFirst)
	assert.Equal(t, apply(t, m, 1, Command{Version: &VersionCommand{Version: VersionRollouts}}).Refused, "")
	apply(t, m, 2, Command{Version: &VersionCommand{Version: VersionFirst}})
	assert.Equal(t, m.LogVersion(), VersionRollouts)
	snapshot, err := m.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(snapshot))
	assert.Equal(t, restored.LogVersion(), VersionRollouts)
}

// Guards against a replica of this build not noticing that its log has a newer version, so that its
// own state no longer matches that of the group.
func TestLogOfANewerVersionIsDetected(t *testing.T) {
	m := New()
	apply(t, m, 1, Command{Version: &VersionCommand{Version: OwnLogVersion + 3}})
	assert.Assert(t, m.LogVersion() > OwnLogVersion)
}

// Guards the compatibility with earlier builds: as long as the log's version was never raised, the
// snapshot must have no field for it, as theirs has none.
func TestSnapshotWithoutALogVersionHasNoFieldForIt(t *testing.T) {
	m := New()
	apply(t, m, 1, Command{Rollout: &RolloutCommand{Order: &rollout.Order{Service: "s", Version: "v2", Duration: time.Second}}})
	before, err := m.Snapshot()
	assert.NilError(t, err)
	apply(t, m, 2, Command{Version: &VersionCommand{Version: VersionRollouts}})
	after, err := m.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, len(after)-len(before), 7, "a key of two bytes and a number of five")
}
