package labcli

import (
	"context"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/lab/simulate"
)

// Guards against an empty table for a policy or a scenario that does not exist.
func TestUnknownChoicesAreRefused(t *testing.T) {
	for _, arguments := range [][]string{
		{"backoff", "--only", "none"},
		{"backoff", "--scenario", "third", "--scenario", "none"},
		{"limits", "--only", "none"},
	} {
		command := backoffCommand(io.Discard)
		if arguments[0] == "limits" {
			command = limitsCommand(io.Discard)
		}
		err := command.Run(context.Background(), append(arguments, "--seeds", "1", "--nodes", "1"))
		assert.ErrorContains(t, err, `unknown value "none"; known values are [`, "%q", arguments)
	}
}

func TestChoicesAreThoseNamedOrAll(t *testing.T) {
	chosen, err := selectChoices("only", nil, limitPolicies)
	assert.NilError(t, err)
	assert.DeepEqual(t, chosen, limitPolicies)
	chosen, err = selectChoices("only", []string{string(simulate.FewSenders)}, limitPolicies)
	assert.NilError(t, err)
	assert.DeepEqual(t, chosen, []simulate.LimitPolicy{simulate.FewSenders})
}
