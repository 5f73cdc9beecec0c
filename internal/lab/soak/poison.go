package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/ravenway/ravenway/internal/lab/standin"
	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// poisonBodyPrefix is the prefix of the bodies of poison requests, which crash each engine that
	// starts them.
	poisonBodyPrefix = "poison "
	// meanPoisonInterval is the mean time between two arrivals of the same request.
	meanPoisonInterval = 250 * time.Millisecond
	// An engine crashes this long after it started such a request, as in the incident that these
	// requests reproduce.
	minimumPoisonRun, maximumPoisonRun = 34 * time.Millisecond, 113 * time.Millisecond
	// The engine restarts after this time.
	minimumRestartDelay, maximumRestartDelay = 500 * time.Millisecond, 2 * time.Second
	// maximumPoisonCrashes is the maximum number of engines that one such request may crash in a
	// run: three, and some more on each side of a partition and while no node can receive the
	// others' crash reports. Without a quarantine a request crashes 20 and more engines in 20 s.
	maximumPoisonCrashes = 12
)

// poisonKinds are the routes on which poison requests arrive, one request each.
var poisonKinds = []Kind{Stream, Resumable}

// sendPoison sends the same poison request repeatedly, to random entry nodes, until the context
// ends.
func (c *callers) sendPoison(ctx context.Context, kind Kind, random *rand.Rand) {
	var entries []*machine
	for _, one := range c.fleet.members {
		if !one.isControl {
			entries = append(entries, one)
		}
	}
	for number := 0; ctx.Err() == nil; number++ {
		entry := entries[random.IntN(len(entries))]
		call := standin.Call{
			ID: fmt.Sprintf("%08x%08x", random.Uint32(), number), Key: keyPrefix + "tenant-0", MaximumWait: callTimeout, PromptParts: "part-0", TokensIn: 1, TokensOut: maximumOutputTokens,
		}
		c.running.Go(func() {
			_, _, _ = c.sendBody(context.WithoutCancel(ctx), kind, entry, call, poisonBodyPrefix+string(kind))
		})
		pause.For(ctx, time.Duration(random.Int64N(int64(2*meanPoisonInterval))))
	}
}

const (
	// crashingPartPrefix is the prefix of the ids of parts of prompts that crash engines. No two calls
	// with such a part are alike.
	crashingPartPrefix = "crashing-"
	// crashingPartTime is how long calls come with one crashing part, until another one takes its place.
	crashingPartTime = 6 * time.Second
	// meanCrashingPartInterval is the mean time between two such calls.
	meanCrashingPartInterval = 250 * time.Millisecond
	// maximumPartCrashes is the maximum number of engines that one such part may crash: five until it must
	// be known, and more as with maximumPoisonCrashes. Without a quarantine of parts it is above 20.
	maximumPartCrashes = 14
	// crashingPartRandomStream is the second seed of the random numbers for calls with crashing parts.
	crashingPartRandomStream = 1100
)

// crashCause returns what makes a request crash its engine: the kind of a poison request, or a part of its
// prompt; "" if it does not.
func crashCause(body string, request standin.EngineRequest) string {
	if kind, isPoison := strings.CutPrefix(body, poisonBodyPrefix); isPoison {
		return kind
	}
	return crashingPart.FindString(request.Prompt)
}

var crashingPart = regexp.MustCompile(crashingPartPrefix + "[0-9]+")

// sendCrashingParts sends calls with a part that crashes engines to random entry nodes until the context
// ends, each with another last part and body, with one part after the other.
func (c *callers) sendCrashingParts(ctx context.Context, random *rand.Rand) {
	startedAt := time.Now()
	for number := 0; ctx.Err() == nil; number++ {
		entry, kind := c.entries[random.IntN(len(c.entries))], poisonKinds[random.IntN(len(poisonKinds))]
		call := standin.Call{
			ID: fmt.Sprintf("%08x%08x", random.Uint32(), number), Key: keyPrefix + "tenant-0", MaximumWait: callTimeout, TokensIn: 1, TokensOut: maximumOutputTokens,
			PromptParts: fmt.Sprint("part-1,", crashingPartPrefix, int(time.Since(startedAt)/crashingPartTime)),
		}
		c.running.Go(func() {
			_, _, _ = c.sendBody(context.WithoutCancel(ctx), kind, entry, call, "body of "+call.ID)
		})
		pause.For(ctx, time.Duration(random.Int64N(int64(2*meanCrashingPartInterval))))
	}
}

// crashByPoison crashes an engine because of a request that it has started, and restarts it later,
// under its id or under a new one.
func (f *fleet) crashByPoison(ended *engine, place int, cause string) {
	name := placeName(place)
	f.mutex.Lock()
	isCurrent := f.engines[name] == ended
	if isCurrent {
		delete(f.engines, name)
	}
	down := minimumRestartDelay + time.Duration(f.random.Int64N(int64(maximumRestartDelay-minimumRestartDelay)))
	keepsID := f.random.IntN(2) == 0
	f.mutex.Unlock()
	if !isCurrent {
		return
	}
	f.truth.recordPoisonCrash(cause)
	f.recordCrash(down)
	ended.crash()
	time.AfterFunc(down, func() {
		id := ""
		if keepsID {
			id = ended.ID
		}
		if err := f.addEngine(ended.Service, place, id); err != nil {
			f.recordError(err)
		}
	})
}

// recordCrash records the span of an engine's crash, which cuts all requests in flight there, as a
// crash by an injected fault does.
func (f *fleet) recordCrash(down time.Duration) {
	from := time.Since(f.startedAt)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.crashSpans = append(f.crashSpans, span{from: from, until: from + down + disruptionMargin})
}

// copyCrashSpans returns the spans of the engines' crashes.
func (f *fleet) copyCrashSpans() []span {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.crashSpans)
}

// recordQuarantineStart records that all nodes run a build with a quarantine from now on. Crashes
// from before don't count.
func (r *run) recordQuarantineStart() {
	for _, kind := range poisonKinds {
		r.crashesBeforeQuarantine[kind] = r.fleet.truth.PoisonCrashes(string(kind))
	}
}

// checkPoison compares the number of engines that each request crashed with the bound.
func (r *run) checkPoison() {
	for _, kind := range poisonKinds {
		crashes := r.fleet.truth.PoisonCrashes(string(kind)) - r.crashesBeforeQuarantine[kind]
		r.reportf("%d engines crashed by the %s request, %d more before all nodes had a quarantine", crashes, kind, r.crashesBeforeQuarantine[kind])
		if crashes > maximumPoisonCrashes {
			r.violationf("%d engines crashed by one request (%s), allowed %d", crashes, kind, maximumPoisonCrashes)
		}
	}
	r.checkCrashingParts()
}

// checkCrashingParts compares the number of engines that each crashing part crashed with the bound. During
// an upgrade some nodes have a build that knows no parts.
func (r *run) checkCrashingParts() {
	counts := r.fleet.truth.partCrashes()
	r.reportf("engines crashed by parts of prompts: %v", counts)
	for part, crashes := range counts {
		if crashes > maximumPartCrashes && !r.isUpgraded {
			r.violationf("%d engines crashed by one part of prompts (%s), allowed %d", crashes, part, maximumPartCrashes)
		}
	}
}

// partCrashes returns the number of engines that each crashing part crashed.
func (t *GroundTruth) partCrashes() map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := maps.Clone(t.poisonCrashes)
	maps.DeleteFunc(counts, func(cause string, _ int) bool { return !strings.HasPrefix(cause, crashingPartPrefix) })
	return counts
}
