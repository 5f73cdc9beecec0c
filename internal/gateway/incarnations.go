package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/coordination/clocks"
	"github.com/ravenway/ravenway/internal/coordination/roster"
	"github.com/ravenway/ravenway/internal/state/machine"
)

// clockTimeout is how long a new leader waits for the other control nodes' clocks before it
// charges an ended incarnation for everything that it held.
const clockTimeout = 3 * time.Second

// readClocks reads this leader's clocks. The wall clock is included if the clocks of more than half
// of the voters are known and agree with this node's.
func (r *replicaDuty) readClocks() clocks.Reading {
	now := r.node.now()
	reading := clocks.Reading{Clock: xxhash.Sum64String(r.node.incarnation), Monotonic: now}
	var others []int64
	for _, known := range r.node.fleet.view.Load().alive {
		if known.Control && known.WallMS != 0 {
			others = append(others, known.WallMS+(now-known.ReceivedAt).Milliseconds())
		}
	}
	wall := time.Now().UnixMilli()
	if clocks.Agree(wall, others, len(r.replica.Core().Configuration().Voters())) {
		reading.WallMS = wall
	}
	return reading
}

// closeIncarnations closes the accounts of incarnations that have ended, because their node reports
// a newer one.
func (r *replicaDuty) closeIncarnations() {
	command := r.endedIncarnations()
	if len(command.Incarnations) == 0 {
		return
	}
	r.propose(machine.Command{CloseIncarnations: command}, func(_ machine.Result, err error) {
		r.node.log.Info().Str("event", "lives_closed").Int("count", len(command.Incarnations)).AnErr("error", err).Send()
	})
}

// endedIncarnations lists the holders whose incarnation has ended, with the time between each one's
// last contact and the start of its successor.
func (r *replicaDuty) endedIncarnations() *machine.CloseIncarnationsCommand {
	running, reading := r.runningEntries(), r.readClocks()
	command := &machine.CloseIncarnationsCommand{}
	for _, holder := range r.machine.Accounts().Holders() {
		address, incarnation := holderAddress(holder.Node)
		successor, isRunning := running[address]
		if !isRunning || successor.Incarnation == incarnation {
			continue
		}
		// The successor has been running for this long, so the incarnation ended before.
		sinceEnd := time.Duration(successor.AgeMS)*time.Millisecond + reading.Monotonic - successor.ReceivedAt
		if clocks.IsContactWithin(r.machine.Accounts().LastContact(holder), reading, sinceEnd) {
			// The holder's incarnation had contact after the other one started: the other one is the
			// earlier one, and its hello was delayed.
			r.node.log.Warn().Str("event", "stale_hello").Str("node", successor.Node).Str("life", successor.Incarnation).Str("newer_life", incarnation).Send()
			continue
		}
		sinceContact, known := clocks.TimeSinceContact(r.machine.Accounts().LastContact(holder), reading, sinceEnd)
		if !known && r.node.now()-r.leaderSince < clockTimeout {
			continue
		}
		command.Incarnations, command.TimesSinceContact = append(command.Incarnations, holder), append(command.TimesSinceContact, sinceContact)
		r.node.log.Info().Str("event", "life_over").Str("node", successor.Node).Str("life", incarnation).
			Bool("silence_known", known).Int64("silence_ms", sinceContact.Milliseconds()).Send()
	}
	return command
}

// runningEntries are the live entry nodes by address.
func (r *replicaDuty) runningEntries() map[string]*roster.Peer {
	running := map[string]*roster.Peer{}
	for _, node := range r.node.fleet.view.Load().alive {
		if node.Entry {
			running[node.Address] = node
		}
	}
	return running
}
