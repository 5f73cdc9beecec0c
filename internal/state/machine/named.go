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
	// LastOrder is the index of the zone's last order as the sender knows it, nil if the sender
	// does not. From VersionConditions on, a command that changes the zone is rejected unless this
	// is its last order: a copy that is delayed until after a later order must not revert it.
	LastOrder *uint64 `msgpack:"l,omitempty"`
}

// ZoneOutcome is the result of a ZoneCommand.
type ZoneOutcome struct {
	// Zones are the evacuated zones after the command.
	Zones evacuation.Zones `msgpack:"z"`
	// IsRejected means that the command would have changed the zone and did not name its last
	// order, so that it had no effect.
	IsRejected bool `msgpack:"x,omitempty"`
	// LastOrder is the index of the zone's last order.
	LastOrder uint64 `msgpack:"l,omitempty"`
}

// RolloutCommand starts a rollout or advances one: exactly one of Order and Step is set.
type RolloutCommand struct {
	Order *rollout.Order `msgpack:"o,omitempty"`
	Step  *rollout.Step  `msgpack:"s,omitempty"`
	// LastRollout is the revision of the service's newest rollout as the sender of an order knows
	// it, nil if the sender does not. From VersionConditions on, an order that would start a rollout
	// is rejected unless this is the newest one, as with ZoneCommand.
	LastRollout *uint64 `msgpack:"l,omitempty"`
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
	changed := m.evacuated.Set(index, command.Zone, command.Evacuated)
	if m.logVersion < VersionConditions {
		m.evacuated = changed
		return Result{Zone: &ZoneOutcome{Zones: changed}}
	}
	last := m.lastZoneOrders.Of(command.Zone)
	isCurrent := command.LastOrder != nil && *command.LastOrder == last
	if changed.Supersedes(m.evacuated) && !isCurrent {
		return Result{Zone: &ZoneOutcome{Zones: m.evacuated, IsRejected: true, LastOrder: last}}
	}
	m.evacuated = changed
	// Also counts an order that changes nothing: it is acknowledged, so that a delayed copy of an
	// earlier order must not revert it either.
	m.lastZoneOrders = m.lastZoneOrders.With(command.Zone, index)
	return Result{Zone: &ZoneOutcome{Zones: changed, LastOrder: index}}
}

// Rollouts returns the set of each service's newest rollout.
func (m *Machine) Rollouts() rollout.Set { return m.rollouts }

func (m *Machine) applyRollout(index uint64, command *RolloutCommand) Result {
	outcome := &RolloutOutcome{}
	switch {
	case command.Order != nil:
		newest, _ := m.rollouts.Find(command.Order.Service)
		rollouts, response := m.rollouts.ApplyOrder(index, *command.Order)
		isCurrent := command.LastRollout != nil && *command.LastRollout == newest.Revision
		if response == rollout.Started && m.logVersion >= VersionConditions && !isCurrent {
			rollouts, response = m.rollouts, rollout.Rejected
		}
		m.rollouts, outcome.Response = rollouts, response
		outcome.Rollout, _ = m.rollouts.Find(command.Order.Service)
	case command.Step != nil:
		m.rollouts = m.rollouts.Advance(index, *command.Step)
		outcome.Rollout, _ = m.rollouts.Find(command.Step.Service)
	}
	return Result{Rollout: outcome}
}
