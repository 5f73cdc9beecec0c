package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Standing is how a request stands.
type Standing uint8

const (
	// Unknown: nothing is held against it.
	Unknown Standing = iota
	// Known: it was at the end of an engine.
	Known
	// Suspected: it may be why several ended.
	Suspected
	// Quarantined: it must reach no further engine.
	Quarantined
)

// View is what a Tracker says of each request, to be read by many at once.
type View struct {
	byScope map[uint64][]standingOf
}

type standingOf struct {
	Fingerprint
	standing Standing
}

// View returns the tracker's word on each request that it holds something against.
func (t *Tracker) View() *View {
	view := &View{byScope: map[uint64][]standingOf{}}
	for _, one := range t.suspects {
		if len(one.ends) > 0 {
			view.byScope[one.Scope] = append(view.byScope[one.Scope], standingOf{one.Fingerprint, one.standing()})
		}
	}
	return view
}

func (s *suspect) standing() Standing {
	switch {
	case s.isQuarantined:
		return Quarantined
	case s.counted >= suspectEnds:
		return Suspected
	}
	return Known
}

// Request is a request as a Guard is asked of it. Its body is hashed only if something
// is held against a request of the same scope and length.
type Request interface {
	Scope() uint64
	Body() []byte
}

// FingerprintOfRequest names a request.
func FingerprintOfRequest(request Request) Fingerprint {
	return FingerprintOf(request.Scope(), request.Body())
}

// Standing looks a request up.
func (v *View) Standing(request Request) Standing {
	if v == nil || len(v.byScope) == 0 {
		return Unknown
	}
	held := v.byScope[request.Scope()]
	hasLength := func(one standingOf) bool { return one.Length == uint64(len(request.Body())) }
	if !slices.ContainsFunc(held, hasLength) {
		return Unknown
	}
	fingerprint := FingerprintOfRequest(request)
	for _, one := range held {
		if one.Fingerprint == fingerprint {
			return one.standing
		}
	}
	return Unknown
}

// Sink takes what the requests' paths find out. It must not wait.
type Sink interface {
	// EnginesEnded takes evidence.
	EnginesEnded(evidence []Evidence)
	// RanToItsEnd clears a request.
	RanToItsEnd(fingerprint Fingerprint)
}

// completedKept is how many requests that ran to their end a Guard remembers at least,
// at some 60 bytes each: at 24 requests a second, those of the last minute.
const completedKept = 1500

// Guard stands between the paths of requests and a Tracker. It is safe for concurrent
// use.
type Guard struct {
	view atomic.Pointer[View]
	sink Sink

	mutex sync.Mutex
	// completed and completedBefore are requests that ran to their end here of late.
	completed, completedBefore map[Fingerprint]struct{}
}

// noSink drops what it takes.
type noSink struct{}

func (noSink) EnginesEnded([]Evidence) {}
func (noSink) RanToItsEnd(Fingerprint) {}

// NewGuard makes a guard that knows of nothing; a nil sink drops what it takes.
func NewGuard(sink Sink) *Guard {
	if sink == nil {
		sink = noSink{}
	}
	return &Guard{sink: sink, completed: map[Fingerprint]struct{}{}, completedBefore: map[Fingerprint]struct{}{}}
}

// SetView replaces what is known.
func (g *Guard) SetView(view *View) { g.view.Store(view) }

// Standing tells how a request stands.
func (g *Guard) Standing(request Request) Standing { return g.view.Load().Standing(request) }

// Completed notes that a request ran to its end at an engine.
func (g *Guard) Completed(request Request) {
	fingerprint := FingerprintOfRequest(request)
	g.mutex.Lock()
	g.completed[fingerprint] = struct{}{}
	if len(g.completed) >= completedKept {
		g.completed, g.completedBefore = map[Fingerprint]struct{}{}, g.completed
	}
	g.mutex.Unlock()
	if g.Standing(request) != Unknown {
		g.sink.RanToItsEnd(fingerprint)
	}
}

// Present is a run that was at an engine when that ended.
type Present struct {
	Fingerprint   Fingerprint
	Run           Run
	Route, Tenant string
}

// Ended takes the runs that were at an engine whose end is certain. Those of a request
// that ran to its end here of late are Excused: requests that many callers send alike are
// at the ends of many engines.
func (g *Guard) Ended(life registry.Incarnation, present []Present) {
	evidence := make([]Evidence, 0, len(present))
	for _, one := range present {
		suspicion := one.Run.Suspicion()
		if g.hasCompleted(one.Fingerprint) {
			suspicion = Excused
		}
		evidence = append(evidence, Evidence{Fingerprint: one.Fingerprint, Life: life, Suspicion: suspicion, Route: one.Route, Tenant: one.Tenant})
	}
	if len(evidence) > 0 {
		g.sink.EnginesEnded(evidence)
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
