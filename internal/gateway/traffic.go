package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// traffic counts the frames and bytes of each kind of peer message in one
// direction.
type traffic struct {
	frames []*metrics.Counter
	bytes  []*metrics.Counter
	// logged are the bytes at the last line.
	logged []uint64
}

func newTraffic(direction string) *traffic {
	made := &traffic{}
	for kind := peer.Kind(0); int(kind) <= len(peer.Kinds()); kind++ {
		labels := fmt.Sprintf("{direction=%q,kind=%q}", direction, kind)
		made.frames = append(made.frames, metrics.GetOrCreateCounter("ravenway_peer_frames_total"+labels))
		made.bytes = append(made.bytes, metrics.GetOrCreateCounter("ravenway_peer_bytes_total"+labels))
		made.logged = append(made.logged, 0)
	}
	return made
}

func (t *traffic) note(kind peer.Kind, size int) {
	if int(kind) < len(t.frames) {
		t.frames[kind].Inc()
		t.bytes[kind].Add(size)
	}
}

// staleFrames notes the frames that waited too long for their connection, by
// receiver and kind, and writes a bounded number of lines on them.
type staleFrames struct {
	node *Node

	mutex   sync.Mutex
	waiting map[staleKind]staleSum
}

// staleKind is what stale frames are summed up by.
type staleKind struct {
	peer string
	kind peer.Kind
}

type staleSum struct {
	frames  int
	bytes   int
	longest time.Duration
}

func newStaleFrames(node *Node) *staleFrames {
	return &staleFrames{node: node, waiting: map[staleKind]staleSum{}}
}

// note counts one frame; the next summary has its line.
func (s *staleFrames) note(to string, frame []byte, waited time.Duration) {
	envelope, err := peer.Decode(frame)
	if err != nil {
		s.node.log.Error().Str("event", "own_frame_unreadable").Str("peer", to).Err(err).Send()
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_peer_frames_stale_total{kind=%q}", envelope.Kind)).Inc()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := staleKind{peer: to, kind: envelope.Kind}
	sum := s.waiting[key]
	s.waiting[key] = staleSum{frames: sum.frames + 1, bytes: sum.bytes + len(frame), longest: max(sum.longest, waited)}
}

// summarize writes a line for each receiver and kind since the last call.
func (s *staleFrames) summarize() {
	s.mutex.Lock()
	summed := s.waiting
	s.waiting = map[staleKind]staleSum{}
	s.mutex.Unlock()
	for key, sum := range summed {
		s.node.log.Warn().Str("event", "peer_frames_stale").Str("peer", key.peer).Stringer("kind", key.kind).
			Int("frames", sum.frames).Int("bytes", sum.bytes).Int64("longest_wait_ms", sum.longest.Milliseconds()).Send()
	}
}

// describe adds the bytes of each kind since the last call, for those that had
// any.
func (t *traffic) describe() *zerolog.Event {
	line := zerolog.Dict()
	for kind := range t.bytes {
		now := t.bytes[kind].Get()
		if grown := now - t.logged[kind]; grown > 0 {
			line = line.Uint64(peer.Kind(kind).String(), grown)
		}
		t.logged[kind] = now
	}
	return line
}
