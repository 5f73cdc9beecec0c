package forward

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// overPatience is how long an exchange with a replaced incarnation may receive nothing before it
// is closed. Its connection may lead to the engine's new incarnation already, which was sent the
// request under the same id. In that case data arrives within the longest gap between two events,
// 400 ms on the users' routes.
const overPatience = 500 * time.Millisecond

// begin registers an exchange in flight.
func (p *pool) begin(sending *exchange) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.active[sending.life] == nil {
		p.active[sending.life] = map[*exchange]struct{}{}
	}
	p.active[sending.life][sending] = struct{}{}
}

// end unregisters an exchange.
func (p *pool) end(sending *exchange) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.active[sending.life], sending)
	if len(p.active[sending.life]) == 0 {
		delete(p.active, sending.life)
	}
}

// forgetIdle closes the idle connections to an address.
func (p *pool) forgetIdle(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.idle[address] {
		one.close()
	}
	delete(p.idle, address)
}

// endSilent closes the connections of an incarnation's exchanges that have received nothing since
// a given time. Their requests end like those of a crashed engine.
func (p *pool) endSilent(life registry.Life, since time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for sending := range p.active[life] {
		if sending.connection.lastRead.Load() < since.UnixNano() {
			sending.connection.close()
		}
	}
}

// LivesOver handles the replacement of engines' incarnations by newer ones: requests that ran at
// the old incarnations have ended, even if their connections still seem open.
func (p *Pipeline) LivesOver(replaced []registry.Instance) {
	now := time.Now()
	for _, one := range replaced {
		p.pool.forgetIdle(one.Address)
		p.ends.lifeOver(one.Life())
		time.AfterFunc(overPatience, func() { p.pool.endSilent(one.Life(), now) })
	}
}
