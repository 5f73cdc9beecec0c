package gateway

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// traffic counts the frames and bytes of each kind of peer message in one
// direction.
type traffic struct {
	frames []*metrics.Counter
	bytes  []*metrics.Counter
	// loggedBytes are the byte counts at the last log line, by kind.
	loggedBytes []uint64
	// allBytes is the number of bytes of all kinds.
	allBytes atomic.Int64
}

func newTraffic(direction string) *traffic {
	counters := &traffic{}
	for kind := peer.Kind(0); int(kind) <= len(peer.Kinds()); kind++ {
		labels := fmt.Sprintf("{direction=%q,kind=%q}", direction, kind)
		counters.frames = append(counters.frames, metrics.GetOrCreateCounter("ravenway_peer_frames_total"+labels))
		counters.bytes = append(counters.bytes, metrics.GetOrCreateCounter("ravenway_peer_bytes_total"+labels))
		counters.loggedBytes = append(counters.loggedBytes, 0)
	}
	return counters
}

func (t *traffic) record(kind peer.Kind, size int) {
	t.allBytes.Add(int64(size))
	if int(kind) < len(t.frames) {
		t.frames[kind].Inc()
		t.bytes[kind].Add(size)
	}
}

// describe returns the bytes of each kind since the last call, without kinds that had none.
func (t *traffic) describe() *zerolog.Event {
	line := zerolog.Dict()
	for kind := range t.bytes {
		now := t.bytes[kind].Get()
		if grown := now - t.loggedBytes[kind]; grown > 0 {
			line = line.Uint64(peer.Kind(kind).String(), grown)
		}
		t.loggedBytes[kind] = now
	}
	return line
}
