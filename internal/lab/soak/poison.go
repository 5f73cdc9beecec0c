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
	// poisonBody begins the bodies of requests that end each engine that begins them.
	poisonBody = "poison "
	// poisonPause is the mean time between two comings of one.
	poisonPause = 250 * time.Millisecond
	// An engine ends this long after it began such a request, as in the incident.
	poisonLeast, poisonMost = 34 * time.Millisecond, 113 * time.Millisecond
	// It is back after a time.
	restartLeast, restartMost = 500 * time.Millisecond, 2 * time.Second
	// mostPoisonEnds is how many engines one such request may end in a run: three, some
	// more on each side of a cut and while no node can hear of the others' ends. Without
	// a quarantine it ends 20 and more in 20 s.
	mostPoisonEnds = 12
)

// poisonKinds are the routes on which such requests come, one request each.
var poisonKinds = []Kind{Stream, Resumable}

// sendPoison brings one request that ends engines again and again, at drawn entry nodes,
// until the context ends.
func (c *callers) sendPoison(ctx context.Context, kind Kind, random *rand.Rand) {
	var entries []*machine
	for _, one := range c.fleet.members {
		if !one.control {
			entries = append(entries, one)
		}
	}
	for number := 0; ctx.Err() == nil; number++ {
		entry := entries[random.IntN(len(entries))]
		call := standin.Call{
			ID: fmt.Sprintf("%08x%08x", random.Uint32(), number), Key: keyPrefix + "tenant-0", Wait: callTimeout, Part: "part-0", TokensIn: 1, TokensOut: mostOut,
		}
		c.running.Go(func() { _, _ = c.sendBody(context.WithoutCancel(ctx), kind, entry, call, poisonBody+string(kind)) })
		pause.For(ctx, time.Duration(random.Int64N(int64(2*poisonPause))))
	}
}

// endBy ends an engine by a request that it has begun, and starts it again later, under
// its id or as another one.
func (f *fleet) endBy(ended *engine, place int, body string) {
	name := placeName(place)
	f.mutex.Lock()
	isCurrent := f.engines[name] == ended
	if isCurrent {
		delete(f.engines, name)
	}
	down := restartLeast + time.Duration(f.random.Int64N(int64(restartMost-restartLeast)))
	keepsID := f.random.IntN(2) == 0
	f.mutex.Unlock()
	if !isCurrent {
		return
	}
	f.truth.endedBy(strings.TrimPrefix(body, poisonBody))
	f.noteEnd(down)
	ended.crash()
	time.AfterFunc(down, func() {
		id := ""
		if keepsID {
			id = ended.ID
		}
		if err := f.addEngine(ended.Service, place, id); err != nil {
			f.fail(err)
		}
	})
}

// noteEnd notes the span of an engine's end: it cuts whatever runs there, as the end of
// one by a fault does.
func (f *fleet) noteEnd(down time.Duration) {
	from := time.Since(f.began)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rough = append(f.rough, span{from: from, until: from + down + roughMargin})
}

// roughSpans are the spans of the engines' ends.
func (f *fleet) roughSpans() []span {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.rough)
}

// noteQuarantine notes that all nodes have a build with a quarantine from now on.
func (r *run) noteQuarantine() {
	for _, kind := range poisonKinds {
		r.endsBeforeQuarantine[kind] = r.fleet.truth.PoisonEnds(string(kind))
	}
}

// checkPoison holds how many engines ended by each request against the bound.
func (r *run) checkPoison() {
	for _, kind := range poisonKinds {
		ends := r.fleet.truth.PoisonEnds(string(kind)) - r.endsBeforeQuarantine[kind]
		r.note("%d engines ended by the %s request, %d more before nodes had a quarantine", ends, kind, r.endsBeforeQuarantine[kind])
		if ends > mostPoisonEnds {
			r.breaks("%d engines ended by one request (%s), at most %d may", ends, kind, mostPoisonEnds)
		}
	}
}
