package forward

import (
	"context"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/enginepath"
	"github.com/ravenway/ravenway/internal/transport"
)

const (
	// pathCheckInterval is the time between two checks of an exchange. A request of which nothing was
	// acknowledged between two checks is in doubt; a single lost packet is sent again after 200 ms.
	pathCheckInterval = 150 * time.Millisecond
	// quietTime is how long a connection has to be without incoming data before its path is checked:
	// longer than the gaps between the events of a stream that is in time.
	quietTime = 600 * time.Millisecond
)

// pathWatch watches the path of one exchange. A path that is lost causes no error by itself: the
// engine's machine only falls silent, as that of a busy engine may for a second. So silence alone
// never ends an exchange. It makes the path doubtful, so that no further request is sent that way,
// and a check shows whether other nodes reach the engine. Only then an exchange that may be repeated
// or resumed is ended, long before a time-out, and goes on through a relay.
type pathWatch struct {
	exchange *exchange
	// mayRunAgain is whether the request may be sent again after this exchange.
	mayRunAgain bool
	// mutex guards the fields below; stop waits with it for a check in progress.
	mutex   sync.Mutex
	timer   *time.Timer
	isEnded bool
	// pending is the number of unacknowledged bytes at the last check, isReported whether the
	// silence was recorded.
	pending    int
	isReported bool
}

// watchPath watches an exchange until the watch is stopped.
func (e *exchange) watchPath(mayRunAgain bool) {
	watch := &pathWatch{exchange: e, mayRunAgain: mayRunAgain}
	e.watch = watch
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(watch.interval(), watch.check)
}

func (w *pathWatch) interval() time.Duration { return pathCheckInterval + w.exchange.pool.linkDelay() }

func (w *pathWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isEnded = true
	w.timer.Stop()
}

func (w *pathWatch) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.isEnded {
		return
	}
	w.checkAcknowledged()
	w.checkPartition()
	w.timer.Reset(w.interval())
}

// checkAcknowledged records once that the other machine acknowledges nothing of the request.
func (w *pathWatch) checkAcknowledged() {
	if w.isReported {
		return
	}
	pending := w.exchange.unacknowledged()
	if pending > 0 && pending == w.pending {
		w.isReported = true
		w.exchange.reportSilence()
	}
	w.pending = pending
}

// checkPartition ends an exchange over a direct connection if this node is partitioned from the
// engine and the request may be sent again.
func (w *pathWatch) checkPartition() {
	exchange := w.exchange
	paths := exchange.pool.paths
	if exchange.connection.relayed != nil || !paths.IsDoubtful(exchange.address) || !w.mayRunAgain {
		return
	}
	lastRead := time.Unix(0, exchange.connection.lastRead.Load())
	if lastRead.Before(exchange.sentAt) {
		lastRead = exchange.sentAt
	}
	switch {
	case time.Since(lastRead) < quietTime && !w.isReported:
	case paths.IsPartitioned(exchange.address):
		exchange.connection.close()
	case paths.TakeCheck(exchange.address):
		go exchange.pool.checkPartition(exchange)
	}
}

// checkPartition opens a connection to an exchange's engine, over whichever way succeeds. The paths
// record the results.
func (p *pool) checkPartition(checked *exchange) {
	ctx, cancel := context.WithTimeout(context.Background(), maximumDialTimeout)
	defer cancel()
	if opened, err := p.open(ctx, checked.address, checked.incarnation); err == nil {
		p.putUnused(checked.address, opened)
	}
}

// unacknowledged returns the bytes of the request that the other machine has not acknowledged.
func (e *exchange) unacknowledged() int {
	if bytes, isKnown := transport.Unacknowledged(e.connection.network); isKnown {
		return bytes
	}
	select {
	case <-e.written:
		return 0
	default:
		return 1
	}
}

func (e *exchange) reportSilence() {
	if relayed := e.connection.relayed; relayed != nil {
		relayed.ReportSilence()
		return
	}
	e.pool.recordDial(e.address, enginepath.Silent, 0)
}
