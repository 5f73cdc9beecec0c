package forward

import (
	"errors"
	"syscall"

	"github.com/ravenway/ravenway/internal/coordination/enginepath"
)

// EnginePaths tracks which engines this node can connect to.
type EnginePaths interface {
	// RecordDial records the result of an attempt to connect to the engine at an address.
	RecordDial(address string, outcome enginepath.Outcome)
}

type noEnginePaths struct{}

func (noEnginePaths) RecordDial(string, enginepath.Outcome) {}

// dialOutcome returns what the result of a dial indicates about the path to the engine.
func dialOutcome(err error) enginepath.Outcome {
	switch {
	case err == nil:
		return enginepath.Connected
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return enginepath.Refused
	}
	return enginepath.Silent
}
