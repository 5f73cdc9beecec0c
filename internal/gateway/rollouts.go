package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	canary "github.com/ravenway/ravenway/internal/coordination/rollout"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// canaryShare is the part of the permitted exposure that a canary may use; the exposure is the
	// share of a service's requests that a bad version may receive. The remainder covers nodes that
	// crash, whose counts of served requests are lost with them.
	canaryShare = 0.8
	// doneRetention is how long a completed rollout is still distributed and keeps requests from
	// the old version, whose instances end in that time. Instances of any version that start later
	// receive work again.
	doneRetention = 15 * time.Second
)

// rolloutStore holds the rollouts in effect at this node: a control node reads them from the log,
// an entry node receives them in the hellos of control nodes. Several duties use it.
type rolloutStore struct {
	node     *Node
	recorder *canary.Recorder
	mutex    sync.Mutex
	held     rollout.Set
	// orderedAt is the time at which each rollout was ordered as this node sees it, by the
	// rollout's revision: when the node first held it, or earlier if it was restored from the log.
	orderedAt map[uint64]time.Duration
	// stageChangedAt is when each rollout's stage was last seen to change, by revision.
	stageChangedAt map[uint64]time.Duration
	// appliedCount is the number of rollouts that the table applies.
	appliedCount int
}

func newRolloutStore(node *Node) *rolloutStore {
	return &rolloutStore{node: node, recorder: canary.NewRecorder(), orderedAt: map[uint64]time.Duration{}, stageChangedAt: map[uint64]time.Duration{}}
}

// current are the rollouts in effect at this node.
func (s *rolloutStore) current() rollout.Set {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.held
}

// handleHello accepts the rollouts in a control node's hello.
func (s *rolloutStore) handleHello(hello peer.Hello) {
	if s.node.replica == nil && hello.Rollouts != nil {
		s.put(hello.Address, *hello.Rollouts, false)
	}
}

// put applies rollouts from a control node or from this node's own log if they are newer. A control
// node then sends hellos to all nodes immediately. A node that reads its log after a restart has
// missed part of a rollout's time, which it estimates by the wall clock.
func (s *rolloutStore) put(from string, set rollout.Set, isRestored bool) {
	now := s.node.now()
	s.mutex.Lock()
	isNewer := set.Supersedes(s.held)
	if isNewer {
		s.recordTimes(now, set, isRestored)
		s.held = set
		s.recorder.Watch(set.Rollouts)
		s.applyToTable(now)
	}
	s.mutex.Unlock()
	if !isNewer {
		return
	}
	for _, one := range set.Rollouts {
		s.node.log.Info().Str("event", "rollout").Str("service", one.Service).Str("target", one.Version).Stringer("stage", one.Stage).
			Uint64("rollout", one.Revision).Uint64("revision", set.Revision).Str("reason", one.Reason).Str("from", from).Send()
	}
	if s.node.replica != nil {
		s.node.fleet.duty.Offer(s.node.fleet.sendHelloToAll)
	}
}

func (s *rolloutStore) recordTimes(now time.Duration, set rollout.Set, isRestored bool) {
	for _, one := range set.Rollouts {
		before, wasHeld := s.held.Find(one.Service)
		if !wasHeld || before.Revision != one.Revision || before.Stage != one.Stage {
			s.stageChangedAt[one.Revision] = now
		}
		if _, found := s.orderedAt[one.Revision]; found {
			continue
		}
		age := time.Duration(0)
		if isRestored {
			age = min(max(0, time.Since(time.UnixMilli(one.OrderedMS))), one.Duration)
		}
		s.orderedAt[one.Revision] = now - age
	}
	isHeld := func(revision uint64) bool {
		return slices.ContainsFunc(set.Rollouts, func(one rollout.Rollout) bool { return one.Revision == revision })
	}
	for revision := range s.orderedAt {
		if !isHeld(revision) {
			delete(s.orderedAt, revision)
			delete(s.stageChangedAt, revision)
		}
	}
}

func (s *rolloutStore) share() balance.RolloutShare {
	return balance.RolloutShare{
		Share: canaryShare * s.node.settings.Load().Bounds.ExposureShare, Nodes: max(1, s.node.fleet.view.Load().entries),
	}
}

// applyToTable passes the effective rollouts, which decide where requests go, to the table. The
// caller holds the mutex.
func (s *rolloutStore) applyToTable(now time.Duration) {
	kept := s.effective(now)
	s.appliedCount = len(kept)
	s.node.table.SetRollouts(kept, s.share())
}

// tick drops rollouts that have been done for doneRetention.
func (s *rolloutStore) tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now := s.node.now(); s.appliedCount > 0 && len(s.effective(now)) != s.appliedCount {
		s.applyToTable(now)
	}
}

// effective are the rollouts except those that have been done for doneRetention. The caller holds
// the mutex.
func (s *rolloutStore) effective(now time.Duration) []rollout.Rollout {
	return slices.DeleteFunc(slices.Clone(s.held.Rollouts), func(one rollout.Rollout) bool {
		return one.Stage == rollout.Done && now-s.stageChangedAt[one.Revision] >= doneRetention
	})
}

// advertised returns the rollouts that this control node's hellos carry, or nil if there are none.
func (s *rolloutStore) advertised() *rollout.Set {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if effective := s.effective(s.node.now()); len(effective) > 0 {
		return &rollout.Set{Revision: s.held.Revision, Rollouts: effective}
	}
	return nil
}

// elapsed is the time since a rollout was ordered.
func (s *rolloutStore) elapsed(one rollout.Rollout) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.node.now() - s.orderedAt[one.Revision]
}
