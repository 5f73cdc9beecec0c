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
	// canaryInstances is the part of a new version's instances in each zone that get the
	// canary's requests. It is near the part of the requests, so that each of them has the
	// load of any other instance: a version that fails under load shows it.
	canaryInstances = 0.1
	// mostCredit bounds the canary requests that a node may send at once after a time
	// without an instance for them: the share is to be spent evenly.
	mostCredit = 2.0
	// firstCredits is how many canary requests all nodes together may send before the
	// requests that they are a share of have come: at a few requests a second each node
	// would else send its first only after seconds.
	firstCredits = 20.0
)

// RolloutShare is the part of a service's requests that a canary gets.
type RolloutShare struct {
	// Share is the part of all requests that reach the service.
	Share float64
	// Nodes is the number of nodes that send requests.
	Nodes int
}

// serviceRollout is what a table does for a service's rollout.
type serviceRollout struct {
	rollout.Rollout
	share float64
	// credit is how many requests the canary may get now.
	credit float64
	// canaries are the instances of the new version that get the canary's requests.
	canaries map[string]bool
}

// SetRollouts replaces the rollouts. The share of one that is known goes on.
func (t *Table) SetRollouts(rollouts []rollout.Rollout, share RolloutShare) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kept := map[string]*serviceRollout{}
	for _, one := range rollouts {
		known := t.rollouts[one.Service]
		if known == nil || known.Revision != one.Revision {
			known = &serviceRollout{credit: t.random() * min(1, firstCredits/float64(max(1, share.Nodes)))}
		}
		known.Rollout, known.share = one, share.Share
		kept[one.Service] = known
	}
	t.rollouts = kept
	t.chooseCanaries()
}

// chooseCanaries names the instances for canaries, the same at all nodes that know the
// same instances.
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
		draw := strconv.FormatUint(one.Revision, 10)
		for _, members := range byZone {
			slices.SortFunc(members, func(a, b *member) int {
				if pairhash.Of(draw, a.ID) > pairhash.Of(draw, b.ID) {
					return -1
				}
				return 1
			})
			for _, chosen := range members[:int(math.Ceil(canaryInstances*float64(len(members))))] {
				one.canaries[chosen.ID] = true
			}
		}
	}
}

// isNew tells whether an instance has the rollout's version.
func (s *serviceRollout) isNew(one *member) bool { return one.Version == s.Version }

// isRolledBack tells whether an instance has a version that was found to be bad.
func (t *Table) isRolledBack(one *member) bool {
	running := t.rollouts[one.Service]
	return running != nil && running.Stage == rollout.RolledBack && running.isNew(one)
}

// candidatesInRollout returns the instances that may be chosen while a service's version
// is replaced.
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
		// Nothing is left but the new version: it is not known to be bad.
	case rollout.RolledBack:
		return t.candidates(now, request, isOld)
	case rollout.Moving, rollout.Done:
		if chosen := t.candidates(now, request, running.isNew); len(chosen.open) > 0 {
			return chosen
		}
	}
	return t.candidates(now, request, anyMember)
}

// canariesFor returns the canary's instances if the request is one of its share. A request
// that was tried elsewhere is none: what failed once is not risked again.
func (t *Table) canariesFor(now time.Duration, request Request, running *serviceRollout) candidateSet {
	if len(request.Exclude) > 0 {
		return candidateSet{}
	}
	running.credit = min(running.credit+running.share, mostCredit)
	if running.credit < 1 {
		return candidateSet{}
	}
	healthy, _ := t.sortCandidates(now, request, func(one *member) bool { return running.canaries[one.ID] })
	if len(healthy.open) > 0 {
		running.credit--
	}
	return healthy
}

// Versions are those of a service's instances that take new work.
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

// OldUnderWay is the number of this node's requests at instances of a service that have
// not the version of its rollout.
func (t *Table) OldUnderWay(service string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	running := t.rollouts[service]
	if running == nil {
		return 0
	}
	underWay := 0
	for _, one := range t.members {
		if one.Service == service && !running.isNew(one) {
			underWay += one.inFlight
		}
	}
	return underWay
}
