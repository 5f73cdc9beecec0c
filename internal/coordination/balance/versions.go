package balance

import (
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

// drainingUseTime is how long after this node learned that an instance drains a bound request may still
// be sent there. Nodes send a draining instance nothing 2 s after its notice was acknowledged; the rest
// is for the notice's way to this node.
const drainingUseTime = time.Second

// restartNoticeTime is how long after the end of an instance's process was noticed this node, if it is
// in contact with control nodes, would know of a process that has started at its address since: an
// engine registers when it starts, and repeats a heartbeat that is lost after a second.
const restartNoticeTime = 3 * time.Second

// VersionBound restricts a request to the instances of one version: a stream continues only on the
// version that began it.
type VersionBound struct {
	Version string
	IsBound bool
}

// BindVersion returns the bound to a version.
func BindVersion(version string) VersionBound { return VersionBound{Version: version, IsBound: true} }

// Allows reports whether a request may go to an instance that runs a version.
func (b VersionBound) Allows(version string) bool { return !b.IsBound || version == b.Version }

// candidatesOfVersion returns the instances that may be chosen for a bound request. A rollout decides
// where new requests go, so it does not keep a bound one from its version, except that a version that
// was rolled back gets no request at all. The canary's instances get the requests that began there. If
// there is no candidate, draining instances are. An instance that may have restarted is none.
func (t *Table) candidatesOfVersion(now time.Duration, request Request) candidateSet {
	running := t.rollouts[request.Service]
	switch {
	case running == nil || running.Version != request.Version.Version:
	case running.Stage == rollout.RolledBack:
		return candidateSet{}
	case running.Stage == rollout.Canary:
		isCanary := func(one *member) bool { return running.canaries[one.ID] && !t.isVersionDoubtful(now, one) }
		if healthy, _ := t.classifyCandidates(now, request, isCanary); len(healthy.open) > 0 {
			return healthy
		}
	}
	found := t.candidates(now, request, func(one *member) bool { return !t.isVersionDoubtful(now, one) })
	if len(found.open) == 0 {
		found.open = t.drainingCandidates(now, request)
	}
	return found
}

// drainingCandidates returns the draining instances that a bound request may still be sent to, ordered
// by ID.
func (t *Table) drainingCandidates(now time.Duration, request Request) []*member {
	var draining []*member
	for _, one := range t.members {
		if one.Service != request.Service || !one.isDrainingUsable(now) || t.isVersionDoubtful(now, one) || !t.mayServe(one, request) {
			continue
		}
		phase := t.backoff.Status(now, one.Incarnation()).Phase
		if phase == backoff.Paused || phase == backoff.Leaving || t.slots.FullFor(now, one.Incarnation()) > 0 {
			continue
		}
		draining = append(draining, one)
	}
	slices.SortFunc(draining, func(a, b *member) int { return compareID(a, b.ID) })
	return draining
}

// isDrainingUsable reports whether the instance drains and may still get bound requests.
func (m *member) isDrainingUsable(now time.Duration) bool {
	return m.hasSeenDrain && m.State == registry.Draining && !m.hasEnded && !m.isReplaced && now < m.drainingSince+drainingUseTime
}

// noteDrain records that an instance that accepted work no longer does. The latest reading of the clock
// is at most too early, so that the instance is used too briefly rather than too long.
func (t *Table) noteDrain(one *member) {
	one.drainingSince, one.hasSeenDrain = t.latest, true
}

// HasVersion reports whether a service offers an instance of a version, regardless of its health or load.
func (t *Table) HasVersion(service, version string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.ContainsFunc(t.byService[service], func(one *member) bool { return one.Version == version && !t.isRolledBack(one) })
}

// endedVersion is the version of an incarnation that has ended.
type endedVersion struct {
	registry.Incarnation
	version string
}

// maximumEndedVersions bounds the ended incarnations whose versions are kept: more than are replaced while
// a stream lasts.
const maximumEndedVersions = 8192

func (t *Table) noteEndedVersion(one *member) {
	t.endedVersions = append(t.endedVersions, endedVersion{Incarnation: one.Incarnation(), version: one.Version})
	t.endedVersions = t.endedVersions[max(0, len(t.endedVersions)-maximumEndedVersions):]
}

// RunVersion returns the version of a run at an instance, which its heartbeats named when it was chosen. If
// the instance has restarted with another version since, the run may have that one, because it can have
// restarted before its first heartbeat said so: then it returns the other version and false.
func (t *Table) RunVersion(chosen registry.Instance) (version string, isCertain bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	// An instance that reports no start time has the same incarnation after a restart.
	if known := t.members[chosen.ID]; known != nil && known.Version != chosen.Version {
		return known.Version, false
	}
	for _, ended := range t.endedVersions {
		if ended.ID == chosen.ID && ended.StartedAt > chosen.StartedAt && ended.version != chosen.Version {
			return ended.version, false
		}
	}
	return chosen.Version, true
}

// ServiceVersion is a version of a service.
type ServiceVersion struct{ Service, Version string }

// ListedVersions returns the versions of all services' instances that have not ended, with the number of
// those that accept new work.
func (t *Table) ListedVersions() map[ServiceVersion]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	versions := map[ServiceVersion]int{}
	for _, one := range t.members {
		if one.hasEnded {
			continue
		}
		version := ServiceVersion{Service: one.Service, Version: one.Version}
		versions[version] += 0
		if one.isOffered {
			versions[version]++
		}
	}
	return versions
}

// SetInformed records whether this node is in contact with control nodes, which tell it of instances
// that start.
func (t *Table) SetInformed(now time.Duration, isInformed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if isInformed && !t.isInformed {
		t.informedSince = now
	}
	t.isInformed = isInformed
}

// RunInterrupted records that a run at an instance broke off: its process may have ended.
func (t *Table) RunInterrupted(now time.Duration, incarnation registry.Incarnation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.noteVersionDoubt(now, incarnation, false)
}

// ProcessConfirmed records that an instance's process has not ended.
func (t *Table) ProcessConfirmed(incarnation registry.Incarnation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.member(incarnation); known != nil {
		known.versionDoubt = versionDoubt{}
	}
}

// versionDoubt is the doubt whether the process that is listed still answers at an instance's address.
type versionDoubt struct {
	isRaised bool
	// at is when the process was last noticed to have possibly ended.
	at time.Duration
	// isEndSeen reports whether its address refused connections: the process has ended.
	isEndSeen bool
}

// noteVersionDoubt records that the process of an instance may have ended, so that another one with
// another version may answer at its address, under its ID, before a heartbeat says so.
func (t *Table) noteVersionDoubt(now time.Duration, incarnation registry.Incarnation, isEndSeen bool) {
	if known := t.member(incarnation); known != nil {
		known.versionDoubt = versionDoubt{isRaised: true, at: now, isEndSeen: isEndSeen || known.versionDoubt.isEndSeen}
	}
}

// isVersionDoubtful reports whether another process than the one that is listed may answer at an
// instance's address with another version. After a run that merely broke off, while this node knows of
// all instances and they have one version, it is taken to be the same process.
func (t *Table) isVersionDoubtful(now time.Duration, one *member) bool {
	doubt := &one.versionDoubt
	if t.isInformed && now-max(doubt.at, t.informedSince) >= restartNoticeTime {
		*doubt = versionDoubt{}
	}
	return doubt.isRaised && (doubt.isEndSeen || !t.isInformed || t.hasSeveralVersions(one.Service))
}

// hasSeveralVersions reports whether instances of a service have several versions.
func (t *Table) hasSeveralVersions(service string) bool { return len(t.versions[service]) > 1 }

// countVersion adds to the number of members of an instance's version.
func (t *Table) countVersion(instance registry.Instance, members int) {
	versions := t.versions[instance.Service]
	if versions == nil {
		versions = map[string]int{}
		t.versions[instance.Service] = versions
	}
	versions[instance.Version] += members
	if versions[instance.Version] == 0 {
		delete(versions, instance.Version)
	}
	if len(versions) == 0 {
		delete(t.versions, instance.Service)
	}
}

// IsVersionDoubtful reports whether a run at an instance may not have the version that its heartbeats
// named.
func (t *Table) IsVersionDoubtful(now time.Duration, incarnation registry.Incarnation) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.member(incarnation)
	return known != nil && t.isVersionDoubtful(now, known)
}
