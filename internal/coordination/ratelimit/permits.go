package ratelimit

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// PermitLifetime is how long after its request a permit may be used. A node that was
	// suspended meanwhile requests another one.
	PermitLifetime = time.Second
	// unusedPermitTime is how long an unused permit stays available. Small variations in the arrival
	// of requests therefore cost none of the rate, and an idle time allows no burst.
	unusedPermitTime = 250 * time.Millisecond
	// withheldShare is the fraction of unusedPermitTime for which a free slot, the moment at which
	// one permit may be used, is withheld from the least urgent requests.
	withheldShare = 0.8
	// unreachableIssuerDelay is how long no request is sent to an instance whose issuer did not
	// respond, or that has no issuer.
	unreachableIssuerDelay = 300 * time.Millisecond
	// maximumNextPermitWait bounds the time until the next permit that an issuer's response can give.
	maximumNextPermitWait = time.Minute
)

// PermitRequest is a request to the issuer for a permit.
type PermitRequest struct {
	// Update is what the requesting node knows of the limit.
	Update      Update `msgpack:"w"`
	Zone        string `msgpack:"z"`
	PermitNeeds `msgpack:",inline"`
}

// PermitNeeds is what a request needs of a permit before it can be sent.
type PermitNeeds struct {
	// MaximumWaitMS is how long the request can wait for the permit, in milliseconds.
	MaximumWaitMS uint64 `msgpack:"p,omitempty"`
	// Priority is the rank of the request; 0 is the most urgent.
	Priority uint8 `msgpack:"u,omitempty"`
}

// MaximumWait returns how long the request can wait.
func (n PermitNeeds) MaximumWait() time.Duration {
	return time.Duration(n.MaximumWaitMS) * time.Millisecond
}

// PermitResponse is the issuer's response to a request for a permit.
type PermitResponse struct {
	IsGranted bool `msgpack:"g,omitempty"`
	// DelayMS is the time until a granted permit may be used, in milliseconds.
	DelayMS uint64 `msgpack:"d,omitempty"`
	// FreeMS is the time until the issuer has another permit, in milliseconds.
	FreeMS uint64 `msgpack:"f,omitempty"`
	// Updates is the issuer's update of the limit if it knows a newer one.
	Updates []Update `msgpack:"w,omitempty"`
}

// slots is the schedule of the moments at which permits may be used.
type slots struct {
	// next is the first slot that was not granted.
	next time.Duration
}

// begin starts the schedule one interval from now: it isn't known what other nodes sent just
// before.
func (s *slots) begin(now, between time.Duration) { s.next = now + between }

// take grants the next slot if it lies within a request's maximum wait. A less urgent request
// is granted only a slot that has been free for a while. Scarce slots thus go to urgent
// requests first and the remaining ones to the others. wait is the time until the slot may be used,
// or until it could be granted to the request.
func (s *slots) take(now, between time.Duration, needs PermitNeeds) (wait time.Duration, isTaken bool) {
	unused := min(unusedPermitTime, between)
	slot := max(s.next, now-unused)
	withheld := time.Duration(withheldShare * float64(unused) * float64(needs.Priority) / float64(1+int(needs.Priority)))
	if slot+withheld-now > needs.MaximumWait() {
		return slot + withheld - now, false
	}
	s.next = slot + between
	return max(0, slot-now), true
}

// RequestPermit returns a request for a permit and the address of the issuer to which it goes.
// isLimited is false if the incarnation has no limit and needs no permit. The address is "" if
// there is no issuer; no request may be sent to the instance then.
func (l *Limits) RequestPermit(now time.Duration, incarnation registry.Incarnation, zone string, needs PermitNeeds) (request PermitRequest, issuer string, isLimited bool) {
	if !l.Any() {
		return PermitRequest{}, "", false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.active(incarnation)
	if known == nil {
		return PermitRequest{}, "", false
	}
	return PermitRequest{Update: known.update(incarnation).sentAt(now), Zone: zone, PermitNeeds: needs}, l.issuers.of(now, incarnation.ID, zone), true
}

// Grant responds to a permit request of a node, this one or another, as the issuer.
func (l *Limits) Grant(now time.Duration, from string, request PermitRequest) PermitResponse {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.issuers.requestedAt[from] = now
	update := request.Update.receivedAt(now)
	l.receive(now, update)
	known := l.entries[update.Incarnation]
	if known == nil {
		// The update in the request is not valid.
		return PermitResponse{FreeMS: uint64(unreachableIssuerDelay.Milliseconds())}
	}
	response := PermitResponse{}
	if known.at > update.At || known.hasEnded {
		response.Updates = ForSending(now, []Update{known.update(update.Incarnation)})
	}
	if known.hasEnded {
		return response
	}
	share, wait := l.issuers.share(now, update.Incarnation.ID, request.Zone)
	if share <= 0 {
		response.FreeMS = uint64(max(wait, unreachableIssuerDelay).Milliseconds())
		return response
	}
	between := time.Duration(float64(interval(known.perSecond)) / share)
	delay, isTaken := known.slots.take(now, between, request.PermitNeeds)
	response.IsGranted = isTaken
	if isTaken {
		response.DelayMS = uint64(delay.Milliseconds())
	}
	response.FreeMS = uint64(max(0, min(maximumNextPermitWait, known.slots.next-now)).Milliseconds())
	return response
}

// RecordResponse records an issuer's response.
func (l *Limits) RecordResponse(now time.Duration, incarnation registry.Incarnation, response PermitResponse) []Change {
	changes := l.Receive(now, Received(now, response.Updates))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.active(incarnation)
	if known == nil {
		return changes
	}
	scarce := 1.0
	switch {
	case !response.IsGranted:
		known.denied++
	case response.DelayMS > 0:
		known.granted++
	default:
		known.granted++
		scarce = 0
	}
	pressure := known.pressureNow(now)
	known.pressure, known.pressureAt = pressure+(scarce-pressure)*pressureWeight, now
	known.freeAt = now + min(maximumNextPermitWait, time.Duration(response.FreeMS)*time.Millisecond)
	return changes
}

// RecordNoResponse records that the issuer did not respond, or that there is none.
func (l *Limits) RecordNoResponse(now time.Duration, incarnation registry.Incarnation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.active(incarnation); known != nil {
		known.freeAt = now + unreachableIssuerDelay
	}
}
