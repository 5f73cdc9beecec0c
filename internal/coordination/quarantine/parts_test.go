package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// promptRequest is a request of a tenant with parts in its prompt, which the last one of it follows.
type promptRequest struct {
	tenant, body string
	parts        []Part
}

func (r promptRequest) Scope() uint64 { return ScopeOf("/stream", r.tenant) }
func (r promptRequest) Body() []byte  { return []byte(r.body) }
func (r promptRequest) Parts() []Part { return r.parts }

// fleetOfOne is a tracker with its guard, and the number of the next crash.
type fleetOfOne struct {
	tracker *Tracker
	guard   *Guard
	crashes int
	now     time.Duration
}

func newFleetOfOne() *fleetOfOne {
	tracker := NewTracker(Options{})
	return &fleetOfOne{tracker: tracker, guard: NewGuard(sinkOf{tracker})}
}

// request returns a request unlike all others, with parts given as "a,b,c".
func (f *fleetOfOne) request(tenant, body, parts string) promptRequest {
	request := promptRequest{tenant: tenant, body: body}
	for id := range strings.SplitSeq(parts, ",") {
		request.parts = append(request.parts, Part{Fingerprint: PartFingerprintOf(PartScopeOf("m", tenant), id), ID: id})
	}
	return request
}

// crash crashes an engine while it begins some requests; all crashes count afterwards.
func (f *fleetOfOne) crash(requests ...promptRequest) {
	var runs []InFlightRun
	for _, one := range requests {
		runs = append(runs, InFlightRun{
			Fingerprint: FingerprintOfRequest(one), Run: Run{ResponseBegan: true, RespondsAtStart: true}, Tenant: one.tenant, Parts: one.parts,
		})
	}
	f.guard.ReportCrash(f.now, incarnation(f.crashes), runs)
	f.crashes++
	f.decide()
}

// decide lets all crashes count.
func (f *fleetOfOne) decide() {
	f.now += partSettleTime
	f.tracker.Decide(f.now)
	f.guard.SetView(f.now, f.tracker.View())
}

// quarantined returns the parts in quarantine, as "tenant/part".
func (f *fleetOfOne) quarantined() []string {
	var ids []string
	for _, one := range f.tracker.suspects {
		if one.IsPart() && one.isQuarantined {
			ids = append(ids, one.tenant+"/"+one.part)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against a part of prompts that crashes one engine after the other because no two requests with it
// are alike. The part before it, which sound requests have too, stays out of quarantine.
func TestPartThatCrashesEnginesInDifferentRequestsIsQuarantined(t *testing.T) {
	f := newFleetOfOne()
	for number := range provenCrashes {
		f.guard.Written(f.now, f.request("t", fmt.Sprint("sound ", number), "common,sound"))
		f.crash(f.request("t", fmt.Sprint(number), "common,crashing"))
	}
	assert.DeepEqual(t, f.quarantined(), []string{"t/crashing"})
	assert.Equal(t, f.guard.Status(f.request("t", "new", "common,crashing")), Quarantined)
	assert.Equal(t, f.guard.Status(f.request("t", "new", "crashing")), Quarantined, "whatever else it holds")
	assert.Assert(t, f.guard.Status(f.request("t", "new", "common,sound")) < Quarantined)
}

// Guards against a suspect that is too wide: of two parts that only come together the narrower one is
// quarantined, since the requests without it then show whether it was the right one.
func TestOfPartsThatOnlyComeTogetherTheNarrowestIsQuarantinedUntilOneComesAlone(t *testing.T) {
	f := newFleetOfOne()
	for number := range provenCrashes {
		f.crash(f.request("t", fmt.Sprint(number), "first,second"))
	}
	assert.DeepEqual(t, f.quarantined(), []string{"t/second"})
	// The first part was the cause: its crashes with two other parts show it, and the second one is released.
	f.crash(f.request("t", "alone", "first,third"))
	assert.DeepEqual(t, f.quarantined(), []string{"t/second"})
	f.crash(f.request("t", "alone too", "first,fourth"))
	assert.DeepEqual(t, f.quarantined(), []string{"t/first"})
}

// Guards against a crashing part that escapes because the parts that follow it share its crashes.
func TestCrashingPartWithDifferentFollowersIsQuarantined(t *testing.T) {
	for followers, maximum := range map[int]int{1: provenCrashes, 2: 2 * provenCrashes, 3: provenCrashes} {
		f := newFleetOfOne()
		for number := 0; f.guard.Status(f.request("t", "next", fmt.Sprint("crashing,follower-", number%followers))) != Quarantined; number++ {
			f.guard.Written(f.now, f.request("t", fmt.Sprint("sound ", number), "common"))
			f.crash(f.request("t", fmt.Sprint(number), fmt.Sprint("common,crashing,follower-", number%followers)))
			assert.Assert(t, f.crashes <= maximum, "%d followers", followers)
		}
	}
}

// Guards against a part that is taken for the cause because requests of two other causes share it: it was
// quarantined for the crashes of a poison request and of a crashing part, and sound requests with it were
// refused.
func TestPartThatTwoOtherCausesShareIsNotQuarantined(t *testing.T) {
	f := newFleetOfOne()
	poison := f.request("t", "poison", "common")
	for number := range provenCrashes {
		f.crash(poison)
		f.crash(f.request("t", fmt.Sprint(number), "common,crashing"))
		assert.Assert(t, !slices.Contains(f.quarantined(), "t/common"))
	}
	assert.DeepEqual(t, f.quarantined(), []string{"t/crashing"})
	assert.Equal(t, f.guard.Status(poison), Quarantined)
}

// Guards against taking the parts of a poison request for the cause: its crashes come with one request.
func TestPartsOfAPoisonRequestAreNotQuarantined(t *testing.T) {
	f := newFleetOfOne()
	poison := f.request("t", "poison", "first,second")
	for range certainCrashes {
		f.crash(poison)
	}
	assert.Equal(t, len(f.quarantined()), 0)
	assert.Equal(t, f.guard.Status(poison), Quarantined)
}

// Guards against a crashing part that escapes because its first request explains the first crashes.
func TestCrashingPartIsQuarantinedAfterItsFirstRequestWasTakenForThePoison(t *testing.T) {
	f := newFleetOfOne()
	first := f.request("t", "first", "crashing")
	for range provenCrashes {
		f.crash(first)
	}
	f.crash(f.request("t", "second", "crashing"))
	assert.Equal(t, len(f.quarantined()), 0)
	f.crash(f.request("t", "third", "crashing"))
	assert.DeepEqual(t, f.quarantined(), []string{"t/crashing"})
}

// Guards against counting the requests beside a poison request as causes: a sound request with the same part
// was at each of its crashes, and the part was quarantined for three different requests.
func TestPartOfAPoisonRequestAndOfRequestsBesideItIsNotQuarantined(t *testing.T) {
	f := newFleetOfOne()
	poison := f.request("t", "poison", "common")
	for number := range certainCrashes {
		f.crash(poison, f.request("t", fmt.Sprint("beside ", number), "common"), f.request("t", fmt.Sprint("also beside ", number), "common,second"))
		assert.Equal(t, len(f.quarantined()), 0, "after %d crashes", number+1)
	}
	assert.Equal(t, f.guard.Status(poison), Quarantined)
}

func TestTwoCrashingPartsAreBothQuarantined(t *testing.T) {
	for _, together := range []bool{false, true} {
		f := newFleetOfOne()
		for number := range certainCrashes + 1 {
			one := f.request("t", fmt.Sprint("one ", number), "common,one")
			other := f.request("t", fmt.Sprint("other ", number), "common,other")
			f.guard.Written(f.now, f.request("t", "sound", "common"))
			if together {
				f.crash(one, other)
			} else {
				f.crash(one)
				f.crash(other)
			}
		}
		assert.DeepEqual(t, f.quarantined(), []string{"t/one", "t/other"})
		// Neither leaves quarantine when the other one explains further crashes.
		f.crash(f.request("t", "late one", "one"))
		assert.DeepEqual(t, f.quarantined(), []string{"t/one", "t/other"})
	}
}

// Guards against paying for a part once for each tenant: where it is proven for one of them, the first crash
// under another one suffices. Without a crash of its own a tenant's part is never in quarantine.
func TestPartProvenForOneTenantIsQuarantinedForAnotherAtItsFirstCrash(t *testing.T) {
	f := newFleetOfOne()
	for number := range provenCrashes {
		f.crash(f.request("a", fmt.Sprint(number), "crashing"))
	}
	assert.Equal(t, f.guard.Status(f.request("b", "new", "crashing")), Suspected)
	f.crash(f.request("b", "new", "crashing"))
	assert.DeepEqual(t, f.quarantined(), []string{"a/crashing", "b/crashing"})
}

// Guards against holding a part for engines that crash for other reasons while nine of ten requests have it:
// engines write responses on it all the time.
func TestPopularPartIsNotQuarantinedWhenEnginesCrashForOtherReasons(t *testing.T) {
	f := newFleetOfOne()
	for number := range 3 * certainCrashes {
		f.guard.Written(f.now, f.request("t", fmt.Sprint("served ", number), "popular"))
		f.crash(f.request("t", fmt.Sprint("one ", number), "popular"), f.request("t", fmt.Sprint("other ", number), "popular"))
		assert.Equal(t, len(f.quarantined()), 0)
	}
}

// Guards against holding a popular part when many engines are lost at the same moment, before any node has
// seen a further response: what a node saw just before clears it while the crashes settle.
func TestPopularPartIsClearedWhileTheLossOfManyEnginesSettles(t *testing.T) {
	f, witness := newFleetOfOne(), newFleetOfOne()
	witness.guard.Written(0, witness.request("t", "served", "popular"))
	for number := range certainCrashes {
		f.guard.ReportCrash(0, incarnation(number), []InFlightRun{{
			Fingerprint: testFingerprint(number), Run: Run{ResponseBegan: true, RespondsAtStart: true}, Parts: f.request("t", "", "popular").parts,
		}})
	}
	// The witness learns of the crashes, clears the part, and sends that on.
	witness.tracker.Merge(time.Millisecond, f.tracker.Records(time.Millisecond))
	witness.guard.SetView(time.Millisecond, witness.tracker.View())
	f.tracker.Merge(2*time.Millisecond, witness.tracker.TakeUpdates(2*time.Millisecond))
	f.decide()
	assert.Equal(t, len(f.quarantined()), 0)
}

// Guards against a part that is excused for ever by a response that an engine wrote on it long before the
// crashes: engines of a new version may crash on it. The response speaks for the part once.
func TestResponseThatWasWrittenLongBeforeExcusesAPartOnce(t *testing.T) {
	f := newFleetOfOne()
	f.guard.Written(f.now, f.request("t", "served", "turned"))
	f.now += recentlyWritten + time.Millisecond
	for number := range suspectCrashes + provenCrashes {
		assert.Equal(t, len(f.quarantined()), 0)
		f.crash(f.request("t", fmt.Sprint(number), "turned"))
	}
	assert.DeepEqual(t, f.quarantined(), []string{"t/turned"})
}

// Guards against an excuse at each node: what a node saw long before does not count after another node has
// cleared the part.
func TestOldResponsesAtOtherNodesDoNotExcuseAPartThatWasClearedSince(t *testing.T) {
	f, other := newFleetOfOne(), newFleetOfOne()
	other.guard.Written(0, other.request("t", "served", "turned"))
	f.now, other.now = 10*time.Second, 10*time.Second
	f.guard.Written(f.now, f.request("t", "served", "turned"))
	f.crash(f.request("t", "one", "turned"))
	f.now += recentlyWritten + time.Millisecond
	f.crash(f.request("t", "two", "turned"))
	f.crash(f.request("t", "three", "turned"))
	// It was cleared by now. These crashes come after that.
	f.crash(f.request("t", "four", "turned"))
	f.crash(f.request("t", "five", "turned"))
	assert.Equal(t, f.guard.Status(f.request("t", "six", "turned")), Suspected)
	other.tracker.Merge(f.now, f.tracker.Records(f.now))
	other.decide()
	assert.Equal(t, len(other.tracker.TakeUpdates(f.now)), 0)
}

func TestPartLeavesQuarantineAfterAWhileAndOneFurtherCrashRestoresIt(t *testing.T) {
	f := newFleetOfOne()
	for number := range provenCrashes {
		f.crash(f.request("t", fmt.Sprint(number), "crashing"))
	}
	f.now += maximumPartRetention + time.Second
	f.decide()
	assert.Equal(t, len(f.quarantined()), 0)
	f.crash(f.request("t", "later", "crashing"))
	assert.DeepEqual(t, f.quarantined(), []string{"t/crashing"})
}

// Guards against a flood of made-up parts that pushes a proven one out, and bounds what one request adds.
func TestMadeUpPartsDoNotPushAProvenOneOut(t *testing.T) {
	f := newFleetOfOne()
	for number := range provenCrashes {
		f.crash(f.request("t", fmt.Sprint(number), "crashing"))
	}
	for number := range 40 {
		ids := make([]string, 10_000)
		for position := range ids {
			ids[position] = fmt.Sprintf("made-up-%d-%d", number, position)
		}
		before := len(f.tracker.suspects)
		f.crash(f.request("t", fmt.Sprint("flood ", number), strings.Join(ids, ",")))
		assert.Assert(t, len(f.tracker.suspects)-before <= 1+maximumReportedParts)
	}
	assert.Equal(t, len(f.tracker.suspects), DefaultMaximumRequests)
	assert.DeepEqual(t, f.quarantined(), []string{"t/crashing"})
}

// Guards against nodes that disagree: all orders of the records of crashes give the same verdict.
func TestVerdictOnAPartDependsOnNoOrderOfRecords(t *testing.T) {
	var records []Record
	for number := range provenCrashes {
		one := newFleetOfOne()
		one.crashes = number
		one.crash(one.request("t", fmt.Sprint(number), "common,crashing"))
		records = append(records, one.tracker.Records(one.now)...)
	}
	records = slices.DeleteFunc(records, func(record Record) bool { return !record.Fingerprint.IsPart() })[:5]
	permute(records, func(order []Record) {
		f := newFleetOfOne()
		for _, record := range order {
			f.tracker.Merge(0, []Record{record})
		}
		f.decide()
		status := f.guard.Status(f.request("t", "new", "common,crashing"))
		assert.Assert(t, status == Suspected || status == Quarantined)
		assert.Equal(t, status, f.guard.Status(f.request("t", "new", "crashing")))
	})
}

// BenchmarkStatusOfALongPrompt looks a request with 1,000 parts up while the maximum number of parts is
// recorded.
func BenchmarkStatusOfALongPrompt(b *testing.B) {
	f := newFleetOfOne()
	for number := range DefaultMaximumRequests {
		part := Part{Fingerprint: PartFingerprintOf(1, fmt.Sprint(number)), ID: "x"}
		f.tracker.Report(0, CrashReport{Fingerprint: part.Fingerprint, Incarnation: incarnation(number), Suspicion: Likely})
	}
	f.decide()
	request := f.request("t", "", strings.Repeat("part,", 999)+"part")
	for b.Loop() {
		f.guard.Status(request)
	}
}

// Guards against a quarantine that never ends: nodes find the end of its time at different moments, and a node
// that had not yet found it gave the old crashes back to one that had.
func TestQuarantineThatHasEndedIsNotRestoredByANodeThatHasNotSeenItsEnd(t *testing.T) {
	for name, subject := range map[string]Fingerprint{"request": testFingerprint(0), "part": PartFingerprintOf(PartScopeOf("m", "t"), "crashing")} {
		first, second := NewTracker(Options{Retention: maximumPartRetention}), NewTracker(Options{Retention: maximumPartRetention})
		for number := range provenCrashes {
			first.Report(0, CrashReport{Fingerprint: subject, Incarnation: incarnation(number), Suspicion: Likely, Request: uint64(number) + 1})
		}
		second.Merge(0, first.Records(0))
		second.Decide(partSettleTime)
		assert.Equal(t, second.suspects[subject].status(), Quarantined, name)
		first.Decide(partSettleTime)
		assert.Equal(t, first.suspects[subject].status(), Quarantined, name)
		ended := maximumPartRetention + time.Second
		first.Decide(ended)
		assert.Equal(t, first.suspects[subject].status(), Suspected, name)
		first.Merge(ended+time.Second, second.Records(ended+time.Second))
		first.Decide(ended + 2*time.Second)
		assert.Equal(t, first.suspects[subject].status(), Suspected, name)
	}
}

// Guards against messages to all nodes about each part that was beside one crash: only parts of which all nodes
// were told are told of again when they are cleared.
func TestPartThatWasClearedAfterOneCrashIsNotSentToAllNodes(t *testing.T) {
	f := newFleetOfOne()
	f.crash(f.request("t", "beside", "once"))
	f.guard.Written(f.now, f.request("t", "served", "once"))
	f.decide()
	shared := func() (parts int) {
		for _, record := range f.tracker.SharedRecords(f.now) {
			if record.Fingerprint.IsPart() {
				parts++
			}
		}
		return parts
	}
	assert.Equal(t, shared(), 0)
	assert.Equal(t, f.tracker.Digest().Parts, uint64(0))
	// Two crashes are told to all nodes, and so is what clears them.
	f.crash(f.request("t", "one", "twice"))
	f.crash(f.request("t", "two", "twice"))
	assert.Equal(t, shared(), 1)
	f.guard.Written(f.now, f.request("t", "served", "twice"))
	f.decide()
	assert.Equal(t, shared(), 1)
	other := NewTracker(Options{})
	other.Merge(f.now, f.tracker.SharedRecords(f.now))
	assert.Equal(t, len(other.SharedRecords(f.now)), 1, "the other node agrees")
}

// Guards against a crashing part against which no further crash is recorded: it waited at engines that another
// one crashed, and the crashes of that one had filled its record.
func TestCrashesThatAnotherPartExplainsLeaveRoomForAPartsOwn(t *testing.T) {
	f := newFleetOfOne()
	waiting := f.request("t", "waiting", "common,other")
	for number := range 2 * maximumCrashes {
		one := f.request("t", fmt.Sprint("one ", number), "common,one")
		f.guard.ReportCrash(f.now, incarnation(f.crashes), []InFlightRun{
			{Fingerprint: FingerprintOfRequest(one), Run: Run{ResponseBegan: true, RespondsAtStart: true}, Tenant: "t", Parts: one.parts},
			{Fingerprint: testFingerprint(number), Tenant: "t", Parts: waiting.parts},
		})
		f.crashes++
		f.decide()
	}
	assert.DeepEqual(t, f.quarantined(), []string{"t/one"})
	for number := range provenCrashes {
		f.crash(f.request("t", fmt.Sprint("other ", number), "common,other"))
	}
	assert.DeepEqual(t, f.quarantined(), []string{"t/one", "t/other"})
}
