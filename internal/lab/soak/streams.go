package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ravenway/ravenway/internal/lab/standin"
	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// Released engines of the model service run at releasePlaceCount places from firstReleasePlace on
	// until an engine at one of the service's own places has their version.
	firstReleasePlace, releasePlaceCount = 9, modelEngines
	shortestRelease, longestRelease      = 100 * time.Millisecond, 600 * time.Millisecond
	// maximumTakeUps bounds the attempts of a caller that takes its stream up again, and takeUpInterval
	// is the time between two of them if the response names none.
	maximumTakeUps = 8
	takeUpInterval = 100 * time.Millisecond
	// releaseRandomStream is the second seed of the random numbers for releases.
	releaseRandomStream = 6000
	// minimumTakenUp is the number of streams from which the share of those that go on is judged, and
	// minimumWentOnShare its minimum relative to the share of new streams that begin.
	minimumTakenUp     = 12
	minimumWentOnShare = 0.5
)

// modelVersions are the versions of the model service that are released, in no order.
var modelVersions = []string{"v1", "v1.1", "v1.2"}

// contactTime is how long after a fault of control nodes the nodes may be out of touch, as the users'
// pages define it.
const contactTime = 4 * time.Second

// mayHitControl reports whether a fault may hit control nodes, or their links.
func mayHitControl(fault string) bool {
	return slices.Contains([]string{"kill_control", "kill_all_controls", "lose_disk", "pause", "planned_stop_control", "relay", "cut_core"}, fault)
}

// wasUnstable reports whether control nodes may have been out of touch at a moment.
func (r *run) wasUnstable(at time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.ContainsFunc(r.unstableSpans, func(one span) bool { return at >= one.from && at <= one.until })
}

// releaseVersions releases versions of the model service one after the other: for each a random half of
// its engines are replaced, some of them without a drain.
func (r *run) releaseVersions(ctx, faultContext context.Context, random *rand.Rand) {
	for faultContext.Err() == nil {
		version := modelVersions[random.IntN(len(modelVersions))]
		r.reportf("release of model version %s", version)
		r.fleet.setModelVersion(version)
		for _, place := range random.Perm(modelEngines)[:(modelEngines+1)/2] {
			if err := r.fleet.startReleased(version, place); err != nil {
				r.violationf("%v", err)
			}
			pause.For(faultContext, randomReleaseTime(random))
			r.replaceEngine(ctx, place, randomReleaseTime(random), random.IntN(2) == 0)
		}
		pause.For(faultContext, 2*randomReleaseTime(random))
	}
	r.fleet.endReleased()
}

func randomReleaseTime(random *rand.Rand) time.Duration {
	return shortestRelease + time.Duration(random.Int64N(int64(longestRelease-shortestRelease)))
}

func (f *fleet) setModelVersion(version string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.modelVersion = version
}

// startReleased starts an engine of a released version next to the one at a place, and ends the one that
// was released there before.
func (f *fleet) startReleased(version string, place int) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	place += firstReleasePlace
	if earlier := f.engines[placeName(place)]; earlier != nil {
		delete(f.engines, placeName(place))
		earlier.crash()
	}
	return f.startEngineLocked(serviceModel, version, place, "", false)
}

// endReleased ends the engines that are not at the service's own places.
func (f *fleet) endReleased() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for place := firstReleasePlace; place < firstReleasePlace+releasePlaceCount; place++ {
		if one := f.engines[placeName(place)]; one != nil {
			delete(f.engines, placeName(place))
			one.crash()
		}
	}
}

// countModelEngines returns the number of engines of the model service that run a version.
func (f *fleet) countModelEngines(version string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, one := range f.engines {
		if one.Service == serviceModel && one.Version == version {
			count++
		}
	}
	return count
}

// callerStream is a resumable stream as its caller received it over its attempts.
type callerStream struct {
	id string
	// entries are the entry nodes of the attempts.
	entries []string
	// resumes is the attempt that brought the first event.
	resumes string
	events  int
	// versions are the versions of the engines that sent the events.
	versions []string
	// isTakenUp reports whether a node responded to an attempt to take the stream up while two engines
	// of its version served, takenUpAt when it first did, and wentOn whether the stream then went on.
	isTakenUp, wentOn bool
	takenUpAt         time.Duration
	// joinedBy is the first entry node that joined a second version while it ran the build under test
	// throughout the attempt, "" if there is none.
	joinedBy string
	// refusals are the reasons for which attempts to take it up were refused.
	refusals []string
}

// add adds the events of one attempt at an entry node. isNewest reports whether the node ran the build
// under test when the attempt began.
func (s *callerStream) add(attempt string, read streamRead, entry *machine, isNewest bool) {
	before := len(s.versions)
	if read.events > 0 && s.resumes == "" {
		s.resumes = attempt
	}
	s.events += read.events
	for _, version := range read.versions {
		if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
			s.versions = append(s.versions, version)
		}
	}
	hasJoined := len(s.versions) > max(1, before)
	if hasJoined && isNewest && entry.runsNewest() && s.joinedBy == "" {
		s.joinedBy = entry.name
	}
}

// takeUp takes a broken stream up again at random entry nodes until it is complete, its time is over, or
// it is refused for good.
func (c *callers) takeUp(ctx context.Context, stream *callerStream, call standin.Call, random *rand.Rand) (Outcome, string) {
	outcome, detail := Cut, "not taken up again"
	for attempt := 1; attempt <= maximumTakeUps && ctx.Err() == nil; attempt++ {
		if !pause.For(ctx, takeUpInterval) {
			break
		}
		entry := c.entries[random.IntN(len(c.entries))]
		again := call
		again.ID = fmt.Sprintf("%s-%d", call.ID, attempt)
		again.LastEvent, again.Resumes = stream.events, stream.resumes
		stream.entries = append(stream.entries, entry.name)
		isServing := stream.resumes == "" || c.fleet.countModelEngines(stream.versions[0]) >= 2
		isNewest := entry.runsNewest()
		var received sent
		outcome, detail, received = c.sendBody(ctx, Resumable, entry, again, "body of "+call.ID)
		if stream.resumes != "" && isServing && received.status != 0 {
			if !stream.isTakenUp {
				stream.isTakenUp, stream.takenUpAt = true, time.Since(c.startedAt)
			}
			stream.wentOn = stream.wentOn || received.read.events > 0
		}
		stream.add(again.ID, received.read, entry, isNewest)
		switch {
		case outcome == Complete || outcome == Wrong:
			return outcome, detail
		case outcome == NotRun:
			stream.refusals = append(stream.refusals, received.reason)
			if received.retryAfter == "" {
				return outcome, detail
			}
			seconds, _ := strconv.ParseFloat(received.retryAfter, 64)
			pause.For(ctx, time.Duration(seconds*float64(time.Second)))
		}
	}
	return outcome, detail
}

// checkStreams checks that no stream holds events of two versions, and that streams that are taken up
// again go on. Nodes of an earlier build join versions, which is only counted.
func (r *run) checkStreams() {
	counts, reasons := map[string]int{}, map[string]int{}
	versions := map[string]bool{}
	for _, stream := range r.callers.snapshotStreams() {
		counts["began"]++
		for _, version := range stream.versions {
			versions[version] = true
		}
		if stream.isTakenUp {
			counts["taken up"]++
		}
		if stream.wentOn {
			counts["went on"]++
		}
		if stream.isTakenUp && !r.wasUnstable(stream.takenUpAt) {
			counts["in touch"]++
			if stream.wentOn {
				counts["in touch, went on"]++
			}
		}
		for _, reason := range stream.refusals {
			reasons[reason]++
		}
		if len(stream.versions) > 1 {
			counts["joined"]++
			if stream.joinedBy != "" {
				counts["joined by the newest build"]++
			}
			if !r.isUpgraded || stream.joinedBy != "" {
				r.violationf("stream %s at %s holds events of versions %s", stream.id, strings.Join(stream.entries, ", "), strings.Join(stream.versions, ", "))
			}
		}
	}
	r.reportf("streams: %v of %d versions; refused: %v", counts, len(versions), reasons)
	r.streamCounts, r.streamVersionCount = counts, len(versions)
	takenUp, wentOn, begun := counts["in touch"], counts["in touch, went on"], r.callers.shareBegun()
	if takenUp >= minimumTakenUp && float64(wentOn) < minimumWentOnShare*begun*float64(takenUp) && !r.isUpgraded {
		r.violationf("%d of %d streams that were taken up again went on, while %.2f of the new ones began", wentOn, takenUp, begun)
	}
}

// snapshotStreams returns the resumable streams that have ended so far.
func (c *callers) snapshotStreams() []*callerStream {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]*callerStream(nil), c.streams...)
}

// shareBegun returns the share of the resumable streams of which the callers got an event at the first
// attempt.
func (c *callers) shareBegun() float64 {
	streams := c.snapshotStreams()
	begun := 0
	for _, stream := range streams {
		if stream.resumes == stream.id {
			begun++
		}
	}
	return float64(begun) / float64(max(1, len(streams)))
}
