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
func (i *initialExchange) setNodes(others []EntryNode) {
	i.responder = ""
	if len(others) > 0 {
		i.responder = slices.MinFunc(others, i.compare).Address
	}
}

// compare orders nodes of the own zone before others, and nodes of the same group by address.
func (i *initialExchange) compare(one, other EntryNode) int {
	isSameZone, isOtherSameZone := one.Zone == i.self.Zone, other.Zone == i.self.Zone
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
func (i *initialExchange) step(now time.Duration, activeLimits func() []ratelimit.Update) []OutgoingReport {
	var reports []OutgoingReport
	if i.requestsLeft > 0 && i.responder != "" {
		i.requestsLeft--
		reports = append(reports, i.report(i.responder, LimitsRequest, nil))
	}
	if len(i.requesters) == 0 {
		return reports
	}
	updates := ratelimit.ForSending(now, activeLimits())
	for address := range i.requesters {
		reports = append(reports, i.report(address, LimitsResponse, updates))
	}
	clear(i.requesters)
	return reports
}

func (i *initialExchange) report(to string, scope LoadScope, updates []ratelimit.Update) OutgoingReport {
	return OutgoingReport{To: to, Report: LoadReport{Scope: scope, Zone: i.self.Zone, Limits: updates}}
}
