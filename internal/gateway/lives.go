package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/coordination/clocks"
	"github.com/ravenway/ravenway/internal/coordination/roster"
	"github.com/ravenway/ravenway/internal/state/machine"
)

// clockPatience is how long a new leader waits for the other control nodes'
// clocks before it charges a life all that it held.
const clockPatience = 3 * time.Second

// readClocks reads this leader's clocks. The time of day counts if more than half
// of the voters were heard lately and their clocks agree with this node's.
func (r *replicaDuty) readClocks() clocks.Reading {
	now := r.node.now()
	reading := clocks.Reading{Clock: xxhash.Sum64String(r.node.life), Steady: now}
	var others []int64
	for _, known := range r.node.fleet.view.Load().alive {
		if known.Control && known.WallMS != 0 {
			others = append(others, known.WallMS+(now-known.At).Milliseconds())
		}
	}
	wall := time.Now().UnixMilli()
	if clocks.Agree(wall, others, len(r.replica.Core().Configuration().Voters())) {
		reading.WallMS = wall
	}
	return reading
}

// closeLives ends the accounts of lives that are over: their node says that it
// runs another one.
func (r *replicaDuty) closeLives() {
	command := r.livesOver()
	if len(command.Incarnations) == 0 {
		return
	}
	r.propose(machine.Command{CloseIncarnations: command}, func(_ machine.Result, err error) {
		r.node.log.Info().Str("event", "lives_closed").Int("count", len(command.Incarnations)).AnErr("error", err).Send()
	})
}

// livesOver lists the holders whose life is over, and how long each was silent
// before its successor had started.
func (r *replicaDuty) livesOver() *machine.CloseIncarnationsCommand {
	running, reading := r.runningEntries(), r.readClocks()
	command := &machine.CloseIncarnationsCommand{}
	for _, holder := range r.machine.Accounts().Holders() {
		address, life := holderAddress(holder.Node)
		successor, isRunning := running[address]
		if !isRunning || successor.Incarnation == life {
			continue
		}
		// Its successor had started by then.
		sinceOver := time.Duration(successor.AgeMS)*time.Millisecond + reading.Steady - successor.At
		silence, known := clocks.Silence(r.machine.Accounts().LastContact(holder), reading, sinceOver)
		if !known && r.node.now()-r.leadsSince < clockPatience {
			continue
		}
		command.Incarnations, command.TimesSinceContact = append(command.Incarnations, holder), append(command.TimesSinceContact, silence)
		r.node.log.Info().Str("event", "life_over").Str("node", successor.Node).Str("life", life).
			Bool("silence_known", known).Int64("silence_ms", silence.Milliseconds()).Send()
	}
	return command
}

// runningEntries are the live entry nodes by address.
func (r *replicaDuty) runningEntries() map[string]*roster.Heard {
	running := map[string]*roster.Heard{}
	for _, node := range r.node.fleet.view.Load().alive {
		if node.Entry {
			running[node.Address] = node
		}
	}
	return running
}
