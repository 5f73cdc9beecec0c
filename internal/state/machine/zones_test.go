package machine

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/state/evacuation"
)

func TestEvacuationsAreInTheStateAndItsSnapshots(t *testing.T) {
	machine := New()
	zones := apply(t, machine, 3, Command{Zone: &ZoneCommand{Zone: "a", Evacuated: true}}).Zones
	assert.DeepEqual(t, *zones, evacuation.Zones{Revision: 3, Names: []string{"a"}})
	again := apply(t, machine, 4, Command{Zone: &ZoneCommand{Zone: "a", Evacuated: true}}).Zones
	assert.DeepEqual(t, *again, *zones)

	snapshot, err := machine.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(snapshot))
	assert.DeepEqual(t, restored.Evacuated(), *zones)
	apply(t, restored, 9, Command{Zone: &ZoneCommand{Zone: "a"}})
	assert.DeepEqual(t, restored.Evacuated(), evacuation.Zones{Revision: 9, Names: []string{}})
}

// Logs from before the evacuation of zones was added must still be decoded.
func TestCommandsOfEarlierVersionsAreStillRead(t *testing.T) {
	earlier, err := Encode(documentCommand(t, 7, 100, "first"))
	assert.NilError(t, err)
	var fields []any
	assert.NilError(t, msgpack.Unmarshal(earlier, &fields))
	assert.Equal(t, len(fields), 12)
	named, err := msgpack.Marshal(&struct {
		Node *NodeRecord `msgpack:"n"`
	}{Node: &NodeRecord{Name: "front", Incarnation: 2}})
	assert.NilError(t, err)
	machine := New()
	machine.Apply(1, earlier)
	machine.Apply(2, named)
	assert.Equal(t, machine.Document().Version, uint64(7))
	_, found := machine.Node("front")
	assert.Assert(t, found)
	assert.Equal(t, machine.Evacuated().Revision, uint64(0))
}
