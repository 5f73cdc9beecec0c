package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Standing is the quarantine status of a request.
type Standing uint8

const (
	// Unknown: no crash is recorded against it.
	Unknown Standing = iota
	// Known: it was in flight when an engine crashed.
	Known
	// Suspected: it may have caused several crashes.
	Suspected
	// Quarantined: it must not be sent to any further engine.
	Quarantined
)

// View is an immutable snapshot of the status of each request in a Tracker, for concurrent
// readers.
type View struct {
	byScope map[uint64][]requestStatus
}

type requestStatus struct {
	Fingerprint
	status Standing
}

// View returns the status of each request against which crashes are recorded.
func (t *Tracker) View() *View {
	view := &View{byScope: map[uint64][]requestStatus{}}
	for _, one := range t.suspects {
		if len(one.crashes) > 0 {
			view.byScope[one.Scope] = append(view.byScope[one.Scope], requestStatus{one.Fingerprint, one.status()})
		}
	}
	return view
}

func (s *suspect) status() Standing {
	switch {
	case s.isQuarantined:
		return Quarantined
	case s.counted >= suspectCrashes:
		return Suspected
	}
	return Known
}

// Request is a request whose status a Guard looks up. Its body is hashed only if crashes are
// recorded against a request of the same scope and length.
type Request interface {
	Scope() uint64
	Body() []byte
}

// FingerprintOfRequest returns the fingerprint of a request.
func FingerprintOfRequest(request Request) Fingerprint {
	return FingerprintOf(request.Scope(), request.Body())
}

// Standing returns the status of a request.
func (v *View) Standing(request Request) Standing {
	if v == nil || len(v.byScope) == 0 {
		return Unknown
	}
	known := v.byScope[request.Scope()]
	hasLength := func(one requestStatus) bool { return one.Length == uint64(len(request.Body())) }
	if !slices.ContainsFunc(known, hasLength) {
		return Unknown
	}
	fingerprint := FingerprintOfRequest(request)
	for _, one := range known {
		if one.Fingerprint == fingerprint {
			return one.status
		}
	}
	return Unknown
}

// Sink receives the reports of the request paths. Its methods must not block.
type Sink interface {
	// EnginesEnded receives reports of runs that were in flight when an engine crashed.
	EnginesEnded(reports []Evidence)
	// RanToItsEnd receives a request that ran to completion, which clears it.
	RanToItsEnd(fingerprint Fingerprint)
}

// minimumCompleted is the minimum number of completed requests that a Guard remembers once so many
// have completed, at some 60 bytes each. At 24 requests per second these are the requests of
// the last minute.
const minimumCompleted = 1500

// Guard connects the request paths with a Tracker. It is safe for concurrent use.
type Guard struct {
	view atomic.Pointer[View]
	sink Sink

	mutex sync.Mutex
	// completed and completedBefore are the requests that recently ran to completion here, in
	// two generations.
	completed, completedBefore map[Fingerprint]struct{}
}

// noSink drops all reports.
type noSink struct{}

func (noSink) EnginesEnded([]Evidence) {}
func (noSink) RanToItsEnd(Fingerprint) {}

// NewGuard returns a guard without a view. With a nil sink it drops its reports.
func NewGuard(sink Sink) *Guard {
	if sink == nil {
		sink = noSink{}
	}
	return &Guard{sink: sink, completed: map[Fingerprint]struct{}{}, completedBefore: map[Fingerprint]struct{}{}}
}

// SetView replaces the view in which requests are looked up.
func (g *Guard) SetView(view *View) { g.view.Store(view) }

// Standing returns the status of a request in the current view.
func (g *Guard) Standing(request Request) Standing { return g.view.Load().Standing(request) }

// Completed records that a request ran to completion at an engine.
func (g *Guard) Completed(request Request) {
	fingerprint := FingerprintOfRequest(request)
	g.mutex.Lock()
	g.completed[fingerprint] = struct{}{}
	if len(g.completed) >= minimumCompleted {
		g.completed, g.completedBefore = map[Fingerprint]struct{}{}, g.completed
	}
	g.mutex.Unlock()
	if g.Standing(request) != Unknown {
		g.sink.RanToItsEnd(fingerprint)
	}
}

// Present is a run that was in flight at an engine when the engine crashed.
type Present struct {
	Fingerprint   Fingerprint
	Run           Run
	Route, Tenant string
}

// Ended reports the runs that were in flight at an engine that has certainly crashed. Those of a
// request that recently ran to completion here are Excused: identical requests that many
// callers send are in flight at the crashes of many engines.
func (g *Guard) Ended(incarnation registry.Life, present []Present) {
	reports := make([]Evidence, 0, len(present))
	for _, one := range present {
		suspicion := one.Run.Suspicion()
		if g.hasCompleted(one.Fingerprint) {
			suspicion = Excused
		}
		reports = append(reports, Evidence{Fingerprint: one.Fingerprint, Life: incarnation, Suspicion: suspicion, Route: one.Route, Tenant: one.Tenant})
	}
	if len(reports) > 0 {
		g.sink.EnginesEnded(reports)
	}
}

func (g *Guard) hasCompleted(fingerprint Fingerprint) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, found := g.completed[fingerprint]
	if !found {
		_, found = g.completedBefore[fingerprint]
	}
	return found
}
