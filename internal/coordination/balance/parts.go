package balance

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maximumHeld is how many parts are remembered for an instance before old
	// ones are looked for.
	maximumHeld = 256
	// heldFor is how long a part counts as held where it was last sent.
	heldFor = 15 * time.Second
	// maximumSpilled bounds the parts told of in one report, and those that wait
	// for it.
	maximumSpilled = 128
	// encodedPartBytes is the length of one part in a report.
	encodedPartBytes = 8
)

// PartKey is a short name of a prompt part in reports. Two parts with the same
// key only look held where one of them is.
type PartKey uint32

func keyOfPart(part string) PartKey { return PartKey(xxhash.Sum64String(part)) }

// HeldPart tells that an instance other than its home was sent a prompt part.
type HeldPart struct {
	Part     PartKey
	Instance InstanceKey
}

// encodeParts packs parts: 4 bytes of each key.
func encodeParts(parts []HeldPart) []byte {
	encoded := make([]byte, 0, len(parts)*encodedPartBytes)
	for _, one := range parts {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(one.Part))
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(one.Instance))
	}
	return encoded
}

// decodeParts reads what encodeParts wrote; a torn end is passed over.
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

// appendParts keeps the newest parts within the bound.
func appendParts(parts, more []HeldPart) []HeldPart {
	parts = append(parts, more...)
	return parts[max(0, len(parts)-maximumSpilled):]
}

// TakeSpilled returns the parts that this node sent elsewhere than to their
// homes since the last call.
func (t *Table) TakeSpilled() []HeldPart {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	spilled := t.spilled
	t.spilled = nil
	return spilled
}

// NoteHeld notes parts that other nodes sent elsewhere than to their homes.
func (t *Table) NoteHeld(now time.Duration, parts []HeldPart) {
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
		if holder := byKey[part.Instance]; holder != nil {
			holder.hold(now, part.Part)
		}
	}
}

// hold notes that a part was sent here, and forgets those of long ago.
func (m *member) hold(now time.Duration, part PartKey) {
	if len(m.held) > maximumHeld {
		for known, at := range m.held {
			if now-at > heldFor {
				delete(m.held, known)
			}
		}
	}
	m.held[part] = now
}

func (m *member) holds(now time.Duration, part PartKey) bool {
	at, found := m.held[part]
	return found && now-at <= heldFor
}
