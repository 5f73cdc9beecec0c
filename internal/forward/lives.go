package forward

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// overPatience is how long an exchange with a life that is over may be silent before it
// is ended. Its connection may lead to the engine's new life already, which was sent the
// request under the same id: then something comes within the longest pause between two
// events, 400 ms at the users' routes.
const overPatience = 500 * time.Millisecond

// begin notes an exchange under way.
func (p *pool) begin(sending *exchange) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.active[sending.life] == nil {
		p.active[sending.life] = map[*exchange]struct{}{}
	}
	p.active[sending.life][sending] = struct{}{}
}

// end notes that an exchange is over.
func (p *pool) end(sending *exchange) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.active[sending.life], sending)
	if len(p.active[sending.life]) == 0 {
		delete(p.active, sending.life)
	}
}

// forgetIdle closes the kept connections to an address.
func (p *pool) forgetIdle(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.idle[address] {
		one.close()
	}
	delete(p.idle, address)
}

// endSilent closes the connections of a life's exchanges over which nothing came since a
// time. Their requests end as those of an engine that has ended do.
func (p *pool) endSilent(life registry.Incarnation, since time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for sending := range p.active[life] {
		if sending.connection.lastRead.Load() < since.UnixNano() {
			sending.connection.close()
		}
	}
}

// LivesOver takes the lives of engines that newer ones have replaced: what ran there is
// over, whatever its connections seem to say.
func (p *Pipeline) LivesOver(replaced []registry.Instance) {
	now := time.Now()
	for _, one := range replaced {
		p.pool.forgetIdle(one.Address)
		p.ends.lifeOver(one.Incarnation())
		time.AfterFunc(overPatience, func() { p.pool.endSilent(one.Incarnation(), now) })
	}
}
