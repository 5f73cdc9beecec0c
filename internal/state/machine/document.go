package machine

import (
	"fmt"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
	"github.com/ravenway/ravenway/internal/state/document"
)

// DocumentCommand replaces the whole configuration with one of a higher version.
type DocumentCommand struct {
	Version uint64 `msgpack:"v"`
	// Raw is the document as the operator sent it, compressed, for reading it back.
	Raw []byte `msgpack:"r"`
	// Encoded is the document in the encoding that document.Decode reads.
	Encoded []byte `msgpack:"e"`
}

// DocumentOutcome is the result of a DocumentCommand.
type DocumentOutcome struct {
	// ActiveVersion is the version that is active after the command.
	ActiveVersion uint64 `msgpack:"h"`
	// Activated reports whether the command made its version the active one. It is false for
	// a version at or below the active one, which changes nothing.
	Activated bool `msgpack:"t"`
}

// ActiveDocument is the active configuration document, with the fields of the command that
// activated it. Its content must not be changed.
type ActiveDocument struct {
	Version uint64 `msgpack:"v"`
	Raw     []byte `msgpack:"r"`
	Encoded []byte `msgpack:"e"`
}

// CloseIncarnationsCommand closes the accounts of node incarnations that are known to have ended
// and charges the tokens that they may have spent.
type CloseIncarnationsCommand struct {
	Incarnations []accounts.HolderID `msgpack:"l"`
	// TimesSinceContact are upper bounds on the incarnations' time without contact to the root, in
	// the order of Incarnations. An incarnation without one may have spent all that it held.
	TimesSinceContact []time.Duration `msgpack:"s"`
}

// Document returns the active document; its version is 0 before the first document.
func (m *Machine) Document() ActiveDocument { return m.document }

// applyDocument keeps the highest version: an accepted document is never reverted to an older one.
func (m *Machine) applyDocument(command *DocumentCommand) Result {
	if command.Version <= m.document.Version {
		return Result{Document: &DocumentOutcome{ActiveVersion: m.document.Version}}
	}
	decoded, err := document.Decode(command.Encoded)
	if err != nil {
		return Result{Refused: fmt.Sprintf("version %d can't be read: %v", command.Version, err)}
	}
	m.document = ActiveDocument{Version: command.Version, Raw: command.Raw, Encoded: command.Encoded}
	for _, tenant := range decoded.Tenants {
		if tenant.HasPrepaid {
			m.accounts.SetLimit(tenant.Name, tenant.Prepaid)
		}
	}
	return Result{Document: &DocumentOutcome{ActiveVersion: command.Version, Activated: true}}
}

func (m *Machine) applyCloseIncarnations(command *CloseIncarnationsCommand) Result {
	for position, incarnation := range command.Incarnations {
		sinceContact := accounts.UnknownTimeSinceContact
		if position < len(command.TimesSinceContact) {
			sinceContact = command.TimesSinceContact[position]
		}
		m.accounts.CloseCrashed(incarnation, sinceContact)
	}
	return Result{}
}
