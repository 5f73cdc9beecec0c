package versions

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/logs"
)

func line(t *testing.T, second float64, node string, version int) logs.Line {
	t.Helper()
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(second * float64(time.Second)))
	read, valid := logs.Parse(fmt.Sprintf("time=%s node=%s event=document_in_force version=%d asks=%d", at.Format(time.RFC3339Nano), node, version, version))
	assert.Assert(t, valid)
	return read
}

func TestSlowestNodesOfEachVersionAreNamed(t *testing.T) {
	report, err := Read([]logs.Line{
		line(t, 1.0, "control", 1), line(t, 1.1, "near", 1), line(t, 3.5, "far", 1),
		line(t, 5, "near", 2), line(t, 4, "control", 2),
		// The node was down: the time until its restart is not a delay.
		line(t, 60, "off", 2), line(t, 61, "near", 2),
	}, 10*time.Second)
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, report.Print(&out))
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(rows), 3)
	assert.Equal(t, strings.Join(strings.Fields(rows[1]), " "), "1 0s 3 100ms 100ms 2.5s control 0s (1), near 100ms (1), far 2.5s (1)")
	assert.Equal(t, strings.Join(strings.Fields(rows[2]), " "), "2 3s 2 0s 0s 1s control 0s (2), near 1s (2)")
}

func TestReadFailsWithoutLines(t *testing.T) {
	_, err := Read(nil, time.Second)
	assert.ErrorContains(t, err, "no line")
}
