package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// recordHeaderBytes is the size of a record's header: length (4 bytes) and checksum (4 bytes).
	recordHeaderBytes = 8
	// MaximumRecordBytes bounds the size of one record; a longer length in a header is corruption.
	MaximumRecordBytes = 64 << 20
)

// checksumTable is the table of CRC-32C, which processors compute in hardware.
var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// EntryKind is the kind of a log entry's data.
type EntryKind uint8

const (
	// EntryCommand entries hold a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryConfiguration entries hold the group's membership.
	EntryConfiguration
	// EntryEmpty entries are appended by a new leader to commit its predecessors' entries.
	EntryEmpty
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `msgpack:"i"`
	Term  uint64    `msgpack:"t"`
	Kind  EntryKind `msgpack:"k"`
	Data  []byte    `msgpack:"d"`
}

// HardState is the state besides the log that a replica must keep across restarts.
type HardState struct {
	Term   uint64 `msgpack:"t"`
	Vote   uint64 `msgpack:"v"`
	Commit uint64 `msgpack:"c"`
}

// Snapshot is the state up to and including Index. It replaces the log up to there.
type Snapshot struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
	// Configuration is the group's membership as of Index, encoded.
	Configuration []byte `msgpack:"c"`
	Data          []byte `msgpack:"d"`
}

// record is one record of a segment file: exactly one field is set.
type record struct {
	Entry     *Entry     `msgpack:"e,omitempty"`
	HardState *HardState `msgpack:"h,omitempty"`
}

// appendRecord encodes a record and appends its frame to buffer.
func appendRecord(buffer []byte, value record) ([]byte, error) {
	payload, err := msgpack.Marshal(&value)
	if err != nil {
		return nil, fmt.Errorf("encoding a journal record: %w", err)
	}
	return AppendFrame(buffer, payload)
}

// AppendFrame appends a payload with its length and checksum to buffer. It refuses a
// payload that could not be read back because it is too long.
func AppendFrame(buffer, payload []byte) ([]byte, error) {
	if len(payload) > MaximumRecordBytes {
		return nil, fmt.Errorf("a journal record has %d bytes; at most %d are allowed",
			len(payload), MaximumRecordBytes)
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.BigEndian.AppendUint32(buffer, crc32.Checksum(payload, checksumTable))
	return append(buffer, payload...), nil
}

// FrameAt returns the payload of the frame at the start of data and reports whether
// there is a complete frame with a correct checksum.
func FrameAt(data []byte) (payload []byte, valid bool) {
	if len(data) < recordHeaderBytes {
		return nil, false
	}
	length := binary.BigEndian.Uint32(data)
	if length == 0 || length > MaximumRecordBytes || int(length) > len(data)-recordHeaderBytes {
		return nil, false
	}
	payload = data[recordHeaderBytes : recordHeaderBytes+int(length)]
	if crc32.Checksum(payload, checksumTable) != binary.BigEndian.Uint32(data[4:]) {
		return nil, false
	}
	return payload, true
}

// decodeRecords calls visit with each record until the end or the first damaged frame. validBytes
// is the offset up to which everything is undamaged.
func decodeRecords(data []byte, visit func(record) error) (validBytes int, err error) {
	for validBytes < len(data) {
		payload, valid := FrameAt(data[validBytes:])
		if !valid {
			return validBytes, nil
		}
		var value record
		if err := msgpack.Unmarshal(payload, &value); err != nil {
			return validBytes, fmt.Errorf("decoding a record with a correct checksum at byte %d: %w", validBytes, err)
		}
		if err := visit(value); err != nil {
			return validBytes, fmt.Errorf("at byte %d: %w", validBytes, err)
		}
		validBytes += recordHeaderBytes + len(payload)
	}
	return validBytes, nil
}

// containsLaterFrame reports whether a complete undamaged frame starts anywhere in data
// after its first byte. There is none after a torn tail, but there are some after damage in
// the middle of a file.
func containsLaterFrame(data []byte) bool {
	for offset := 1; offset+recordHeaderBytes < len(data); offset++ {
		if _, valid := FrameAt(data[offset:]); valid {
			return true
		}
	}
	return false
}
