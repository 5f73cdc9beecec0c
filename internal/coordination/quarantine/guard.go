package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Status is the quarantine status of a request.
type Status uint8

const (
	// Unknown: no crash is recorded against it.
	Unknown Status = iota
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
	// parts holds the status of each part of prompts against which crashes are recorded.
	parts map[Fingerprint]Status
	// clearings holds how often each part was cleared, without those that never were.
	clearings map[Fingerprint]uint32
	// provenParts are the hashes of the IDs of the parts in quarantine, whichever caller's they are.
	provenParts map[uint64]bool
}

type requestStatus struct {
	Fingerprint
	status Status
}

// View returns the status of each request against which crashes are recorded.
func (t *Tracker) View() *View {
	view := &View{byScope: map[uint64][]requestStatus{}, parts: map[Fingerprint]Status{}, provenParts: map[uint64]bool{}, clearings: map[Fingerprint]uint32{}}
	for _, one := range t.suspects {
		if one.IsPart() && one.generation > 0 {
			view.clearings[one.Fingerprint] = one.generation
		}
		switch {
		case len(one.crashes) == 0:
		case one.IsPart():
			view.parts[one.Fingerprint] = one.status()
			if one.isQuarantined {
				view.provenParts[one.Body] = true
			}
		default:
			view.byScope[one.Scope] = append(view.byScope[one.Scope], requestStatus{one.Fingerprint, one.status()})
		}
	}
	return view
}

func (s *suspect) status() Status {
	switch {
	case s.isQuarantined:
		return Quarantined
	case s.counted >= suspectCrashes, s.IsPart() && len(s.crashes) >= suspectCrashes:
		return Suspected
	}
	return Known
}

// Request is a request whose status a Guard looks up. Its body is hashed only if crashes are
// recorded against a request of the same scope and length.
type Request interface {
	Scope() uint64
	Body() []byte
	// Parts are the parts of the request's prompt that other requests may share, in order.
	Parts() []Part
}

// Part is a part of a request's prompt.
type Part struct {
	Fingerprint
	ID string
}

// FingerprintOfRequest returns the fingerprint of a request.
func FingerprintOfRequest(request Request) Fingerprint {
	return FingerprintOf(request.Scope(), request.Body())
}

// Status returns the status of a request: its own, or that of the worst part of its prompt.
func (v *View) Status(request Request) Status {
	if v == nil {
		return Unknown
	}
	status := v.requestStatus(request)
	if len(v.parts) == 0 {
		return status
	}
	for _, part := range request.Parts() {
		status = max(status, v.partStatus(part.Fingerprint))
	}
	return status
}

// partStatus returns the status of a part. One that is in quarantine for another caller is Suspected.
func (v *View) partStatus(part Fingerprint) Status {
	status := v.parts[part]
	if status < Suspected && v.provenParts[part.Body] {
		return Suspected
	}
	return status
}

func (v *View) requestStatus(request Request) Status {
	if len(v.byScope) == 0 {
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
	// EnginesCrashed receives reports of runs that were in flight when an engine crashed.
	EnginesCrashed(reports []CrashReport)
	// RequestCompleted receives a request that ran to completion, which clears it.
	RequestCompleted(fingerprint Fingerprint)
	// PartWritten receives a part on which an engine wrote a response, which clears it.
	PartWritten(fingerprint Fingerprint)
}

// minimumCompleted is the minimum number of the latest completed requests that a Guard remembers, at
// some 60 bytes each; it remembers fewer than twice as many. At 24 requests per second these are the
// requests of the last minute.
const minimumCompleted = 1500

// Guard connects the request paths with a Tracker. It is safe for concurrent use.
type Guard struct {
	view atomic.Pointer[View]
	sink Sink

	mutex sync.Mutex
	// completed and completedBefore are the requests that recently ran to completion here.
	// completed replaces completedBefore when it holds minimumCompleted requests.
	completed, completedBefore map[Fingerprint]struct{}
	// written are the parts on which engines recently wrote responses.
	written writtenParts
}

// noSink drops all reports.
type noSink struct{}

func (noSink) EnginesCrashed([]CrashReport) {}
func (noSink) RequestCompleted(Fingerprint) {}
func (noSink) PartWritten(Fingerprint)      {}

// NewGuard returns a guard without a view. With a nil sink it drops its reports.
func NewGuard(sink Sink) *Guard {
	if sink == nil {
		sink = noSink{}
	}
	return &Guard{sink: sink, completed: map[Fingerprint]struct{}{}, completedBefore: map[Fingerprint]struct{}{}}
}

// SetView replaces the view in which requests are looked up. Parts in it on which engines wrote responses
// at this node are cleared.
func (g *Guard) SetView(now time.Duration, view *View) {
	g.view.Store(view)
	for _, fingerprint := range g.takeWritten(now, view) {
		g.sink.PartWritten(fingerprint)
	}
}

// Status returns the status of a request in the current view.
func (g *Guard) Status(request Request) Status { return g.view.Load().Status(request) }

// Completed records that a request ran to completion at an engine.
func (g *Guard) Completed(request Request) {
	fingerprint := FingerprintOfRequest(request)
	g.mutex.Lock()
	g.completed[fingerprint] = struct{}{}
	if len(g.completed) >= minimumCompleted {
		g.completed, g.completedBefore = map[Fingerprint]struct{}{}, g.completed
	}
	g.mutex.Unlock()
	if g.view.Load().isRecorded(request) {
		g.sink.RequestCompleted(fingerprint)
	}
}

// isRecorded reports whether crashes are recorded against the request itself.
func (v *View) isRecorded(request Request) bool {
	return v != nil && v.requestStatus(request) != Unknown
}

// InFlightRun is a run that was in flight at an engine when the engine crashed.
type InFlightRun struct {
	Fingerprint   Fingerprint
	Run           Run
	Route, Tenant string
	// Parts are the parts of the request's prompt. They are left out if the engine had begun to write the
	// response.
	Parts []Part
}

// ReportCrash reports the runs that were in flight at an engine that has certainly crashed. Those
// of a request that recently ran to completion here are Excused: identical requests that many
// callers send are in flight at the crashes of many engines.
func (g *Guard) ReportCrash(now time.Duration, incarnation registry.Incarnation, runs []InFlightRun) {
	reports := make([]CrashReport, 0, len(runs))
	for _, one := range runs {
		suspicion := one.Run.Suspicion()
		if g.hasCompleted(one.Fingerprint) {
			suspicion = Excused
		}
		reports = append(reports, CrashReport{Fingerprint: one.Fingerprint, Incarnation: incarnation, Suspicion: suspicion, Route: one.Route, Tenant: one.Tenant})
		reports = append(reports, g.partReports(now, incarnation, one)...)
	}
	if len(reports) > 0 {
		g.sink.EnginesCrashed(reports)
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
