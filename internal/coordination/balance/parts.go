package balance

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// heldPartsPruneThreshold is the number of parts recorded for an instance above which expired
	// ones are removed.
	heldPartsPruneThreshold = 256
	// heldPartLifetime is how long an instance counts as holding a part after the part was last
	// sent to it.
	heldPartLifetime = 15 * time.Second
	// maximumSpilledParts bounds the number of parts in one report and of those that wait for the
	// next one.
	maximumSpilledParts = 128
	// encodedPartBytes is the encoded length of one part.
	encodedPartBytes = 8
)

// PartKey is a 32-bit hash that identifies a prompt part in reports. Of two parts with the same
// key, both appear to be held where one of them is, which is the only effect of a collision.
type PartKey uint32

func keyOfPart(part string) PartKey { return PartKey(xxhash.Sum64String(part)) }

// HeldPart records that a prompt part was sent to an instance other than its home.
type HeldPart struct {
	Part     PartKey
	Instance InstanceKey
}

// encodeParts packs parts, each as 4 bytes of part key and 4 bytes of instance key.
func encodeParts(parts []HeldPart) []byte {
	encoded := make([]byte, 0, len(parts)*encodedPartBytes)
	for _, one := range parts {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(one.Part))
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(one.Instance))
	}
	return encoded
}

// decodeParts decodes the output of encodeParts. An incomplete entry at the end is ignored.
func decodeParts(encoded []byte) []HeldPart {
	parts := make([]HeldPart, 0, len(encoded)/encodedPartBytes)
	for len(encoded) >= encodedPartBytes {
		parts = append(parts, HeldPart{
			Part: PartKey(binary.BigEndian.Uint32(encoded)), Instance: InstanceKey(binary.BigEndian.Uint32(encoded[4:])),
		})
		encoded = encoded[encodedPartBytes:]
	}
	return parts
}

// appendParts appends parts and keeps the newest ones, up to maximumSpilledParts.
func appendParts(parts, more []HeldPart) []HeldPart {
	parts = append(parts, more...)
	return parts[max(0, len(parts)-maximumSpilledParts):]
}

// TakeSpilled returns the parts that this node sent to other instances than their homes since the
// last call.
func (t *Table) TakeSpilled() []HeldPart {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	spilled := t.spilled
	t.spilled = nil
	return spilled
}

// RecordHeldParts records parts that other nodes sent to other instances than their homes.
func (t *Table) RecordHeldParts(now time.Duration, parts []HeldPart) {
	if len(parts) == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	byKey := make(map[InstanceKey]*member, len(t.members))
	for _, one := range t.members {
		byKey[one.key] = one
	}
	for _, part := range parts {
		if instance := byKey[part.Instance]; instance != nil {
			instance.noteHeld(now, part.Part)
		}
	}
}

// noteHeld records that a part was sent to the instance, and removes expired parts if there are
// many.
func (m *member) noteHeld(now time.Duration, part PartKey) {
	if len(m.heldParts) > heldPartsPruneThreshold {
		for known, at := range m.heldParts {
			if now-at > heldPartLifetime {
				delete(m.heldParts, known)
			}
		}
	}
	m.heldParts[part] = now
}

func (m *member) holds(now time.Duration, part PartKey) bool {
	at, found := m.heldParts[part]
	return found && now-at <= heldPartLifetime
}
