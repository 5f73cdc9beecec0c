package operatorcli

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

func TestListOfStreamsShowsVersionsWithoutInstances(t *testing.T) {
	var out bytes.Buffer
	s := &session{out: &out}
	s.printStreams(&ravenwayv1.GetStreamsResponse{Dropped: 3, Versions: []*ravenwayv1.StreamVersion{
		{Service: "model", Version: "v1", Streams: 12}, {Service: "model", Version: "v2", Streams: 5, Instances: 4},
	}})
	var rows []string
	for line := range strings.Lines(out.String()) {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	assert.DeepEqual(t, rows, []string{"SERVICE VERSION STREAMS INSTANCES", "model v1 12 0", "model v2 5 4", "3 records were dropped for want of space"})
}
