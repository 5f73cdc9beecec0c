package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
)

// maximumLimitRequests is the maximum number of times that a node requests the active limits after
// it started. Its connections are established during that time.
const maximumLimitRequests = 20

// initialExchange is the initial exchange of a node that has just started: the node requests the
// rate limits that instances named before its start. It sends the request to one node, the one with
// the lowest address in its own zone, or if it is alone there, in all zones.
type initialExchange struct {
	self EntryNode
	// responder is the address of the node that the request goes to, "" if there is no other node.
	// requestsLeft is the number of requests left.
	responder    string
	requestsLeft int
	// requesters holds the addresses of the nodes whose requests await a response from this node.
	requesters map[string]bool
}

func newInitialExchange(self EntryNode) initialExchange {
	return initialExchange{self: self, requestsLeft: maximumLimitRequests, requesters: map[string]bool{}}
}

// setNodes replaces the other entry nodes.
func (g *initialExchange) setNodes(others []EntryNode) {
	g.responder = ""
	if len(others) > 0 {
		g.responder = slices.MinFunc(others, g.compare).Address
	}
}

// compare orders nodes of the own zone before others, and nodes of the same group by address.
func (g *initialExchange) compare(one, other EntryNode) int {
	isSameZone, isOtherSameZone := one.Zone == g.self.Zone, other.Zone == g.self.Zone
	switch {
	case isSameZone == isOtherSameZone:
		return cmp.Compare(one.Address, other.Address)
	case isSameZone:
		return -1
	}
	return 1
}

// step returns this node's request for the active limits, if one is due, and its responses to the
// requests of others.
func (g *initialExchange) step(now time.Duration, activeLimits func() []ratelimit.Word) []OutgoingReport {
	var reports []OutgoingReport
	if g.requestsLeft > 0 && g.responder != "" {
		g.requestsLeft--
		reports = append(reports, g.report(g.responder, LimitsRequest, nil))
	}
	if len(g.requesters) == 0 {
		return reports
	}
	updates := ratelimit.ForSending(now, activeLimits())
	for address := range g.requesters {
		reports = append(reports, g.report(address, LimitsResponse, updates))
	}
	clear(g.requesters)
	return reports
}

func (g *initialExchange) report(to string, scope LoadScope, updates []ratelimit.Word) OutgoingReport {
	return OutgoingReport{To: to, Report: LoadReport{Scope: scope, Zone: g.self.Zone, Limits: updates}}
}
