package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// recordOf returns the record of a request that was in flight at a number of crashes, as nodes send
// it to each other.
func recordOf(crashes int) quarantine.Record {
	tracker := quarantine.NewTracker(quarantine.Options{})
	for number := range crashes {
		tracker.Report(0, quarantine.CrashReport{
			Fingerprint: quarantine.FingerprintOf(quarantine.ScopeOf("sepu93.example/dera112/2f", "zile830"), []byte("body")),
			Incarnation: registry.Incarnation{ID: fmt.Sprintf("i-28b412f9f%d", number), StartedAt: 1764719254000}, Suspicion: quarantine.Likely,
			Route: "r-n6ejreu", Tenant: "zile830",
		})
	}
	return tracker.Records(0)[0]
}

// Limits the traffic that an engine's crash causes: a crash report of each interrupted run
// to each control node, and for each request that all nodes must know its record to each node. One
// incident at eight nodes had 47 crashes within 40 s, with 7.7 interrupted runs each on average.
func TestQuarantineRecordOfACrashIsSmall(t *testing.T) {
	for crashes, maximum := range map[int]int{1: 90, 3: 150, 8: 300} {
		frame, err := peer.Encode(peer.KindQuarantine, &quarantineMessage{Records: []quarantine.Record{recordOf(crashes)}})
		assert.NilError(t, err)
		t.Logf("%d crashes: %d bytes", crashes, len(frame))
		assert.Assert(t, len(frame) <= maximum, "%d crashes: %d bytes", crashes, len(frame))
	}
}
