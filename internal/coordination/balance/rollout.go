package balance

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/ravenway/ravenway/internal/pairhash"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// canaryInstanceShare is the share of the new version's instances in each zone that receive the
	// canary's requests. It is close to the canary's share of the requests, so that each of these
	// instances has the same load as any other instance and a version that fails under load is
	// detected.
	canaryInstanceShare = 0.1
	// maximumCredit bounds the number of canary requests that a node may send in a burst after a
	// time without an instance for them, so that the share is spread evenly over time.
	maximumCredit = 2.0
	// initialCredits is the number of canary requests that all nodes together may send before they
	// have received the requests that earn these credits. Without it, at a few requests per second,
	// each node would send its first canary request only after seconds.
	initialCredits = 20.0
)

// RolloutShare determines the share of a service's requests that goes to a canary.
type RolloutShare struct {
	// Share is the fraction of the service's requests, from 0 to 1.
	Share float64
	// Nodes is the number of nodes that send requests.
	Nodes int
}

// serviceRollout is a table's state of a service's rollout.
type serviceRollout struct {
	rollout.Rollout
	share float64
	// credit is the number of requests that may go to the canary now.
	credit float64
	// canaries holds the IDs of the instances of the new version that receive the canary's
	// requests.
	canaries map[string]bool
}

// SetRollouts replaces the rollouts. A rollout with an unchanged revision keeps its credit.
func (t *Table) SetRollouts(rollouts []rollout.Rollout, share RolloutShare) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kept := map[string]*serviceRollout{}
	for _, one := range rollouts {
		known := t.rollouts[one.Service]
		if known == nil || known.Revision != one.Revision {
			known = &serviceRollout{credit: t.random() * min(1, initialCredits/float64(max(1, share.Nodes)))}
		}
		known.Rollout, known.share = one, share.Share
		kept[one.Service] = known
	}
	t.rollouts = kept
	t.chooseCanaries()
}

// chooseCanaries selects the canary instances. All nodes that know the same instances select the
// same ones.
func (t *Table) chooseCanaries() {
	for service, one := range t.rollouts {
		one.canaries = map[string]bool{}
		if one.Stage != rollout.Canary {
			continue
		}
		byZone := map[string][]*member{}
		for _, known := range t.byService[service] {
			if one.isNew(known) {
				byZone[known.Zone] = append(byZone[known.Zone], known)
			}
		}
		seed := strconv.FormatUint(one.Revision, 10)
		for _, members := range byZone {
			slices.SortFunc(members, func(a, b *member) int {
				if pairhash.Of(seed, a.ID) > pairhash.Of(seed, b.ID) {
					return -1
				}
				return 1
			})
			for _, chosen := range members[:int(math.Ceil(canaryInstanceShare*float64(len(members))))] {
				one.canaries[chosen.ID] = true
			}
		}
	}
}

// isNew reports whether an instance has the rollout's version.
func (s *serviceRollout) isNew(one *member) bool { return one.Version == s.Version }

// isRolledBack reports whether an instance has a version that was rolled back.
func (t *Table) isRolledBack(one *member) bool {
	running := t.rollouts[one.Service]
	return running != nil && running.Stage == rollout.RolledBack && running.isNew(one)
}

// candidatesInRollout returns the instances that may be chosen while a service has a rollout.
func (t *Table) candidatesInRollout(now time.Duration, request Request, running *serviceRollout) candidateSet {
	isOld := func(one *member) bool { return !running.isNew(one) }
	switch running.Stage {
	case rollout.Canary:
		if chosen := t.canariesFor(now, request, running); len(chosen.open) > 0 {
			return chosen
		}
		if slices.ContainsFunc(t.byService[request.Service], isOld) {
			return t.candidates(now, request, isOld)
		}
		// Only the new version is left, and it is not known to be bad.
	case rollout.RolledBack:
		return t.candidates(now, request, isOld)
	case rollout.Moving, rollout.Done:
		if chosen := t.candidates(now, request, running.isNew); len(chosen.open) > 0 {
			return chosen
		}
	}
	return t.candidates(now, request, anyMember)
}

// canariesFor returns the canary's instances if the request belongs to the canary's share. A
// request that already failed at another instance never does, so that it is not put at risk again.
func (t *Table) canariesFor(now time.Duration, request Request, running *serviceRollout) candidateSet {
	if len(request.Exclude) > 0 {
		return candidateSet{}
	}
	running.credit = min(running.credit+running.share, maximumCredit)
	if running.credit < 1 {
		return candidateSet{}
	}
	healthy, _ := t.classifyCandidates(now, request, func(one *member) bool { return running.canaries[one.ID] })
	if len(healthy.open) > 0 {
		running.credit--
	}
	return healthy
}

// Versions returns the versions of a service's instances that accept new work.
func (t *Table) Versions(service string) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var versions []string
	for _, one := range t.byService[service] {
		if !slices.Contains(versions, one.Version) {
			versions = append(versions, one.Version)
		}
	}
	return versions
}

// OldInFlight returns the number of this node's requests in flight at instances of a service that
// do not have the version of its rollout.
func (t *Table) OldInFlight(service string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	running := t.rollouts[service]
	if running == nil {
		return 0
	}
	inFlight := 0
	for _, one := range t.members {
		if one.Service == service && !running.isNew(one) {
			inFlight += one.inFlight
		}
	}
	return inFlight
}
