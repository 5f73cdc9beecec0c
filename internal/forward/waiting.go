package forward

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/ravenway/ravenway/internal/coordination/quarantine"
)

var (
	// errQuarantined means that a request was canceled because it crashes engines.
	errQuarantined = errors.New("forward: the request crashes engines")
	// errStopping means that a request was withheld or canceled because the node stops before it can end.
	errStopping = errors.New("forward: the node stops")
)

// waitingRequests are the requests whose response has not begun, with their cancel functions.
// Safe for concurrent use.
type waitingRequests struct {
	mutex   sync.Mutex
	cancels map[*request]context.CancelCauseFunc
}

func (w *waitingRequests) add(waiting *request, cancel context.CancelCauseFunc) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.cancels == nil {
		w.cancels = map[*request]context.CancelCauseFunc{}
	}
	// Computes the request's scope while no other goroutine has the request.
	waiting.content()
	w.cancels[waiting] = cancel
}

func (w *waitingRequests) remove(waiting *request) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.cancels, waiting)
}

// CancelQuarantined applies a verdict: it cancels a request with the fingerprint, or with the part of that
// fingerprint in its prompt, that waits at an engine before the engine starts it. In an overload such requests wait there for up to two
// seconds, several of one fingerprint at a time, and each would crash one more engine. A request
// whose response has begun continues: if it completes, the verdict was wrong.
func (p *Pipeline) CancelQuarantined(fingerprint quarantine.Fingerprint) {
	p.waiting.mutex.Lock()
	defer p.waiting.mutex.Unlock()
	for waiting, cancel := range p.waiting.cancels {
		if waiting.content().isMeantBy(fingerprint) {
			cancel(errQuarantined)
		}
	}
}

// CancelWaiting ends the requests whose response has not begun, so that their callers get an answer before the node
// closes their connections.
func (p *Pipeline) CancelWaiting() {
	p.waiting.mutex.Lock()
	defer p.waiting.mutex.Unlock()
	for _, cancel := range p.waiting.cancels {
		cancel(errStopping)
	}
}

// isMeantBy reports whether a fingerprint is that of the request or of a part of its prompt.
func (c requestContent) isMeantBy(fingerprint quarantine.Fingerprint) bool {
	if fingerprint.IsPart() {
		return slices.ContainsFunc(c.parts, func(part quarantine.Part) bool { return part.Fingerprint == fingerprint })
	}
	return c.scope == fingerprint.Scope && uint64(len(c.body)) == fingerprint.Length && quarantine.FingerprintOfRequest(c) == fingerprint
}
