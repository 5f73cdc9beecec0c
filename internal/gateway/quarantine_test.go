package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// recordOf is a request at some ends, as nodes tell each other of it.
func recordOf(ends int) quarantine.Record {
	tracker := quarantine.NewTracker(quarantine.Options{})
	for number := range ends {
		tracker.Report(0, quarantine.CrashReport{
			Fingerprint: quarantine.FingerprintOf(quarantine.ScopeOf("sepu93.example/dera112/2f", "zile830"), []byte("body")),
			Incarnation: registry.Life{ID: fmt.Sprintf("i-28b412f9f%d", number), Born: 1764719254000}, Suspicion: quarantine.Likely,
			Route: "r-n6ejreu", Tenant: "zile830",
		})
	}
	return tracker.Records(0)[0]
}

// What an engine's end costs in traffic: the evidence of each broken run to each control
// node, and of each request that all are told of its record to each node. In the incident
// 47 ends had 7.7 broken runs in the mean, within 40 s at eight nodes.
func TestWordOfARequestAtAnEngineEndIsSmall(t *testing.T) {
	for ends, most := range map[int]int{1: 90, 3: 150, 8: 300} {
		frame, err := peer.Encode(peer.KindQuarantine, &quarantineMessage{Records: []quarantine.Record{recordOf(ends)}})
		assert.NilError(t, err)
		t.Logf("%d ends: %d bytes", ends, len(frame))
		assert.Assert(t, len(frame) <= most, "%d ends: %d bytes", ends, len(frame))
	}
}
