package balance

import (
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/coordination/reservation"
)

const (
	// minimumSlackTokens is the least by which the tokens ahead may exceed those that a choice
	// assumed before it counts as wrong. A refusal takes a round trip and another choice, while the
	// instance reads about as many tokens.
	minimumSlackTokens = 600
	// UnlimitedAhead is the MaximumAhead of a choice without an alternative, in tokens.
	UnlimitedAhead = 1 << 30
)

// backlog is what an instance's coordinator told of the prompts that the instance has yet to read,
// and what this node has sent there since.
type backlog struct {
	// tokens is the number of prompt tokens at the time at.
	tokens float64
	at     time.Duration
	// toldAt is when the coordinator's response was recorded.
	toldAt time.Duration
	// toldAfter is the number of the last choice before the coordinator's response was recorded.
	toldAfter uint64
}

// left returns the tokens that remain to be read, given the read rate in tokens per millisecond.
// None remain after reservation.MaximumLease: all reservations that the coordinator counted have
// ended, and only a request to it would tell whether there are others.
func (b backlog) left(now time.Duration, readRate float64) float64 {
	if now-b.toldAt >= reservation.MaximumLease {
		return 0
	}
	read := float64(now-b.at) / float64(time.Millisecond) * readRate
	return max(0, b.tokens-max(0, read))
}

// add adds tokens that were sent, or subtracts those that were withdrawn.
func (b *backlog) add(now time.Duration, tokens int, readRate float64) {
	b.tokens, b.at = max(0, b.left(now, readRate)+float64(tokens)), max(b.at, now)
}

// RecordBacklog records what the coordinator of an instance told: the prompt tokens of all nodes,
// this one included, that the instance has yet to read; see reservation.Response.Backlog. The
// tokens of requests that are chosen for the instance afterwards are added. The backlog fades at
// the service's observed read rate, and choices use it where it exceeds what this node's own
// requests and the load exchange add up to, for at most reservation.MaximumLease.
func (t *Table) RecordBacklog(now time.Duration, incarnation registry.Incarnation, tokens int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.member(incarnation); known != nil {
		known.backlog = backlog{tokens: float64(min(max(0, tokens), UnlimitedAhead)), at: now, toldAt: now, toldAfter: t.choices}
	}
}

// knownAhead returns the larger of the backlog that is left at an instance and of ahead, the tokens
// that this node's own requests and the load exchange add up to. Both include this node's own.
func (t *Table) knownAhead(now time.Duration, one *member, ahead int) int {
	if one.backlog.tokens <= 0 {
		return ahead
	}
	return max(ahead, int(one.backlog.left(now, t.speedOf(one.Service).readRate)))
}

// noteSent adds the tokens of a request that was chosen for an instance to its backlog, if one is
// recorded and not yet read.
func (t *Table) noteSent(now time.Duration, one *member, tokens int) {
	if one.backlog.tokens <= 0 {
		return
	}
	readRate := t.speedOf(one.Service).readRate
	if one.backlog.left(now, readRate) <= 0 {
		one.backlog = backlog{}
		return
	}
	one.backlog.add(now, tokens, readRate)
}

// noteUnread subtracts the tokens of a choice that the instance will not read from its backlog,
// unless the coordinator told the backlog after the choice.
func (t *Table) noteUnread(now time.Duration, one *member, choice Choice) {
	if one.backlog.tokens > 0 && choice.number > one.backlog.toldAfter {
		one.backlog.add(now, -choice.pendingTokens, t.speedOf(one.Service).readRate)
	}
}

// alternatives holds the costs of the best and of the second best instance.
type alternatives struct {
	best, second float64
	count        int
}

// add reports whether an instance is the best one so far, given its total cost.
func (a *alternatives) add(total float64) bool {
	a.count++
	if a.count == 1 || total < a.best {
		a.best, a.second = total, a.best
		return true
	}
	if a.count == 2 || total < a.second {
		a.second = total
	}
	return false
}

// maximumAhead returns how many tokens may be ahead at the best instance before the second best is
// better; assumed are those that its cost includes.
func (a *alternatives) maximumAhead(assumed int) int {
	if a.count < 2 {
		return UnlimitedAhead
	}
	return min(UnlimitedAhead, assumed+max(minimumSlackTokens, int(a.second-a.best)))
}

// beforeChoice is the state that a choice replaced, which Withdraw restores.
type beforeChoice struct {
	// at is when the choice was made, and part the request's prompt part, if hasPart is set.
	at      time.Duration
	part    PartKey
	hasPart bool
	// heldAt is when the part was last sent to the instance before, if wasHeld is set.
	heldAt  time.Duration
	wasHeld bool
	// coldRequestAt and hasColdRequest are those of the member.
	coldRequestAt  time.Duration
	hasColdRequest bool
	// zoneProbedAt is when the zone was last sent a probe request.
	zoneProbedAt time.Duration
	// isSpillNoted reports whether the part was added to the parts to be reported.
	isSpillNoted bool
}

// stateBefore returns the state that choosing an instance for a request replaces.
func (t *Table) stateBefore(now time.Duration, one *member, part string) beforeChoice {
	before := beforeChoice{at: now, coldRequestAt: one.coldRequestAt, hasColdRequest: one.hasColdRequest}
	if part != "" {
		before.part, before.hasPart = keyOfPart(part), true
		before.heldAt, before.wasHeld = one.heldParts[before.part]
	}
	if state := t.zones[one.Zone]; state != nil {
		before.zoneProbedAt = state.probedAt
	}
	return before
}

// Withdraw reverts a choice whose request was not sent to the instance. Unlike Done with Abandoned,
// it leaves no trace of the request there: the instance does not count as holding its prompt part or
// as sent a request while it was cold, nor its zone as probed.
func (t *Table) Withdraw(now time.Duration, choice Choice) {
	t.Done(now, choice, Abandoned)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	before := choice.before
	if state := t.zones[choice.Zone]; state != nil && state.probedAt == before.at {
		state.probedAt = before.zoneProbedAt
	}
	if before.isSpillNoted {
		t.withdrawSpilled(HeldPart{Part: before.part, Instance: KeyOf(choice.Incarnation())})
	}
	if known := t.member(choice.Incarnation()); known != nil {
		known.restore(before)
	}
}

// restore restores what a choice replaced, except where a later one has replaced it again.
func (m *member) restore(before beforeChoice) {
	if m.hasColdRequest && m.coldRequestAt == before.at {
		m.coldRequestAt, m.hasColdRequest = before.coldRequestAt, before.hasColdRequest
	}
	if !before.hasPart || m.heldParts[before.part] != before.at {
		return
	}
	if before.wasHeld {
		m.heldParts[before.part] = before.heldAt
		return
	}
	delete(m.heldParts, before.part)
}

// withdrawSpilled removes one part from those that are to be reported.
func (t *Table) withdrawSpilled(spilled HeldPart) {
	if place := slices.Index(t.spilled, spilled); place >= 0 {
		t.spilled = slices.Delete(t.spilled, place, place+1)
	}
}
