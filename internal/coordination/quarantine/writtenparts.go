package quarantine

import (
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// recentlyWritten is how long a response that an engine wrote on a part speaks for the part whenever an
	// engine crashes. An older one speaks for it once, until the part is cleared anywhere: engines of a new
	// version may crash on a part that earlier ones did not.
	recentlyWritten = 2 * time.Second
	// maximumWrittenParts bounds the parts in one generation of writtenParts, at some 50 bytes each.
	maximumWrittenParts = 8192
	// maximumReportedParts bounds the parts of one prompt that are reported and remembered: the last ones,
	// which the fewest other requests contain.
	maximumReportedParts = 64
)

// writtenParts remembers when engines last wrote responses on parts. newer replaces older when it holds
// maximumWrittenParts.
type writtenParts struct {
	newer, older map[Fingerprint]time.Duration
	// clearings are the clearings of parts that this node knew of.
	clearings map[Fingerprint]uint32
}

func (w *writtenParts) add(now time.Duration, fingerprint Fingerprint) {
	if w.newer == nil || len(w.newer) >= maximumWrittenParts {
		w.newer, w.older = map[Fingerprint]time.Duration{}, w.newer
	}
	w.newer[fingerprint] = now
}

// last returns when an engine last wrote a response on a part.
func (w *writtenParts) last(fingerprint Fingerprint) (time.Duration, bool) {
	at, found := w.newer[fingerprint]
	if !found {
		at, found = w.older[fingerprint]
	}
	return at, found
}

func (w *writtenParts) isRecent(now time.Duration, fingerprint Fingerprint) bool {
	at, found := w.last(fingerprint)
	return found && now-at <= recentlyWritten
}

// forget forgets a part unless an engine wrote a response on it recently.
func (w *writtenParts) forget(now time.Duration, fingerprint Fingerprint) {
	if !w.isRecent(now, fingerprint) {
		delete(w.newer, fingerprint)
		delete(w.older, fingerprint)
	}
}

// take returns the parts of a view to clear, and forgets the old responses that spoke for parts that were
// cleared since the last view.
func (w *writtenParts) take(now time.Duration, view *View) []Fingerprint {
	for fingerprint, clearings := range view.clearings {
		if clearings > w.clearings[fingerprint] {
			w.forget(now, fingerprint)
		}
	}
	w.clearings = view.clearings
	var written []Fingerprint
	for fingerprint, status := range view.parts {
		if _, found := w.last(fingerprint); found && (status >= Suspected || w.isRecent(now, fingerprint)) {
			written = append(written, fingerprint)
		}
	}
	slices.SortFunc(written, Fingerprint.compare)
	return written
}

// reportedParts returns the parts of a prompt that are reported and remembered.
func reportedParts(parts []Part) []Part {
	return parts[max(0, len(parts)-maximumReportedParts):]
}

// Written records that an engine wrote a response, or a part of one, to a request: no part of its prompt
// crashes engines.
func (g *Guard) Written(now time.Duration, request Request) {
	parts := request.Parts()
	if len(parts) == 0 {
		return
	}
	g.mutex.Lock()
	for _, part := range reportedParts(parts) {
		g.written.add(now, part.Fingerprint)
	}
	g.mutex.Unlock()
	view := g.view.Load()
	if view == nil || len(view.parts) == 0 {
		return
	}
	for _, part := range parts {
		if view.parts[part.Fingerprint] != Unknown {
			g.sink.PartWritten(part.Fingerprint)
		}
	}
}

func (g *Guard) wasWrittenRecently(now time.Duration, fingerprint Fingerprint) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.written.isRecent(now, fingerprint)
}

// takeWritten returns the parts of a view to clear.
func (g *Guard) takeWritten(now time.Duration, view *View) []Fingerprint {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.written.take(now, view)
}

// partReports returns the reports of the parts of a run's prompt, without those on which engines wrote
// responses just now.
func (g *Guard) partReports(now time.Duration, incarnation registry.Incarnation, run InFlightRun) []CrashReport {
	var reports []CrashReport
	first := len(run.Parts) - len(reportedParts(run.Parts))
	for position, part := range run.Parts[first:] {
		if g.wasWrittenRecently(now, part.Fingerprint) {
			continue
		}
		reports = append(reports, CrashReport{
			Fingerprint: part.Fingerprint, Incarnation: incarnation, Suspicion: run.Run.Suspicion(), Route: run.Route, Tenant: run.Tenant,
			Part: part.ID, Depth: uint16(min(first+position, maximumDepth)), Request: run.Fingerprint.hash(),
		})
	}
	return reports
}
