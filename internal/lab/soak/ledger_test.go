package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check of the accounts that forgets what it read when the last read fails.
func TestFailedLastReadKeepsTheAccountsReadBefore(t *testing.T) {
	first, second := []ledgerEntry{{tenant: "t", settled: 1}}, []ledgerEntry{{tenant: "t", settled: 2}}
	for name, one := range map[string]struct {
		readings [][]ledgerEntry
		want     []ledgerEntry
	}{
		"the last read fails":                  {readings: [][]ledgerEntry{first, second, nil}, want: second},
		"two equal readings end the wait":      {readings: [][]ledgerEntry{first, first, second}, want: first},
		"a failed read between is not settled": {readings: [][]ledgerEntry{first, nil, first, second, nil}, want: second},
		"no read succeeds":                     {readings: [][]ledgerEntry{nil}, want: nil},
	} {
		reads := 0
		got := settledLedger(t.Context(), 50*time.Millisecond, time.Millisecond, func() []ledgerEntry {
			reading := one.readings[min(reads, len(one.readings)-1)]
			reads++
			return reading
		})
		assert.Equal(t, len(got), len(one.want), name)
		if len(one.want) > 0 {
			assert.Equal(t, got[0].settled, one.want[0].settled, name)
		}
	}
}
