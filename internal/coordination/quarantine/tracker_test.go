package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// testFingerprint returns the fingerprint of a numbered request.
func testFingerprint(number int) Fingerprint {
	return Fingerprint{Scope: uint64(number) + 1, Length: 1}
}

func incarnation(number int) registry.Incarnation {
	return registry.Incarnation{ID: fmt.Sprintf("engine-%d", number), StartedAt: 1}
}

// report reports runs of requests that were in flight when an engine crashed.
func report(t *Tracker, now time.Duration, crashed registry.Incarnation, suspicion Suspicion, requests ...Fingerprint) {
	for _, one := range requests {
		t.Report(now, CrashReport{Fingerprint: one, Incarnation: crashed, Suspicion: suspicion})
	}
}

// statusAfterDecide returns the status of a request once all reported crashes count.
func statusAfterDecide(t *Tracker, now time.Duration, request Fingerprint) Status {
	t.Decide(now + settleTime)
	if one := t.suspects[request]; one != nil && len(one.crashes) > 0 {
		return one.status()
	}
	return Unknown
}

func TestRequestIsQuarantinedAtItsThirdCrashAndNotBefore(t *testing.T) {
	tracker := NewTracker(Options{})
	poison := testFingerprint(0)
	for number, wanted := range []Status{Known, Suspected, Quarantined} {
		report(tracker, 0, incarnation(number), Likely, poison)
		// Further copies of the request at the same crash don't add crashes.
		report(tracker, 0, incarnation(number), Likely, poison)
		assert.Equal(t, statusAfterDecide(tracker, 0, poison), wanted)
	}
}

// Guards against quarantining requests that merely ran at the crashing engines. In one incident each
// crash broke 1 to 46 streams of other callers, and some of these requests were broken three times.
func TestRequestsInFlightBesideAPoisonRequestAreNotQuarantined(t *testing.T) {
	for _, c := range []struct {
		name    string
		beside  Suspicion
		crashes int
	}{{"running for long", Unlikely, 4}, {"waiting", Possible, 4}, {"just begun", Likely, 3}} {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker(Options{})
			poison, beside := testFingerprint(0), testFingerprint(1)
			for number := range 4 {
				report(tracker, 0, incarnation(number), Likely, poison)
				if number < c.crashes {
					report(tracker, 0, incarnation(number), c.beside, beside)
				}
			}
			assert.Equal(t, statusAfterDecide(tracker, 0, poison), Quarantined)
			assert.Assert(t, statusAfterDecide(tracker, 0, beside) != Quarantined)
		})
	}
}

// Two requests at the same three crashes can't be distinguished: a further crash does so, and the
// fifth crash at the latest puts both into quarantine.
func TestIndistinguishableRequestsWaitForTheNextCrash(t *testing.T) {
	tracker := NewTracker(Options{})
	one, other := testFingerprint(0), testFingerprint(1)
	for number := range 3 {
		report(tracker, 0, incarnation(number), Likely, one, other)
	}
	assert.Equal(t, statusAfterDecide(tracker, 0, one), Suspected)
	report(tracker, 0, incarnation(3), Likely, one)
	assert.Equal(t, statusAfterDecide(tracker, 0, one), Quarantined)
	assert.Assert(t, statusAfterDecide(tracker, 0, other) != Quarantined)

	tracker = NewTracker(Options{})
	for number := range certainCrashes {
		report(tracker, 0, incarnation(number), Likely, one, other)
	}
	assert.Equal(t, statusAfterDecide(tracker, 0, one), Quarantined)
}

// Guards against a fault of a fleet of three engines: of two poison requests sent at the same
// time, each left quarantine whenever the other one explained its crashes.
func TestTwoPoisonRequestsExplainEachOthersCrashesAtMostUntilTheFifth(t *testing.T) {
	tracker := NewTracker(Options{})
	one, other := testFingerprint(0), testFingerprint(1)
	for number := range 12 {
		report(tracker, 0, incarnation(number), Likely, one, other)
		if number%2 == 0 {
			report(tracker, 0, incarnation(100+number), Likely, one)
		} else {
			report(tracker, 0, incarnation(100+number), Likely, other)
		}
		if number+1 >= certainCrashes {
			assert.Equal(t, statusAfterDecide(tracker, 0, one), Quarantined, "after %d", number)
			assert.Equal(t, statusAfterDecide(tracker, 0, other), Quarantined, "after %d", number)
		}
	}
}

// A poison request whose response heads are lost in the crash never looks as if it had just
// begun. Guards against it escaping quarantine because of other requests that had.
func TestRequestAtFiveCrashesIsQuarantinedDespiteMoreSuspiciousOnes(t *testing.T) {
	tracker := NewTracker(Options{})
	poison := testFingerprint(0)
	for number := range certainCrashes {
		report(tracker, 0, incarnation(number), Possible, poison)
		report(tracker, 0, incarnation(number), Likely, testFingerprint(1+number%2), testFingerprint(3+number))
	}
	assert.Equal(t, statusAfterDecide(tracker, 0, poison), Quarantined)
	for number := 1; number < 3+certainCrashes; number++ {
		assert.Assert(t, statusAfterDecide(tracker, 0, testFingerprint(number)) != Quarantined)
	}
}

// Guards against quarantining requests after the loss of a third of the engines at the same time,
// twice, or after a planned release: each request loses one engine each time.
func TestLossOfManyEnginesAtTheSameTimeQuarantinesNoRequest(t *testing.T) {
	tracker := NewTracker(Options{})
	for loss := range 2 {
		for number := range 40 {
			report(tracker, time.Duration(loss)*time.Second, incarnation(loss*4+number%4), Likely, testFingerprint(number))
		}
	}
	for number := range 40 {
		assert.Assert(t, statusAfterDecide(tracker, time.Second, testFingerprint(number)) != Quarantined)
	}
}

func TestCompletedRequestIsClearedAndDelayedOlderRecordsChangeNothing(t *testing.T) {
	tracker, other := NewTracker(Options{}), NewTracker(Options{})
	request := testFingerprint(0)
	for number := range 3 {
		report(tracker, 0, incarnation(number), Likely, request)
	}
	other.Merge(0, tracker.Records(0))
	assert.Equal(t, statusAfterDecide(other, 0, request), Quarantined)
	assert.Assert(t, tracker.Clear(time.Second, request))
	assert.Equal(t, statusAfterDecide(tracker, time.Second, request), Unknown)
	before := other.Records(time.Second)
	other.Merge(time.Second, tracker.Records(time.Second))
	assert.Equal(t, statusAfterDecide(other, time.Second, request), Unknown)
	tracker.Merge(time.Second, before)
	assert.Equal(t, statusAfterDecide(tracker, time.Second, request), Unknown)
	assert.Equal(t, tracker.Digest(), other.Digest())
}

// Records of other nodes may arrive in any order and more than once.
func TestRecordsMergeToTheSameResultInAnyOrder(t *testing.T) {
	cleared := NewTracker(Options{})
	report(cleared, 0, incarnation(0), Likely, testFingerprint(1))
	cleared.Clear(0, testFingerprint(1))
	records := cleared.Records(0)
	for _, reported := range []struct {
		incarnation int
		suspicion   Suspicion
		request     int
	}{{0, Likely, 0}, {1, Possible, 0}, {1, Likely, 0}, {2, Likely, 1}} {
		one := NewTracker(Options{})
		report(one, 0, incarnation(reported.incarnation), reported.suspicion, testFingerprint(reported.request))
		records = append(records, one.Records(0)...)
	}
	var digests []Digest
	permute(records, func(order []Record) {
		tracker := NewTracker(Options{})
		for _, record := range order {
			tracker.Merge(0, []Record{record})
			tracker.Merge(0, []Record{record})
		}
		assert.Equal(t, statusAfterDecide(tracker, 0, testFingerprint(0)), Suspected)
		digests = append(digests, tracker.Digest())
	})
	assert.Equal(t, len(digests), 120)
	for _, digest := range digests {
		assert.Equal(t, digest, digests[0])
	}
}

// permute calls a function with each permutation of some records.
func permute(records []Record, call func([]Record)) {
	var step func(chosen, left []Record)
	step = func(chosen, left []Record) {
		if len(left) == 0 {
			call(chosen)
		}
		for position := range left {
			remaining := append(append([]Record{}, left[:position]...), left[position+1:]...)
			step(append(append([]Record{}, chosen...), left[position]), remaining)
		}
	}
	step(nil, records)
}

// Ten thousand different requests are in flight at engines that crash for other reasons.
func TestFloodOfSuspectsIsBoundedAndEvictsNoQuarantinedRequest(t *testing.T) {
	tracker := NewTracker(Options{MaximumRequests: 100})
	poison := testFingerprint(0)
	for number := range 3 {
		report(tracker, 0, incarnation(number), Likely, poison)
	}
	assert.Equal(t, statusAfterDecide(tracker, 0, poison), Quarantined)
	for number := range 10_000 {
		report(tracker, time.Duration(number)*time.Millisecond, incarnation(10+number/40), Likely, testFingerprint(1+number))
	}
	assert.Equal(t, len(tracker.suspects), 100)
	assert.Equal(t, statusAfterDecide(tracker, 10*time.Second, poison), Quarantined)
	// Neither do the records of another node evict it.
	flooded := NewTracker(Options{MaximumRequests: 100})
	for number := range 10_000 {
		report(flooded, time.Hour, incarnation(10+number), Likely, testFingerprint(1+number))
	}
	tracker.Merge(10*time.Second, flooded.Records(time.Hour))
	assert.Equal(t, statusAfterDecide(tracker, 10*time.Second, poison), Quarantined)
	assert.Equal(t, len(tracker.suspects), 100)
}

func TestQuarantineExpiresAndOneFurtherCrashRestoresIt(t *testing.T) {
	tracker := NewTracker(Options{Retention: time.Minute})
	poison, once := testFingerprint(0), testFingerprint(1)
	for number := range 3 {
		report(tracker, 0, incarnation(number), Likely, poison)
	}
	report(tracker, 0, incarnation(9), Likely, once)
	assert.Equal(t, statusAfterDecide(tracker, 59*time.Second, poison), Quarantined)
	assert.Equal(t, statusAfterDecide(tracker, 61*time.Second, poison), Suspected)
	assert.Equal(t, statusAfterDecide(tracker, 61*time.Second, once), Unknown)
	report(tracker, 70*time.Second, incarnation(3), Likely, poison)
	assert.Equal(t, statusAfterDecide(tracker, 70*time.Second, poison), Quarantined)
	assert.Equal(t, statusAfterDecide(tracker, 140*time.Second, poison), Suspected)
	assert.Equal(t, statusAfterDecide(tracker, 210*time.Second, poison), Unknown)
	assert.Equal(t, len(tracker.suspects), 0)
}

// sinkOf passes a guard's reports to a tracker immediately.
type sinkOf struct{ tracker *Tracker }

func (s sinkOf) EnginesCrashed(reports []CrashReport) {
	for _, one := range reports {
		s.tracker.Report(0, one)
	}
}

func (s sinkOf) RequestCompleted(fingerprint Fingerprint) { s.tracker.Clear(0, fingerprint) }
func (s sinkOf) PartWritten(fingerprint Fingerprint)      { s.tracker.Clear(0, fingerprint) }

type textRequest struct{ body string }

func (textRequest) Scope() uint64  { return 7 }
func (r textRequest) Body() []byte { return []byte(r.body) }

func (textRequest) Parts() []Part { return nil }

// Identical requests that many callers send are in flight at the crashes of many engines, and run
// to completion all the time.
func TestPopularRequestIsNotQuarantined(t *testing.T) {
	tracker := NewTracker(Options{})
	guard := NewGuard(sinkOf{tracker})
	popular := textRequest{"popular"}
	runs := []InFlightRun{{Fingerprint: FingerprintOfRequest(popular), Run: Run{ResponseBegan: true, RespondsAtStart: true}}}
	for number := range 6 {
		guard.Completed(popular)
		guard.ReportCrash(0, incarnation(number), runs)
		tracker.Decide(settleTime)
		guard.SetView(0, tracker.View())
		assert.Assert(t, guard.Status(popular) != Quarantined)
	}
}

func TestBodyIsHashedOnlyForRequestsOfASuspectsScope(t *testing.T) {
	tracker := NewTracker(Options{})
	guard := NewGuard(sinkOf{tracker})
	poison := textRequest{"poison"}
	for number := range 3 {
		guard.ReportCrash(0, incarnation(number), []InFlightRun{{Fingerprint: FingerprintOfRequest(poison), Run: Run{}}})
	}
	tracker.Decide(settleTime)
	guard.SetView(0, tracker.View())
	assert.Equal(t, guard.Status(poison), Quarantined)
	assert.Equal(t, guard.Status(textRequest{"potion"}), Unknown)
	assert.Equal(t, guard.Status(unhashable{}), Unknown)
}

// unhashable panics if its body is read.
type unhashable struct{}

func (unhashable) Scope() uint64 { return 8 }
func (unhashable) Body() []byte  { panic("the body of a request of another scope was read") }
func (unhashable) Parts() []Part { return nil }

// BenchmarkDecide decides on the maximum number of requests that a tracker keeps by default.
func BenchmarkDecide(b *testing.B) {
	tracker := NewTracker(Options{})
	for number := range DefaultMaximumRequests {
		report(tracker, 0, incarnation(number/8), Likely, testFingerprint(number))
		report(tracker, 0, incarnation(number/8+1), Possible, testFingerprint(number))
	}
	for b.Loop() {
		tracker.isOutdated = true
		tracker.Decide(settleTime)
	}
}

// BenchmarkView builds the snapshot in which requests are looked up.
func BenchmarkView(b *testing.B) {
	tracker := NewTracker(Options{})
	for number := range DefaultMaximumRequests {
		report(tracker, 0, incarnation(number/8), Likely, testFingerprint(number))
	}
	for b.Loop() {
		tracker.View()
	}
}

// The digest is cached between changes. Guards against a cached digest that is out of date.
func TestCachedDigestIsUpdatedAfterEachChange(t *testing.T) {
	random := rand.New(rand.NewPCG(42, 1))
	one, other := NewTracker(Options{MaximumRequests: 12, Retention: time.Minute}), NewTracker(Options{MaximumRequests: 12, Retention: time.Minute})
	now := time.Duration(0)
	for step := range 5000 {
		now += time.Duration(random.Int64N(int64(200 * time.Millisecond)))
		request := testFingerprint(random.IntN(16))
		switch random.IntN(6) {
		case 0, 1:
			one.Report(now, CrashReport{Fingerprint: request, Incarnation: incarnation(random.IntN(40)), Suspicion: Excused + Suspicion(random.IntN(4))})
		case 2:
			other.Report(now, CrashReport{Fingerprint: request, Incarnation: incarnation(random.IntN(40)), Suspicion: Likely})
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

// A node compares its digest with that of each hello of a control node.
func BenchmarkDigest(b *testing.B) {
	tracker := NewTracker(Options{})
	for number := range DefaultMaximumRequests {
		for crash := range suspectCrashes {
			report(tracker, 0, incarnation(number*suspectCrashes+crash), Likely, testFingerprint(number))
		}
	}
	b.Run("cached", func(b *testing.B) {
		for b.Loop() {
			tracker.Digest()
		}
	})
	b.Run("recomputed", func(b *testing.B) {
		for b.Loop() {
			tracker.computeDigest()
		}
	})
}
