package machine

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/ravenway/ravenway/internal/state/evacuation"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

// ZoneCommand evacuates a zone or restores it. The log puts concurrent commands of
// several operators into one sequence.
type ZoneCommand struct {
	Zone      string `msgpack:"z"`
	Evacuated bool   `msgpack:"e"`
}

// RolloutCommand starts a rollout or advances one: exactly one field is set.
type RolloutCommand struct {
	Order *rollout.Order `msgpack:"o,omitempty"`
	Step  *rollout.Step  `msgpack:"s,omitempty"`
}

// RolloutOutcome is the result of a RolloutCommand.
type RolloutOutcome struct {
	// Response is the response to an order; 0 for a step.
	Response rollout.Response `msgpack:"a"`
	// Rollout is the service's newest rollout.
	Rollout rollout.Rollout `msgpack:"r"`
}

// namedEntry is a command that the log holds with field names. Command is encoded as an
// array, so no field can be added to it without breaking older builds. Exactly one field
// is set.
type namedEntry struct {
	Zone    *ZoneCommand    `msgpack:"zone_command,omitempty"`
	Rollout *RolloutCommand `msgpack:"rollout_command,omitempty"`
	Version *VersionCommand `msgpack:"version_command,omitempty"`
}

// isNamed reports whether the command is encoded with field names.
func (c *Command) isNamed() bool { return c.Zone != nil || c.Rollout != nil || c.Version != nil }

func encodeNamed(command Command) ([]byte, error) {
	data, err := msgpack.Marshal(&namedEntry{Zone: command.Zone, Rollout: command.Rollout, Version: command.Version})
	if err != nil {
		return nil, fmt.Errorf("encoding a command with field names: %w", err)
	}
	return data, nil
}

// decodeNamed returns the command of an entry with field names and reports whether data is one.
func decodeNamed(data []byte) (Command, bool) {
	if len(data) == 0 || !msgpcode.IsFixedMap(data[0]) {
		// Nearly all commands are encoded as arrays.
		return Command{}, false
	}
	var entry namedEntry
	if err := msgpack.Unmarshal(data, &entry); err != nil {
		// decode then reads it as a Command and reports the error.
		return Command{}, false
	}
	command := Command{Zone: entry.Zone, Rollout: entry.Rollout, Version: entry.Version}
	return command, command.isNamed()
}

// Evacuated returns the zones that are evacuated.
func (m *Machine) Evacuated() evacuation.Zones { return m.evacuated }

func (m *Machine) applyZone(index uint64, command *ZoneCommand) Result {
	m.evacuated = m.evacuated.Set(index, command.Zone, command.Evacuated)
	evacuated := m.evacuated
	return Result{Zones: &evacuated}
}

// Rollouts returns the set of each service's newest rollout.
func (m *Machine) Rollouts() rollout.Set { return m.rollouts }

func (m *Machine) applyRollout(index uint64, command *RolloutCommand) Result {
	outcome := &RolloutOutcome{}
	switch {
	case command.Order != nil:
		m.rollouts, outcome.Response = m.rollouts.ApplyOrder(index, *command.Order)
		outcome.Rollout, _ = m.rollouts.Find(command.Order.Service)
	case command.Step != nil:
		m.rollouts = m.rollouts.Advance(index, *command.Step)
		outcome.Rollout, _ = m.rollouts.Find(command.Step.Service)
	}
	return Result{Rollout: outcome}
}
