package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	judging "github.com/ravenway/ravenway/internal/coordination/rollout"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// canaryShare is the part of the exposure that a bad version may have that a canary
	// uses. The rest is for nodes that end and are forgotten with what they had served.
	canaryShare = 0.8
	// tellDoneFor is how long nodes are told of a rollout that is done, and keep from the
	// old version: its instances end meanwhile. Later ones of any version get work again.
	tellDoneFor = 15 * time.Second
)

// rolloutStore holds the rollouts in force at this node: a control node has them from the
// log, an entry node from the hellos of control nodes. It is used by several duties.
type rolloutStore struct {
	node     *Node
	recorder *judging.Recorder
	mutex    sync.Mutex
	held     rollout.Set
	// seen is when this node first held each rollout by its revision, as if it had held it
	// since the order.
	seen map[uint64]time.Duration
	// steppedAt is when it was last seen to move on.
	steppedAt map[uint64]time.Duration
	// kept is the number of rollouts that the table keeps to.
	kept int
}

func newRolloutStore(node *Node) *rolloutStore {
	return &rolloutStore{node: node, recorder: judging.NewRecorder(), seen: map[uint64]time.Duration{}, steppedAt: map[uint64]time.Duration{}}
}

// inForce are the rollouts as this node keeps to them.
func (s *rolloutStore) inForce() rollout.Set {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.held
}

// hear takes a control node's word of the rollouts.
func (s *rolloutStore) hear(hello peer.Hello) {
	if s.node.replica == nil && hello.Rollouts != nil {
		s.put(hello.Address, *hello.Rollouts, false)
	}
}

// put takes rollouts that a control node or this node's own log tells of. A control node
// says hello to all at once. One whose log is read again after a start has missed a part of
// a rollout's time, which the time of day tells.
func (s *rolloutStore) put(from string, set rollout.Set, isRestored bool) {
	now := s.node.now()
	s.mutex.Lock()
	isNewer := set.Supersedes(s.held)
	if isNewer {
		s.noteTimes(now, set, isRestored)
		s.held = set
		s.recorder.Watch(set.Rollouts)
		s.keepTo(now)
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
		s.node.fleet.duty.Offer(s.node.fleet.hello)
	}
}

func (s *rolloutStore) noteTimes(now time.Duration, set rollout.Set, isRestored bool) {
	for _, one := range set.Rollouts {
		before, wasHeld := s.held.Find(one.Service)
		if !wasHeld || before.Revision != one.Revision || before.Stage != one.Stage {
			s.steppedAt[one.Revision] = now
		}
		if _, found := s.seen[one.Revision]; found {
			continue
		}
		age := time.Duration(0)
		if isRestored {
			age = min(max(0, time.Since(time.UnixMilli(one.OrderedMS))), one.Duration)
		}
		s.seen[one.Revision] = now - age
	}
	isHeld := func(revision uint64) bool {
		return slices.ContainsFunc(set.Rollouts, func(one rollout.Rollout) bool { return one.Revision == revision })
	}
	for revision := range s.seen {
		if !isHeld(revision) {
			delete(s.seen, revision)
			delete(s.steppedAt, revision)
		}
	}
}

func (s *rolloutStore) share() balance.RolloutShare {
	return balance.RolloutShare{
		Share: canaryShare * s.node.settings.Load().Bounds.ExposureShare, Nodes: max(1, s.node.fleet.view.Load().entries),
	}
}

// keepTo has the table keep to the rollouts that say where requests go. The caller holds
// the mutex.
func (s *rolloutStore) keepTo(now time.Duration) {
	kept := s.effective(now)
	s.kept = len(kept)
	s.node.table.SetRollouts(kept, s.share())
}

// tick gives up rollouts that are done for long enough.
func (s *rolloutStore) tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now := s.node.now(); s.kept > 0 && len(s.effective(now)) != s.kept {
		s.keepTo(now)
	}
}

// effective are the rollouts but those that are done for some time. The caller holds the
// mutex.
func (s *rolloutStore) effective(now time.Duration) []rollout.Rollout {
	return slices.DeleteFunc(slices.Clone(s.held.Rollouts), func(one rollout.Rollout) bool {
		return one.Stage == rollout.Done && now-s.steppedAt[one.Revision] >= tellDoneFor
	})
}

// told is what this control node's hellos tell of rollouts; nil is nothing.
func (s *rolloutStore) told() *rollout.Set {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if told := s.effective(s.node.now()); len(told) > 0 {
		return &rollout.Set{Revision: s.held.Revision, Rollouts: told}
	}
	return nil
}

// elapsed is the time since a rollout was ordered.
func (s *rolloutStore) elapsed(one rollout.Rollout) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.node.now() - s.seen[one.Revision]
}
