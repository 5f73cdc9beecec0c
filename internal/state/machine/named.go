package machine

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/ravenway/ravenway/internal/state/evacuation"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

// ZoneCommand evacuates a zone or restores it. The log gives the orders of several
// operators one order.
type ZoneCommand struct {
	Zone      string `msgpack:"z"`
	Evacuated bool   `msgpack:"e"`
}

// RolloutCommand begins a rollout or moves one on: one field is set.
type RolloutCommand struct {
	Order *rollout.Order `msgpack:"o,omitempty"`
	Step  *rollout.Step  `msgpack:"s,omitempty"`
}

// RolloutOutcome is the answer to a RolloutCommand.
type RolloutOutcome struct {
	// Answer is that to an order; 0 for a step.
	Answer rollout.Answer `msgpack:"a"`
	// Rollout is the service's newest one.
	Rollout rollout.Rollout `msgpack:"r"`
}

// namedEntry is a command as the log holds it with field names: a struct that is encoded
// as an array, as Command is, can't get another field. One field is set.
type namedEntry struct {
	Zone    *ZoneCommand    `msgpack:"zone_command,omitempty"`
	Rollout *RolloutCommand `msgpack:"rollout_command,omitempty"`
	Version *VersionCommand `msgpack:"version_command,omitempty"`
}

// isNamed tells whether the log holds a command with field names.
func (c *Command) isNamed() bool { return c.Zone != nil || c.Rollout != nil || c.Version != nil }

func encodeNamed(command Command) ([]byte, error) {
	data, err := msgpack.Marshal(&namedEntry{Zone: command.Zone, Rollout: command.Rollout, Version: command.Version})
	if err != nil {
		return nil, fmt.Errorf("encoding an order: %w", err)
	}
	return data, nil
}

// decodeNamed returns the command of an entry with field names, and whether it holds one.
func decodeNamed(data []byte) (Command, bool) {
	if len(data) == 0 || !msgpcode.IsFixedMap(data[0]) {
		// Nearly all commands are arrays.
		return Command{}, false
	}
	var entry namedEntry
	if err := msgpack.Unmarshal(data, &entry); err != nil {
		// It is refused as a command, with the reason.
		return Command{}, false
	}
	command := Command{Zone: entry.Zone, Rollout: entry.Rollout, Version: entry.Version}
	return command, command.isNamed()
}

// Evacuated returns the evacuated zones.
func (m *Machine) Evacuated() evacuation.Zones { return m.evacuated }

func (m *Machine) applyZone(index uint64, command *ZoneCommand) Result {
	m.evacuated = m.evacuated.Set(index, command.Zone, command.Evacuated)
	held := m.evacuated
	return Result{Zones: &held}
}

// Rollouts returns the newest rollout of each service.
func (m *Machine) Rollouts() rollout.Set { return m.rollouts }

func (m *Machine) applyRollout(index uint64, command *RolloutCommand) Result {
	outcome := &RolloutOutcome{}
	switch {
	case command.Order != nil:
		m.rollouts, outcome.Answer = m.rollouts.Take(index, *command.Order)
		outcome.Rollout, _ = m.rollouts.Find(command.Order.Service)
	case command.Step != nil:
		m.rollouts = m.rollouts.Advance(index, *command.Step)
		outcome.Rollout, _ = m.rollouts.Find(command.Step.Service)
	}
	return Result{Rollout: outcome}
}
