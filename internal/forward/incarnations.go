package forward

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// replacedIdleTimeout is how long an exchange with a replaced incarnation may receive nothing
// before it is closed. Its request may in fact run at the new incarnation, which has the same
// instance ID and accepted the connection. In that case data arrives within the longest gap between
// two events, 400 ms on the users' routes.
const replacedIdleTimeout = 500 * time.Millisecond

// track registers an exchange in flight.
func (p *pool) track(sending *exchange) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.active[sending.incarnation] == nil {
		p.active[sending.incarnation] = map[*exchange]struct{}{}
	}
	p.active[sending.incarnation][sending] = struct{}{}
}

// untrack unregisters an exchange.
func (p *pool) untrack(sending *exchange) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.active[sending.incarnation], sending)
	if len(p.active[sending.incarnation]) == 0 {
		delete(p.active, sending.incarnation)
	}
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, unused := range p.idle[address] {
		unused.close()
	}
	delete(p.idle, address)
}

// markReplaced marks the exchanges with an incarnation that was replaced by a newer one.
func (p *pool) markReplaced(incarnation registry.Incarnation) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for sending := range p.active[incarnation] {
		sending.isReplaced.Store(true)
	}
}

// hasOutlasted reports whether an exchange with an incarnation that had begun at a moment has received
// data later than shortly after it, so that it did not lie in a buffer.
func (p *pool) hasOutlasted(incarnation registry.Incarnation, moment time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for sending := range p.active[incarnation] {
		if sending.sentAt.Before(moment) && sending.connection.lastRead.Load() > moment.Add(aliveCheckTime/2).UnixNano() {
			return true
		}
	}
	return false
}

// closeInactive closes the connections of an incarnation's exchanges that have received nothing
// since a given time. Their requests end like those of a crashed engine.
func (p *pool) closeInactive(incarnation registry.Incarnation, since time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for sending := range p.active[incarnation] {
		if sending.connection.lastRead.Load() < since.UnixNano() {
			sending.connection.close()
		}
	}
}

// IncarnationsReplaced handles the replacement of engines' incarnations by newer ones: requests
// that ran at the old incarnations have ended, even if their connections still seem open.
func (p *Pipeline) IncarnationsReplaced(replaced []registry.Instance) {
	now := time.Now()
	for _, instance := range replaced {
		p.pool.closeIdle(instance.Address)
		p.pool.markReplaced(instance.Incarnation())
		p.crashes.incarnationReplaced(instance.Incarnation())
		time.AfterFunc(replacedIdleTimeout, func() { p.pool.closeInactive(instance.Incarnation(), now) })
	}
}
