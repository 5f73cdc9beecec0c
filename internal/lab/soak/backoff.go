package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/lab/pausecheck"
	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// backoffStream numbers the random stream of pauses and of engines that announce a shutdown.
	backoffStream = 4100
	// Engines reject all requests for a while, with a break of up to shedPause between two such times.
	shedLeast, shedMost = 400 * time.Millisecond, 2500 * time.Millisecond
	shedPause           = 2 * time.Second
	// pauseLeast and pauseMost bound the pause that engines request while they reject.
	pauseLeast, pauseMost = 600 * time.Millisecond, 4 * time.Second
	// One time in leaveOneIn an engine announces a shutdown, continues to serve for a while, and
	// is replaced.
	leaveOneIn            = 4
	leaveLeast, leaveMost = 2500 * time.Millisecond, 5 * time.Second
	// strangeOneIn is the rate of responses with an unknown header: one in so many.
	strangeOneIn = 50
)

// backoffRecord holds what one incarnation of an engine requested of its senders, and which
// requests it received.
type backoffRecord struct {
	// pause is the requested pause while the engine rejects all requests; 0 if it accepts them.
	pause     time.Duration
	isLeaving bool
	senders   map[string]*pausecheck.Record
}

func (b *backoffRecord) of(sender string) *pausecheck.Record {
	if b.senders[sender] == nil {
		if b.senders == nil {
			b.senders = map[string]*pausecheck.Record{}
		}
		b.senders[sender] = &pausecheck.Record{}
	}
	return b.senders[sender]
}

// senders maps a request to the incarnation of the entry node that sends it. A process that was
// suspended counts as another sender afterwards, because it can't know of pauses from before.
type senders struct {
	mutex    sync.Mutex
	machines map[string]*machine
}

// note records the entry node that a request is sent to.
func (s *senders) note(request string, entry *machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines[request] = entry
}

func (s *senders) of(request string) string {
	s.mutex.Lock()
	entry := s.machines[request]
	s.mutex.Unlock()
	if entry == nil {
		return "unknown"
	}
	return fmt.Sprintf("%s/%d", entry.name, entry.epoch.Load())
}

// refuses records a request, writes the engine's signals into the response header, and reports
// whether the engine rejects the request.
func (e *engine) refuses(header http.Header, request string) bool {
	sender := e.truth.senders.of(request)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now, record := time.Since(e.limit.began), e.backoff.of(sender)
	record.Arrive(now)
	add := func(more http.Header) {
		for name, values := range more {
			header[name] = values
		}
	}
	if rand.IntN(strangeOneIn) == 0 {
		add(http.Header{"Server-Strange": {"1"}})
	}
	if e.backoff.isLeaving {
		add(e.wire.LeavingHeader())
		record.Leave(now)
	}
	if e.backoff.pause == 0 {
		return false
	}
	add(e.wire.PauseHeader(e.backoff.pause))
	record.Ask(now, e.backoff.pause)
	return true
}

// shed makes the engine reject all requests and request a pause; 0 ends that.
func (e *engine) shed(pause time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.backoff.pause = pause
}

// leave makes the engine announce its shutdown in its responses. Its heartbeats are unchanged.
func (e *engine) leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.backoff.isLeaving = true
}

// disturbEngines makes engines request pauses, several at the same time, while faults are injected.
func (r *run) disturbEngines(ctx, faulty context.Context, random *rand.Rand) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for faulty.Err() == nil {
		pause.For(faulty, time.Duration(random.Int64N(int64(shedPause))))
		if random.IntN(leaveOneIn) == 0 {
			place, lasts := random.IntN(firstNewPlace), between(random, leaveLeast, leaveMost)
			leaving.Go(func() { r.leaveEngine(ctx, place, lasts) })
		}
		shedding := r.fleet.drawEngines(random)
		for _, one := range shedding {
			asked := between(random, pauseLeast, pauseMost)
			r.note("engine %s rejects all requests and requests a pause of %d ms", one.ID, asked.Milliseconds())
			one.shed(asked)
		}
		pause.For(faulty, between(random, shedLeast, shedMost))
		for _, one := range shedding {
			one.shed(0)
		}
	}
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// leaveEngine makes an engine announce its shutdown, and replaces it later.
func (r *run) leaveEngine(ctx context.Context, place int, lasts time.Duration) {
	r.fleet.mutex.Lock()
	one := r.fleet.engines[placeName(place)]
	r.fleet.mutex.Unlock()
	if one == nil {
		return
	}
	r.note("engine %s announces its shutdown, replaced after %d ms", one.ID, lasts.Milliseconds())
	one.leave()
	pause.For(ctx, lasts)
	r.fleet.mutex.Lock()
	isStill := r.fleet.engines[placeName(place)] == one
	r.fleet.mutex.Unlock()
	if isStill {
		r.replaceEngine(ctx, place, shortestFault, true)
	}
}

// checkBackoff compares the requests that engines received with the pauses that they requested.
func (r *run) checkBackoff() {
	r.fleet.mutex.Lock()
	lives := slices.Clone(r.fleet.everyLife)
	r.fleet.mutex.Unlock()
	pauses, worst, told, late := 0, 0, 0, 0
	for _, one := range lives {
		one.mutex.Lock()
		for sender, record := range one.backoff.senders {
			most := record.Most()
			pauses, worst = pauses+record.Pauses(), max(worst, most)
			if most > 0 {
				r.note("engine %s got requests of %s in a pause, %v after it had requested it", one.ID, sender, record.Offsets())
			}
			if most > pausecheck.Allowed {
				r.breaks("engine %s got %d requests of %s in a pause, allowed %d", one.ID, most, sender, pausecheck.Allowed)
			}
			after, wasTold := record.AfterLeaving()
			if wasTold {
				told++
			}
			if late += after; after > 0 {
				r.breaks("engine %s got %d requests of %s after it had announced its shutdown", one.ID, after, sender)
			}
		}
		one.mutex.Unlock()
	}
	r.note("%d pauses requested, at most %d requests of a node in one, allowed %d; %d times a node received the announcement of a shutdown, %d requests came later than %s after it",
		pauses, worst, pausecheck.Allowed, told, late, pausecheck.Drain)
}
