package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
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
			ID: fmt.Sprintf("%08x%08x", random.Uint32(), number), Key: keyPrefix + "tenant-0", MaximumWait: callTimeout, PromptPart: "part-0", TokensIn: 1, TokensOut: maximumOutputTokens,
		}
		c.running.Go(func() {
			_, _, _ = c.sendBody(context.WithoutCancel(ctx), kind, entry, call, poisonBodyPrefix+string(kind))
		})
		pause.For(ctx, time.Duration(random.Int64N(int64(2*meanPoisonInterval))))
	}
}

// crashByPoison crashes an engine because of a request that it has started, and restarts it later,
// under its id or under a new one.
func (f *fleet) crashByPoison(ended *engine, place int, body string) {
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
	f.truth.recordPoisonCrash(strings.TrimPrefix(body, poisonBodyPrefix))
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
}
