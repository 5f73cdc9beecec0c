package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
)

// mostAsks is how often a node that has started asks for the limits in force: its
// connections come up meanwhile.
const mostAsks = 20

// greetings have a node that has started told the limits that instances named before. It
// asks one node: the other one of its zone with the lowest address, or if it is alone
// there the other one of all.
type greetings struct {
	self EntryNode
	// greeter is the node to ask, "" if there is no other, and asks how often it is still
	// asked.
	greeter string
	asks    int
	// asked are the nodes that have asked this one.
	asked map[string]bool
}

func newGreetings(self EntryNode) greetings {
	return greetings{self: self, asks: mostAsks, asked: map[string]bool{}}
}

// setNodes takes the other entry nodes.
func (g *greetings) setNodes(others []EntryNode) {
	g.greeter = ""
	if len(others) > 0 {
		g.greeter = slices.MinFunc(others, g.compare).Address
	}
}

// compare orders nodes of the own zone before others, and then by their addresses.
func (g *greetings) compare(one, other EntryNode) int {
	isNear, isOtherNear := one.Zone == g.self.Zone, other.Zone == g.self.Zone
	switch {
	case isNear == isOtherNear:
		return cmp.Compare(one.Address, other.Address)
	case isNear:
		return -1
	}
	return 1
}

// step returns the question of this node, and its answers to others.
func (g *greetings) step(now time.Duration, inForce func() []ratelimit.Update) []OutgoingReport {
	var reports []OutgoingReport
	if g.asks > 0 && g.greeter != "" {
		g.asks--
		reports = append(reports, g.report(g.greeter, LimitsWanted, nil))
	}
	if len(g.asked) == 0 {
		return reports
	}
	words := ratelimit.ForSending(now, inForce())
	for address := range g.asked {
		reports = append(reports, g.report(address, LimitsTold, words))
	}
	clear(g.asked)
	return reports
}

func (g *greetings) report(to string, scope LoadScope, words []ratelimit.Update) OutgoingReport {
	return OutgoingReport{To: to, Report: LoadReport{Scope: scope, Zone: g.self.Zone, Limits: words}}
}
