package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// named is a request as tests know it.
func named(number int) Fingerprint { return Fingerprint{Scope: uint64(number) + 1, Length: 1} }

func life(number int) registry.Incarnation {
	return registry.Incarnation{ID: fmt.Sprintf("engine-%d", number), StartedAt: 1}
}

// at reports runs of requests at an engine's end.
func at(t *Tracker, now time.Duration, ended registry.Incarnation, suspicion Suspicion, requests ...Fingerprint) {
	for _, one := range requests {
		t.Report(now, Evidence{Fingerprint: one, Life: ended, Suspicion: suspicion})
	}
}

// decided is how a request stands once everything reported counts.
func decided(t *Tracker, now time.Duration, request Fingerprint) Standing {
	t.Decide(now + settleTime)
	if one := t.suspects[request]; one != nil && len(one.ends) > 0 {
		return one.standing()
	}
	return Unknown
}

func TestRequestIsQuarantinedAtItsThirdEndAndNotBefore(t *testing.T) {
	tracker := NewTracker(Options{})
	poison := named(0)
	for number, wanted := range []Standing{Known, Suspected, Quarantined} {
		at(tracker, 0, life(number), Likely, poison)
		// Other nodes' copies of it at the same end are no further ends.
		at(tracker, 0, life(number), Likely, poison)
		assert.Equal(t, decided(tracker, 0, poison), wanted)
	}
}

// The incident: 1 to 46 streams of other callers broke with each engine, some of them
// three times.
func TestRequestsBesideAPoisonOneAreNotTakenForIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		beside Suspicion
		ends   int
	}{{"running for long", Unlikely, 4}, {"waiting", Possible, 4}, {"just begun", Likely, 3}} {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker(Options{})
			poison, beside := named(0), named(1)
			for number := range 4 {
				at(tracker, 0, life(number), Likely, poison)
				if number < c.ends {
					at(tracker, 0, life(number), c.beside, beside)
				}
			}
			assert.Equal(t, decided(tracker, 0, poison), Quarantined)
			assert.Assert(t, decided(tracker, 0, beside) != Quarantined)
		})
	}
}

// Two requests at the same three ends: which one it was the next end tells, and at the
// latest the fifth puts both into quarantine.
func TestRequestsThatCanNotBeToldApartWaitForTheNextEnd(t *testing.T) {
	tracker := NewTracker(Options{})
	one, other := named(0), named(1)
	for number := range 3 {
		at(tracker, 0, life(number), Likely, one, other)
	}
	assert.Equal(t, decided(tracker, 0, one), Suspected)
	at(tracker, 0, life(3), Likely, one)
	assert.Equal(t, decided(tracker, 0, one), Quarantined)
	assert.Assert(t, decided(tracker, 0, other) != Quarantined)

	tracker = NewTracker(Options{})
	for number := range certainEnds {
		at(tracker, 0, life(number), Likely, one, other)
	}
	assert.Equal(t, decided(tracker, 0, one), Quarantined)
}

// Seen in a fleet of three engines: two requests that end engines came side by side, and
// each was let out as often as the other one explained its ends.
func TestTwoPoisonRequestsSideBySideExcuseEachOtherNoLongerThanFiveEnds(t *testing.T) {
	tracker := NewTracker(Options{})
	one, other := named(0), named(1)
	for number := range 12 {
		at(tracker, 0, life(number), Likely, one, other)
		if number%2 == 0 {
			at(tracker, 0, life(100+number), Likely, one)
		} else {
			at(tracker, 0, life(100+number), Likely, other)
		}
		if number+1 >= certainEnds {
			assert.Equal(t, decided(tracker, 0, one), Quarantined, "after %d", number)
			assert.Equal(t, decided(tracker, 0, other), Quarantined, "after %d", number)
		}
	}
}

// A request whose runs never seem fresh, since the heads of its answers are lost with
// the engine, must not hide behind those that had just begun.
func TestRequestAtFiveEndsIsQuarantinedWhoeverSeemsLikelier(t *testing.T) {
	tracker := NewTracker(Options{})
	poison := named(0)
	for number := range certainEnds {
		at(tracker, 0, life(number), Possible, poison)
		at(tracker, 0, life(number), Likely, named(1+number%2), named(3+number))
	}
	assert.Equal(t, decided(tracker, 0, poison), Quarantined)
	for number := 1; number < 3+certainEnds; number++ {
		assert.Assert(t, decided(tracker, 0, named(number)) != Quarantined)
	}
}

// A third of the engines lost at once, twice, and a planned release: each request loses
// one engine each time.
func TestLossOfManyEnginesAtOnceQuarantinesNobody(t *testing.T) {
	tracker := NewTracker(Options{})
	for loss := range 2 {
		for number := range 40 {
			at(tracker, time.Duration(loss)*time.Second, life(loss*4+number%4), Likely, named(number))
		}
	}
	for number := range 40 {
		assert.Assert(t, decided(tracker, time.Second, named(number)) != Quarantined)
	}
}

func TestRequestThatRanToItsEndIsClearedAndLateWordOfBeforeChangesNothing(t *testing.T) {
	tracker, other := NewTracker(Options{}), NewTracker(Options{})
	request := named(0)
	for number := range 3 {
		at(tracker, 0, life(number), Likely, request)
	}
	other.Merge(0, tracker.Records(0))
	assert.Equal(t, decided(other, 0, request), Quarantined)
	assert.Assert(t, tracker.Clear(time.Second, request))
	assert.Equal(t, decided(tracker, time.Second, request), Unknown)
	before := other.Records(time.Second)
	other.Merge(time.Second, tracker.Records(time.Second))
	assert.Equal(t, decided(other, time.Second, request), Unknown)
	tracker.Merge(time.Second, before)
	assert.Equal(t, decided(tracker, time.Second, request), Unknown)
	assert.Equal(t, tracker.Digest(), other.Digest())
}

// What nodes tell each other may come in any order, and more than once.
func TestRecordsMergeToTheSameInEachOrder(t *testing.T) {
	cleared := NewTracker(Options{})
	at(cleared, 0, life(0), Likely, named(1))
	cleared.Clear(0, named(1))
	records := cleared.Records(0)
	for _, evidence := range []struct {
		life      int
		suspicion Suspicion
		request   int
	}{{0, Likely, 0}, {1, Possible, 0}, {1, Likely, 0}, {2, Likely, 1}} {
		one := NewTracker(Options{})
		at(one, 0, life(evidence.life), evidence.suspicion, named(evidence.request))
		records = append(records, one.Records(0)...)
	}
	var digests []uint64
	permute(records, func(order []Record) {
		tracker := NewTracker(Options{})
		for _, record := range order {
			tracker.Merge(0, []Record{record})
			tracker.Merge(0, []Record{record})
		}
		assert.Equal(t, decided(tracker, 0, named(0)), Suspected)
		digests = append(digests, tracker.Digest())
	})
	assert.Equal(t, len(digests), 120)
	for _, digest := range digests {
		assert.Equal(t, digest, digests[0])
	}
}

// permute calls with each order of some records.
func permute(records []Record, call func([]Record)) {
	var step func(chosen, left []Record)
	step = func(chosen, left []Record) {
		if len(left) == 0 {
			call(chosen)
		}
		for position := range left {
			rest := append(append([]Record{}, left[:position]...), left[position+1:]...)
			step(append(append([]Record{}, chosen...), left[position]), rest)
		}
	}
	step(nil, records)
}

// Ten thousand different requests at engines that end for other reasons.
func TestFloodOfSuspectsIsBoundedAndPushesNoQuarantinedRequestOut(t *testing.T) {
	tracker := NewTracker(Options{Requests: 100})
	poison := named(0)
	for number := range 3 {
		at(tracker, 0, life(number), Likely, poison)
	}
	assert.Equal(t, decided(tracker, 0, poison), Quarantined)
	for number := range 10_000 {
		at(tracker, time.Duration(number)*time.Millisecond, life(10+number/40), Likely, named(1+number))
	}
	assert.Equal(t, len(tracker.suspects), 100)
	assert.Equal(t, decided(tracker, 10*time.Second, poison), Quarantined)
	// The other way round: what another node holds does not push it out either.
	flooded := NewTracker(Options{Requests: 100})
	for number := range 10_000 {
		at(flooded, time.Hour, life(10+number), Likely, named(1+number))
	}
	tracker.Merge(10*time.Second, flooded.Records(time.Hour))
	assert.Equal(t, decided(tracker, 10*time.Second, poison), Quarantined)
	assert.Equal(t, len(tracker.suspects), 100)
}

func TestQuarantineEndsWithItsTimeAndOneMoreEndBringsItBack(t *testing.T) {
	tracker := NewTracker(Options{Memory: time.Minute})
	poison, once := named(0), named(1)
	for number := range 3 {
		at(tracker, 0, life(number), Likely, poison)
	}
	at(tracker, 0, life(9), Likely, once)
	assert.Equal(t, decided(tracker, 59*time.Second, poison), Quarantined)
	assert.Equal(t, decided(tracker, 61*time.Second, poison), Suspected)
	assert.Equal(t, decided(tracker, 61*time.Second, once), Unknown)
	at(tracker, 70*time.Second, life(3), Likely, poison)
	assert.Equal(t, decided(tracker, 70*time.Second, poison), Quarantined)
	assert.Equal(t, decided(tracker, 140*time.Second, poison), Suspected)
	assert.Equal(t, decided(tracker, 210*time.Second, poison), Unknown)
	assert.Equal(t, len(tracker.suspects), 0)
}

// sinkOf takes a guard's words to a tracker at once.
type sinkOf struct{ tracker *Tracker }

func (s sinkOf) EnginesEnded(evidence []Evidence) {
	for _, one := range evidence {
		s.tracker.Report(0, one)
	}
}

func (s sinkOf) RanToItsEnd(fingerprint Fingerprint) { s.tracker.Clear(0, fingerprint) }

type textRequest struct{ body string }

func (textRequest) Scope() uint64  { return 7 }
func (r textRequest) Body() []byte { return []byte(r.body) }

// Requests that many callers send alike are at the ends of many engines, and run to
// their end all the time.
func TestPopularRequestIsNotTakenForAPoisonOne(t *testing.T) {
	tracker := NewTracker(Options{})
	guard := NewGuard(sinkOf{tracker})
	popular := textRequest{"popular"}
	present := []Present{{Fingerprint: FingerprintOfRequest(popular), Run: Run{AnswerBegan: true, BeginsAtHead: true}}}
	for number := range 6 {
		guard.Completed(popular)
		guard.Ended(life(number), present)
		tracker.Decide(settleTime)
		guard.SetView(tracker.View())
		assert.Assert(t, guard.Standing(popular) != Quarantined)
	}
}

func TestBodyIsReadOnlyForRequestsOfASuspectsScope(t *testing.T) {
	tracker := NewTracker(Options{})
	guard := NewGuard(sinkOf{tracker})
	poison := textRequest{"poison"}
	for number := range 3 {
		guard.Ended(life(number), []Present{{Fingerprint: FingerprintOfRequest(poison), Run: Run{}}})
	}
	tracker.Decide(settleTime)
	guard.SetView(tracker.View())
	assert.Equal(t, guard.Standing(poison), Quarantined)
	assert.Equal(t, guard.Standing(textRequest{"potion"}), Unknown)
	assert.Equal(t, guard.Standing(unhashable{}), Unknown)
}

// unhashable fails a test that looks at its body.
type unhashable struct{}

func (unhashable) Scope() uint64 { return 8 }
func (unhashable) Body() []byte  { panic("the body of a request of another scope was read") }

// BenchmarkDecide weighs the most that a tracker holds by default.
func BenchmarkDecide(b *testing.B) {
	tracker := NewTracker(Options{})
	for number := range DefaultRequests {
		at(tracker, 0, life(number/8), Likely, named(number))
		at(tracker, 0, life(number/8+1), Possible, named(number))
	}
	for b.Loop() {
		tracker.isOutdated = true
		tracker.Decide(settleTime)
	}
}

// BenchmarkView makes the list anew that requests are looked up in.
func BenchmarkView(b *testing.B) {
	tracker := NewTracker(Options{})
	for number := range DefaultRequests {
		at(tracker, 0, life(number/8), Likely, named(number))
	}
	for b.Loop() {
		tracker.View()
	}
}

// The digest is kept between changes, and must not be that of before one.
func TestKeptDigestIsThatMadeAnewAfterEachChange(t *testing.T) {
	random := rand.New(rand.NewPCG(42, 1))
	one, other := NewTracker(Options{Requests: 12, Memory: time.Minute}), NewTracker(Options{Requests: 12, Memory: time.Minute})
	now := time.Duration(0)
	for step := range 5000 {
		now += time.Duration(random.Int64N(int64(200 * time.Millisecond)))
		request := named(random.IntN(16))
		switch random.IntN(6) {
		case 0, 1:
			one.Report(now, Evidence{Fingerprint: request, Life: life(random.IntN(40)), Suspicion: Excused + Suspicion(random.IntN(4))})
		case 2:
			other.Report(now, Evidence{Fingerprint: request, Life: life(random.IntN(40)), Suspicion: Likely})
		case 3:
			one.Merge(now, other.Records(now))
		case 4:
			one.Decide(now)
		case 5:
			one.Clear(now, request)
		}
		assert.Equal(t, one.Digest(), one.computeDigest(), "step %d", step)
	}
}

// A node compares its digest with each hello of a control node.
func BenchmarkDigest(b *testing.B) {
	tracker := NewTracker(Options{})
	for number := range DefaultRequests {
		for end := range suspectEnds {
			at(tracker, 0, life(number*suspectEnds+end), Likely, named(number))
		}
	}
	b.Run("kept", func(b *testing.B) {
		for b.Loop() {
			tracker.Digest()
		}
	})
	b.Run("anew", func(b *testing.B) {
		for b.Loop() {
			tracker.computeDigest()
		}
	})
}
