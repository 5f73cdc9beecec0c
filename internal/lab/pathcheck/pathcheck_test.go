package pathcheck

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRuleOnPartitionedNodes(t *testing.T) {
	for name, row := range map[string]struct {
		partitioned, others Attempts
		isBroken            bool
	}{
		"seen in the incident":             {Attempts{173, 7}, Attempts{154, 153}, true},
		"served alike":                     {Attempts{100, 99}, Attempts{100, 100}, false},
		"just two thirds":                  {Attempts{300, 200}, Attempts{100, 100}, false},
		"below two thirds":                 {Attempts{300, 199}, Attempts{100, 100}, true},
		"few failures":                     {Attempts{12, 0}, Attempts{100, 100}, false},
		"one failure more":                 {Attempts{13, 0}, Attempts{87, 87}, true},
		"the others are served no better":  {Attempts{100, 10}, Attempts{100, 12}, false},
		"no attempts at partitioned nodes": {Attempts{0, 0}, Attempts{100, 100}, false},
	} {
		assert.Check(t, IsBroken(row.partitioned, row.others) == row.isBroken, name)
	}
}
