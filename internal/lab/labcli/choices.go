package labcli

import (
	"fmt"
	"slices"
)

// selectChoices returns the named choices of a flag, or all choices if none is named.
func selectChoices[Choice ~string](flag string, named []string, all []Choice) ([]Choice, error) {
	if len(named) == 0 {
		return all, nil
	}
	chosen := make([]Choice, 0, len(named))
	for _, name := range named {
		if !slices.Contains(all, Choice(name)) {
			return nil, fmt.Errorf("--%s: unknown value %q; known values are %q", flag, name, all)
		}
		chosen = append(chosen, Choice(name))
	}
	return chosen, nil
}
