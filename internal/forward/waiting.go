package forward

import (
	"context"
	"errors"
	"sync"

	"github.com/ravenway/ravenway/internal/coordination/quarantine"
)

// errQuarantined says that a request was ended since engines end by it.
var errQuarantined = errors.New("forward: engines end by the request")

// waitingRequests are the requests of which no answer has begun yet, with what ends
// them. Safe for concurrent use.
type waitingRequests struct {
	mutex sync.Mutex
	ends  map[*request]context.CancelCauseFunc
}

func (w *waitingRequests) add(one *request, end context.CancelCauseFunc) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ends == nil {
		w.ends = map[*request]context.CancelCauseFunc{}
	}
	// It is asked for here, where nobody else has the request yet.
	one.work()
	w.ends[one] = end
}

func (w *waitingRequests) remove(one *request) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.ends, one)
}

// Quarantined takes a verdict: a request that waits at an engine is taken back before
// that begins it. In an overload they wait there for up to two seconds, several of one
// fingerprint at a time, and each would end one engine more. One whose answer has begun
// goes on: if it ends well, the verdict was wrong.
func (p *Pipeline) Quarantined(fingerprint quarantine.Fingerprint) {
	p.waiting.mutex.Lock()
	defer p.waiting.mutex.Unlock()
	for one, end := range p.waiting.ends {
		held := one.work()
		if held.scope == fingerprint.Scope && uint64(len(held.body)) == fingerprint.Length && quarantine.FingerprintOfRequest(held) == fingerprint {
			end(errQuarantined)
		}
	}
}
