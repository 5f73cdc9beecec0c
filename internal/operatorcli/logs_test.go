package operatorcli

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/logs"
)

const sampleLog = `   8.6936 front-a-1 time=2026-06-20T19:05:40Z level=info node=front-a-1 event=instance how=merged instance=i-1 state=gone
time=2026-06-20T19:05:41Z level=info node=front-a-1 event=instance how=merged instance=i-2 state=ready
time=2026-06-20T19:05:41Z level=info node=front-b-1 event=instance how=merged instance=i-9 state=ready
time=2026-06-20T19:05:42Z level=info node=front-a-1 event=attempt error="read tcp: i/o timeout" instance=i-1 request=r1 result=no_answer
time=2026-06-20T19:05:42Z level=info node=front-a-1 event=refused detail="" reason=outcome_unknown request=r1 status=502 tenant=t
time=2026-06-20T19:05:43Z level=info node=front-a-1 event=refused reason=timeout request=r2 status=504
time=2026-06-20T19:09:43Z level=info node=front-a-1 event=stopping
no line of ours`

func TestExplainFromLogsShowsTheRequestsLinesAndRelatedOnes(t *testing.T) {
	var lines []logs.Line
	for text := range strings.Lines(sampleLog) {
		if line, valid := logs.Parse(text); valid {
			lines = append(lines, line)
		}
	}
	assert.Equal(t, len(lines), 7)
	assert.Equal(t, lines[3].Fields["error"], "read tcp: i/o timeout")
	var out bytes.Buffer
	assert.NilError(t, explainFromLogs(&out, lines, "r1"))
	text := out.String()
	assert.Assert(t, strings.Contains(text, "  time=2026-06-20T19:05:42Z level=info node=front-a-1 event=attempt"), text)
	assert.Assert(t, strings.Contains(text, "~    8.6936") || strings.Contains(text, "~ 8.6936"), text)
	assert.Assert(t, !strings.Contains(text, "i-9") && !strings.Contains(text, "r2") && !strings.Contains(text, "stopping"), text)
	assert.Assert(t, strings.Contains(text, "status=502 reason=outcome_unknown"), text)
	assert.ErrorIs(t, explainFromLogs(&out, lines, "r9"), errNotInLogs)
}
