package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
)

// mostAsks is the maximum number of times that a node requests the active limits after it started.
// Its connections are established during that time.
const mostAsks = 20

// greetings is the initial exchange of a node that has just started: the node requests the rate
// limits that instances named before its start. It sends the request to one node, the one with the
// lowest address in its own zone, or if it is alone there, in all zones.
type greetings struct {
	self EntryNode
	// greeter is the address of the node that the request goes to, "" if there is no other node.
	// asks is the number of requests left.
	greeter string
	asks    int
	// asked holds the addresses of the nodes whose requests await a response from this node.
	asked map[string]bool
}

func newGreetings(self EntryNode) greetings {
	return greetings{self: self, asks: mostAsks, asked: map[string]bool{}}
}

// setNodes replaces the other entry nodes.
func (g *greetings) setNodes(others []EntryNode) {
	g.greeter = ""
	if len(others) > 0 {
		g.greeter = slices.MinFunc(others, g.compare).Address
	}
}

// compare orders nodes of the own zone before others, and nodes of the same group by address.
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

// step returns this node's request for the active limits, if one is due, and its responses to the
// requests of others.
func (g *greetings) step(now time.Duration, inForce func() []ratelimit.Word) []OutgoingReport {
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

func (g *greetings) report(to string, scope LoadScope, words []ratelimit.Word) OutgoingReport {
	return OutgoingReport{To: to, Report: LoadReport{Scope: scope, Zone: g.self.Zone, Limits: words}}
}
