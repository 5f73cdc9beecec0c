package machine

import (
	"fmt"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
	"github.com/ravenway/ravenway/internal/state/document"
)

// DocumentCommand replaces the whole configuration by one with a higher version.
type DocumentCommand struct {
	Version uint64 `msgpack:"v"`
	// Raw is the document as the operator sent it, packed, for reading it back.
	Raw []byte `msgpack:"r"`
	// Encoded is the document as document.Decode reads it.
	Encoded []byte `msgpack:"e"`
}

// DocumentOutcome is the answer to a DocumentCommand.
type DocumentOutcome struct {
	// Held is the version held afterwards.
	Held uint64 `msgpack:"h"`
	// Taken tells that this command put its version in force. It is false for
	// a version at or below the one held, which changes nothing.
	Taken bool `msgpack:"t"`
}

// HeldDocument is the configuration document in force. Its content must not
// be changed.
type HeldDocument struct {
	Version uint64 `msgpack:"v"`
	Raw     []byte `msgpack:"r"`
	Encoded []byte `msgpack:"e"`
}

// CloseLivesCommand ends lives of nodes that are known to be over. What they may
// have spent is charged.
type CloseLivesCommand struct {
	Lives []accounts.HolderID `msgpack:"l"`
	// Silences are bounds on the lives' time without the root, one for each; a
	// life without one may have spent all that it held.
	Silences []time.Duration `msgpack:"s"`
}

// Document returns the document in force; its version is 0 before the first.
func (m *Machine) Document() HeldDocument { return m.document }

// applyDocument keeps the highest version: what was accepted never reverts.
func (m *Machine) applyDocument(command *DocumentCommand) Result {
	if command.Version <= m.document.Version {
		return Result{Document: &DocumentOutcome{Held: m.document.Version}}
	}
	decoded, err := document.Decode(command.Encoded)
	if err != nil {
		return Result{Refused: fmt.Sprintf("version %d can't be read: %v", command.Version, err)}
	}
	m.document = HeldDocument{Version: command.Version, Raw: command.Raw, Encoded: command.Encoded}
	for _, tenant := range decoded.Tenants {
		if tenant.HasPrepaid {
			m.accounts.SetLimit(tenant.Name, tenant.Prepaid)
		}
	}
	return Result{Document: &DocumentOutcome{Held: command.Version, Taken: true}}
}

func (m *Machine) applyCloseLives(command *CloseLivesCommand) Result {
	for position, life := range command.Lives {
		silence := accounts.UnknownSilence
		if position < len(command.Silences) {
			silence = command.Silences[position]
		}
		m.accounts.End(life, silence)
	}
	return Result{}
}
