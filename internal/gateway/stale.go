package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// maximumStaleLines is the maximum number of log lines on stale frames in one summary: in a
// partition all other nodes may be among the receivers.
const maximumStaleLines = 16

// staleFrames counts the frames that were dropped because they waited too long for their
// connection, by receiver and kind, and logs a bounded number of lines on them.
type staleFrames struct {
	node *Node

	mutex    sync.Mutex
	unlogged map[staleKind]staleSum
}

// staleKind is the key by which stale frames are summed up.
type staleKind struct {
	peer string
	kind peer.Kind
}

// staleSum sums up frames of one kind to one node.
type staleSum struct {
	staleKind
	frames, bytes int
	longestWait   time.Duration
}

func newStaleFrames(node *Node) *staleFrames {
	return &staleFrames{node: node, unlogged: map[staleKind]staleSum{}}
}

// record counts one frame for the next summary.
func (s *staleFrames) record(to string, frame []byte, waited time.Duration) {
	envelope, err := peer.Decode(frame)
	if err != nil {
		s.node.log.Error().Str("event", "own_frame_unreadable").Str("peer", to).Err(err).Send()
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_peer_frames_stale_total{kind=%q}", envelope.Kind)).Inc()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := staleKind{peer: to, kind: envelope.Kind}
	sum := s.unlogged[key]
	s.unlogged[key] = staleSum{
		staleKind: key, frames: sum.frames + 1, bytes: sum.bytes + len(frame), longestWait: max(sum.longestWait, waited),
	}
}

// summarize logs a line for each of the maximumStaleLines pairs of receiver and kind with the most
// frames since the last call, and one line for all others together.
func (s *staleFrames) summarize() {
	sums := s.take()
	for _, sum := range sums[:min(len(sums), maximumStaleLines)] {
		s.node.log.Warn().Str("event", "peer_frames_stale").Str("peer", sum.peer).Stringer("kind", sum.kind).
			Int("frames", sum.frames).Int("bytes", sum.bytes).Int64("longest_wait_ms", sum.longestWait.Milliseconds()).Send()
	}
	if len(sums) <= maximumStaleLines {
		return
	}
	var others staleSum
	for _, sum := range sums[maximumStaleLines:] {
		others.frames += sum.frames
		others.bytes += sum.bytes
		others.longestWait = max(others.longestWait, sum.longestWait)
	}
	s.node.log.Warn().Str("event", "peer_frames_stale_others").Int("receivers_and_kinds", len(sums)-maximumStaleLines).
		Int("frames", others.frames).Int("bytes", others.bytes).Int64("longest_wait_ms", others.longestWait.Milliseconds()).Send()
}

// take returns the sums since the last call, those with the most frames first.
func (s *staleFrames) take() []staleSum {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var sums []staleSum
	for _, sum := range s.unlogged {
		sums = append(sums, sum)
	}
	clear(s.unlogged)
	slices.SortFunc(sums, func(a, b staleSum) int {
		return cmp.Or(cmp.Compare(b.frames, a.frames), cmp.Compare(a.peer, b.peer), cmp.Compare(a.kind, b.kind))
	})
	return sums
}
