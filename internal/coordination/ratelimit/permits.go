package ratelimit

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// PermitLife is how long after it was asked for a permit may be used: a node that
	// stood still meanwhile asks again.
	PermitLife = time.Second
	// unusedTime is how far back unused permits count: small differences in when requests
	// come cost none of the rate, and a rest earns no burst.
	unusedTime = 250 * time.Millisecond
	// heldShare is the part of the unused time for which a slot is held back from the least
	// urgent requests.
	heldShare = 0.8
	// silentHolder is how long an instance is left alone whose holder did not answer, or
	// that has none.
	silentHolder = 300 * time.Millisecond
	// longestFree bounds the wait for a permit that a holder may tell of.
	longestFree = time.Minute
)

// Ask asks the holder for a permit.
type Ask struct {
	// Word is what the asking node knows of the limit.
	Word Word   `msgpack:"w"`
	Zone string `msgpack:"z"`
	Need `msgpack:",inline"`
}

// Need is what a request needs of a permit.
type Need struct {
	// PatienceMS is how long the request can wait for it.
	PatienceMS uint64 `msgpack:"p,omitempty"`
	// Priority is its rank, the most urgent first.
	Priority uint8 `msgpack:"u,omitempty"`
}

// Patience is how long the request can wait.
func (n Need) Patience() time.Duration { return time.Duration(n.PatienceMS) * time.Millisecond }

// Answer is the holder's.
type Answer struct {
	IsGranted bool `msgpack:"g,omitempty"`
	// DelayMS is the time until a granted permit may be used.
	DelayMS uint64 `msgpack:"d,omitempty"`
	// FreeMS is the time until the holder has another one.
	FreeMS uint64 `msgpack:"f,omitempty"`
	// Words is the holder's word of the limit if it knows a newer one.
	Words []Word `msgpack:"w,omitempty"`
}

// slots are the moments at which permits may be used.
type slots struct {
	// next is the first that was not given out.
	next time.Duration
}

// begin starts without any permit: what was sent before is not known.
func (s *slots) begin(now, between time.Duration) { s.next = now + between }

// take gives out the next slot if it comes within a request's patience. One that is less
// urgent takes only a slot that has been free for a moment: what is scarce goes to the
// urgent first, and what they leave to the others.
func (s *slots) take(now, between time.Duration, need Need) (wait time.Duration, isTaken bool) {
	unused := min(unusedTime, between)
	slot := max(s.next, now-unused)
	held := time.Duration(heldShare * float64(unused) * float64(need.Priority) / float64(1+int(need.Priority)))
	if slot+held-now > need.Patience() {
		return slot + held - now, false
	}
	s.next = slot + between
	return max(0, slot-now), true
}

// Ask prepares to ask for a permit: whom, and with what. It is not limited if the life has
// no limit; without a holder nobody may send for now.
func (l *Limits) Ask(now time.Duration, life registry.Incarnation, zone string, need Need) (ask Ask, holder string, isLimited bool) {
	if !l.Any() {
		return Ask{}, "", false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.inForce(life)
	if known == nil {
		return Ask{}, "", false
	}
	return Ask{Word: known.word(life).sentAt(now), Zone: zone, Need: need}, l.holders.of(now, life.ID, zone), true
}

// Grant answers a node, this one or another, as the holder.
func (l *Limits) Grant(now time.Duration, from string, ask Ask) Answer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.holders.asked[from] = now
	word := ask.Word.receivedAt(now)
	l.hear(now, word)
	known := l.entries[word.Life]
	if known == nil {
		// What the other node says of the limit makes no sense here.
		return Answer{FreeMS: uint64(silentHolder.Milliseconds())}
	}
	answer := Answer{}
	if known.at > word.At || known.hasEnded {
		answer.Words = ForSending(now, []Word{known.word(word.Life)})
	}
	if known.hasEnded {
		return answer
	}
	part, wait := l.holders.part(now, word.Life.ID, ask.Zone)
	if part <= 0 {
		answer.FreeMS = uint64(max(wait, silentHolder).Milliseconds())
		return answer
	}
	between := time.Duration(float64(interval(known.perSecond)) / part)
	delay, isTaken := known.slots.take(now, between, ask.Need)
	answer.IsGranted = isTaken
	if isTaken {
		answer.DelayMS = uint64(delay.Milliseconds())
	}
	answer.FreeMS = uint64(max(0, min(longestFree, known.slots.next-now)).Milliseconds())
	return answer
}

// Answered notes a holder's answer.
func (l *Limits) Answered(now time.Duration, life registry.Incarnation, answer Answer) []Change {
	changes := l.Hear(now, Received(now, answer.Words))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.inForce(life)
	if known == nil {
		return changes
	}
	scarce := 1.0
	switch {
	case !answer.IsGranted:
		known.denied++
	case answer.DelayMS > 0:
		known.granted++
	default:
		known.granted++
		scarce = 0
	}
	pressure := known.pressureNow(now)
	known.pressure, known.pressureAt = pressure+(scarce-pressure)*pressureWeight, now
	known.freeAt = now + min(longestFree, time.Duration(answer.FreeMS)*time.Millisecond)
	return changes
}

// Unanswered notes that a holder did not answer, or that there is none.
func (l *Limits) Unanswered(now time.Duration, life registry.Incarnation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.inForce(life); known != nil {
		known.freeAt = now + silentHolder
	}
}
