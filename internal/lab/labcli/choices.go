package labcli

import (
	"fmt"
	"slices"
)

// choose returns what is named of all choices of a flag; all of them if nothing is.
func choose[Choice ~string](flag string, named []string, all []Choice) ([]Choice, error) {
	if len(named) == 0 {
		return all, nil
	}
	chosen := make([]Choice, 0, len(named))
	for _, name := range named {
		if !slices.Contains(all, Choice(name)) {
			return nil, fmt.Errorf("--%s: there is no %q, only %q", flag, name, all)
		}
		chosen = append(chosen, Choice(name))
	}
	return chosen, nil
}
