package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// limitsFleet are nodes that exchange limits, each with what it knows.
type limitsFleet struct {
	exchanges map[string]*LoadExchange
	limits    map[string]*ratelimit.Limits
}

// round lets each node report once.
func (f *limitsFleet) round(now time.Duration) {
	for address, exchange := range f.exchanges {
		limits := f.limits[address]
		reports, known := exchange.Step(now, nil, News{Limits: limits.TakeUpdates()}, limits.ActiveUpdates)
		limits.Receive(now, known.Limits)
		for _, one := range reports {
			f.exchanges[one.To].Take(now, address, one.Report)
		}
	}
}

// start starts a node that knows nothing.
func (f *limitsFleet) start(self EntryNode, all []EntryNode) {
	f.exchanges[self.Address], f.limits[self.Address] = NewLoadExchange(self, testInterval), ratelimit.New(self.Address)
	var others []EntryNode
	for _, node := range all {
		if node != self {
			others = append(others, node)
		}
	}
	f.exchanges[self.Address].SetNodes(others, testInterval)
}

// A limit was told as it began, and never to a node that started later. It is told now
// whatever place it has in the exchange, and whether or not the others had noticed that it
// was away.
func TestNodeThatStartsAgainIsToldTheLimitsInForce(t *testing.T) {
	engine := registry.Life{ID: "i-1", Born: 5}
	for name, all := range map[string][]EntryNode{
		"three zones": {{"a-0", "a"}, {"a-1", "a"}, {"a-2", "a"}, {"b-0", "b"}, {"b-1", "b"}, {"c-0", "c"}},
		"one a zone":  {{"a-0", "a"}, {"b-0", "b"}, {"c-0", "c"}},
		"one zone":    {{"a-0", "a"}, {"a-1", "a"}},
	} {
		for _, restarted := range all {
			fleet := limitsFleet{exchanges: map[string]*LoadExchange{}, limits: map[string]*ratelimit.Limits{}}
			for _, node := range all {
				fleet.start(node, all)
			}
			now := time.Minute
			fleet.limits[all[0].Address].Learn(now, engine, ratelimit.Signal{IsNamed: true, PerSecond: 2}, now)
			for range 4 {
				now += testInterval
				fleet.round(now)
			}
			for _, node := range all {
				assert.Assert(t, fleet.limits[node.Address].Any(), "%s: %s was not told", name, node.Address)
			}
			fleet.start(restarted, all)
			for range 4 {
				now += testInterval
				fleet.round(now)
			}
			assert.Assert(t, fleet.limits[restarted.Address].Any(), "%s: %s was not told after it started", name, restarted.Address)
		}
	}
}
