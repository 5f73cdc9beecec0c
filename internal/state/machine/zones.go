package machine

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/ravenway/ravenway/internal/state/evacuation"
)

// ZoneCommand evacuates a zone or restores it. The log gives the orders of several
// operators one order.
type ZoneCommand struct {
	Zone      string `msgpack:"z"`
	Evacuated bool   `msgpack:"e"`
}

// zoneEntry is a ZoneCommand as the log holds it: with field names, since a struct
// that is encoded as an array, as Command is, can't get another field.
type zoneEntry struct {
	Zone *ZoneCommand `msgpack:"zone_command"`
}

func encodeZone(command *ZoneCommand) ([]byte, error) {
	data, err := msgpack.Marshal(&zoneEntry{Zone: command})
	if err != nil {
		return nil, fmt.Errorf("encoding an order for zone %q: %w", command.Zone, err)
	}
	return data, nil
}

// decodeZone returns the command of an entry, or nil if it holds another one.
func decodeZone(data []byte) *ZoneCommand {
	if len(data) == 0 || !msgpcode.IsFixedMap(data[0]) {
		// Nearly all commands are arrays.
		return nil
	}
	var entry zoneEntry
	if err := msgpack.Unmarshal(data, &entry); err != nil {
		// It is refused as a command, with the reason.
		return nil
	}
	return entry.Zone
}

// Evacuated returns the evacuated zones.
func (m *Machine) Evacuated() evacuation.Zones { return m.evacuated }

func (m *Machine) applyZone(index uint64, command *ZoneCommand) Result {
	m.evacuated = m.evacuated.Set(index, command.Zone, command.Evacuated)
	held := m.evacuated
	return Result{Zones: &held}
}
