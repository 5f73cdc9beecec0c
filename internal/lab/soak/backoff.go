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
	// backoffRandomStream is the second seed of the random numbers for pauses and for engines that
	// announce a shutdown.
	backoffRandomStream = 4100
	// Some engines reject all requests for minimumRejectTime to maximumRejectTime. Then no engine
	// does so for up to maximumRejectInterval.
	minimumRejectTime, maximumRejectTime = 400 * time.Millisecond, 2500 * time.Millisecond
	maximumRejectInterval                = 2 * time.Second
	// minimumPause and maximumPause bound the pause that engines request while they reject.
	minimumPause, maximumPause = 600 * time.Millisecond, 4 * time.Second
	// Each time before engines reject requests, an engine announces its shutdown with a probability
	// of 1/shutdownOneIn. It continues to serve for minimumShutdownTime to maximumShutdownTime, and
	// is then replaced.
	shutdownOneIn                            = 4
	minimumShutdownTime, maximumShutdownTime = 2500 * time.Millisecond, 5 * time.Second
	// One in unknownHeaderOneIn responses, on average, carries a header that nodes don't know.
	unknownHeaderOneIn = 50
)

// backoffRecord holds what one incarnation of an engine requested of its senders, and which
// requests it received.
type backoffRecord struct {
	// pause is the requested pause while the engine rejects all requests; 0 if it accepts them.
	pause          time.Duration
	isShuttingDown bool
	// senders holds the pauses requested of each sender and the requests received from it.
	senders map[string]*pausecheck.Record
}

func (b *backoffRecord) senderRecord(sender string) *pausecheck.Record {
	if b.senders[sender] == nil {
		if b.senders == nil {
			b.senders = map[string]*pausecheck.Record{}
		}
		b.senders[sender] = &pausecheck.Record{}
	}
	return b.senders[sender]
}

// senders maps the id of a request to the machine of the entry node that sends it. The sender is
// the node's incarnation there. A process that was suspended counts as another sender afterwards,
// because it can't know of the pauses that were requested before.
type senders struct {
	mutex    sync.Mutex
	machines map[string]*machine
}

// record records the entry node that a request is sent to.
func (s *senders) record(request string, entry *machine) {
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

// recordAndReject records a request, writes the engine's signals into the response header, and
// reports whether the engine rejects the request.
func (e *engine) recordAndReject(header http.Header, request string) bool {
	sender := e.truth.senders.of(request)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now, record := time.Since(e.limit.startedAt), e.backoff.senderRecord(sender)
	record.AddArrival(now)
	add := func(more http.Header) {
		for name, values := range more {
			header[name] = values
		}
	}
	if rand.IntN(unknownHeaderOneIn) == 0 {
		add(http.Header{"Server-Strange": {"1"}})
	}
	if e.backoff.isShuttingDown {
		add(e.wire.LeavingHeader())
		record.AddShutdown(now)
	}
	if e.backoff.pause == 0 {
		return false
	}
	add(e.wire.PauseHeader(e.backoff.pause))
	record.AddPause(now, e.backoff.pause)
	return true
}

// setPause makes the engine reject all requests and request a pause; 0 ends that.
func (e *engine) setPause(pause time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.backoff.pause = pause
}

// announceShutdown makes the engine announce its shutdown in its responses. Its heartbeats are
// unchanged.
func (e *engine) announceShutdown() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.backoff.isShuttingDown = true
}

// disturbEngines makes engines request pauses, several at the same time, and announce shutdowns,
// while faults are injected.
func (r *run) disturbEngines(ctx, faultContext context.Context, random *rand.Rand) {
	var shuttingDown sync.WaitGroup
	defer shuttingDown.Wait()
	for faultContext.Err() == nil {
		pause.For(faultContext, time.Duration(random.Int64N(int64(maximumRejectInterval))))
		if random.IntN(shutdownOneIn) == 0 {
			place, lasts := random.IntN(firstNewPlace), randomDuration(random, minimumShutdownTime, maximumShutdownTime)
			shuttingDown.Go(func() { r.shutDownEngine(ctx, place, lasts) })
		}
		rejecting := r.fleet.drawEngines(random)
		for _, one := range rejecting {
			requested := randomDuration(random, minimumPause, maximumPause)
			r.reportf("engine %s rejects all requests and requests a pause of %d ms", one.ID, requested.Milliseconds())
			one.setPause(requested)
		}
		pause.For(faultContext, randomDuration(random, minimumRejectTime, maximumRejectTime))
		for _, one := range rejecting {
			one.setPause(0)
		}
	}
}

func randomDuration(random *rand.Rand, minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(random.Int64N(int64(maximum-minimum)))
}

// shutDownEngine makes an engine announce its shutdown, and replaces it later.
func (r *run) shutDownEngine(ctx context.Context, place int, lasts time.Duration) {
	r.fleet.mutex.Lock()
	one := r.fleet.engines[placeName(place)]
	r.fleet.mutex.Unlock()
	if one == nil {
		return
	}
	r.reportf("engine %s announces its shutdown, replaced after %d ms", one.ID, lasts.Milliseconds())
	one.announceShutdown()
	pause.For(ctx, lasts)
	r.fleet.mutex.Lock()
	isCurrent := r.fleet.engines[placeName(place)] == one
	r.fleet.mutex.Unlock()
	if isCurrent {
		r.replaceEngine(ctx, place, shortestFault, true)
	}
}

// checkBackoff compares the requests that engines received with the pauses that they requested.
func (r *run) checkBackoff() {
	r.fleet.mutex.Lock()
	incarnations := slices.Clone(r.fleet.allIncarnations)
	r.fleet.mutex.Unlock()
	pauses, worst, announced, late := 0, 0, 0, 0
	for _, one := range incarnations {
		one.mutex.Lock()
		for sender, record := range one.backoff.senders {
			maximum := record.MaximumRequests()
			pauses, worst = pauses+record.PauseCount(), max(worst, maximum)
			if maximum > 0 {
				r.reportf("engine %s got requests from %s in a pause, %v after it had requested it", one.ID, sender, record.Offsets())
			}
			if maximum > pausecheck.MaximumInPause {
				r.violationf("engine %s got %d requests from %s in a pause, allowed %d", one.ID, maximum, sender, pausecheck.MaximumInPause)
			}
			after, wasAnnounced := record.AfterShutdown()
			if wasAnnounced {
				announced++
			}
			if late += after; after > 0 {
				r.violationf("engine %s got %d requests from %s after it had announced its shutdown", one.ID, after, sender)
			}
		}
		one.mutex.Unlock()
	}
	r.reportf("%d pauses requested, at most %d requests from a node in one, allowed %d; %d times a node received the announcement of a shutdown, %d requests came later than %s after it",
		pauses, worst, pausecheck.MaximumInPause, announced, late, pausecheck.DrainTime)
}
