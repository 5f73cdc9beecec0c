package operatorcli

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

func TestListOfPathsShowsUnreachedEnginesAndRelays(t *testing.T) {
	var out bytes.Buffer
	s := &session{out: &out}
	s.printPaths(&ravenwayv1.GetPathsResponse{
		Lost: true, LostMilliseconds: 4200, RelayedForOthers: 2,
		Engines: []*ravenwayv1.EnginePath{{
			Address: "10.1.64.7:8120", Instance: "i-7", Service: "model", LastAttempt: "silent", UnreachableMilliseconds: 4100, AgeMilliseconds: 250,
		}},
		Relays: []*ravenwayv1.RelayUse{{Node: "10.1.0.3:7240", Connections: 5}},
	})
	var rows []string
	for line := range strings.Lines(out.String()) {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	assert.DeepEqual(t, rows, []string{
		"the own path to engines has been lost for 4.2s; 2 connections are relayed for other nodes",
		"ENGINE INSTANCE SERVICE LAST ATTEMPT UNREACHABLE FOR AGE RELAYS PREFERRED FOR",
		"10.1.64.7:8120 i-7 model silent 4.1s 250ms 0s",
		"RELAY CONNECTIONS",
		"10.1.0.3:7240 5",
	})
	out.Reset()
	s.printPaths(&ravenwayv1.GetPathsResponse{})
	assert.Assert(t, strings.HasPrefix(out.String(), "engines are reached; 0 connections are relayed for other nodes\n"), out.String())
}
