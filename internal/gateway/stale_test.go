package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

func TestLinesOnStaleFramesAreBounded(t *testing.T) {
	var written bytes.Buffer
	stale := newStaleFrames(&Node{log: zerolog.New(&written)})
	frame, err := peer.Encode(peer.KindDocumentNotice, &peer.DocumentNotice{Version: 7})
	assert.NilError(t, err)
	for number := range maximumStaleLines + 5 {
		stale.record(fmt.Sprintf("node-%02d", number), frame, time.Duration(number)*time.Second)
	}
	stale.record("node-03", frame, time.Second)
	stale.summarize()
	lines := strings.Split(strings.TrimSpace(written.String()), "\n")
	assert.Equal(t, len(lines), maximumStaleLines+1)
	assert.Equal(t, lines[0], fmt.Sprintf(
		`{"level":"warn","event":"peer_frames_stale","peer":"node-03","kind":"document_notice","frames":2,"bytes":%d,"longest_wait_ms":3000}`, 2*len(frame)))
	assert.Equal(t, lines[maximumStaleLines], fmt.Sprintf(
		`{"level":"warn","event":"peer_frames_stale_others","receivers_and_kinds":5,"frames":5,"bytes":%d,"longest_wait_ms":20000}`, 5*len(frame)))
	written.Reset()
	stale.summarize()
	assert.Equal(t, written.Len(), 0)
}
