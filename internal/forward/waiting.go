package forward

import (
	"context"
	"errors"
	"sync"

	"github.com/ravenway/ravenway/internal/coordination/quarantine"
)

// errQuarantined means that a request was canceled because it crashes engines.
var errQuarantined = errors.New("forward: the request crashes engines")

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

// CancelQuarantined applies a verdict: it cancels a request with the fingerprint that waits at an
// engine before the engine starts it. In an overload such requests wait there for up to two
// seconds, several of one fingerprint at a time, and each would crash one more engine. A request
// whose response has begun continues: if it completes, the verdict was wrong.
func (p *Pipeline) CancelQuarantined(fingerprint quarantine.Fingerprint) {
	p.waiting.mutex.Lock()
	defer p.waiting.mutex.Unlock()
	for waiting, cancel := range p.waiting.cancels {
		content := waiting.content()
		if content.scope == fingerprint.Scope && uint64(len(content.body)) == fingerprint.Length && quarantine.FingerprintOfRequest(content) == fingerprint {
			cancel(errQuarantined)
		}
	}
}
