// Package journal stores a replica's log, hard state and snapshots in files.
//
// Records are appended to segment files, each with its length and checksum. A
// record is durable only after Sync, which syncs the file; the directory entry of
// a new segment is synced before records in it become durable. A snapshot is
// written to a temporary file, synced and renamed; segments that it covers are then
// removed.
//
// Open truncates a tail that was torn by a crash. On damage anywhere else it returns
// an error with the file and the byte: records after the damage may have been
// acknowledged to other replicas, so continuing without them could lose committed
// entries.
package journal

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ravenway/ravenway/internal/state/disk"
)

const (
	segmentPrefix  = "journal-"
	segmentSuffix  = ".log"
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".snap"
	// DefaultSegmentBytes is the size at which a new segment is started, in bytes.
	DefaultSegmentBytes = 4 << 20
	// maximumSnapshots is the number of snapshots that are kept, including the newest.
	maximumSnapshots = 2
)

// CorruptionError reports damage that a crash can't have caused.
type CorruptionError struct {
	File   string
	Offset int
	Detail string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("journal file %s is damaged at byte %d (%s): this replica's copy of the log can't be trusted; "+
		"move the data folder away and start with an empty one, so that the replica rejoins as a learner", e.File, e.Offset, e.Detail)
}

// Recovered is the state that Open read from the files.
type Recovered struct {
	HardState HardState
	// Snapshot is the newest snapshot, nil before the first.
	Snapshot *Snapshot
	// Entries are the log entries after the snapshot, without a gap.
	Entries []Entry
	// TornBytes is the number of bytes that were truncated from the newest segment.
	TornBytes int
	// RecordsRead is the number of decoded records, for checking the cost of a start.
	RecordsRead int

	// replacedSequence is the ReplacedSequence of the newest snapshot, 0 without a snapshot.
	replacedSequence uint64
}

// storedSnapshot is the content of a snapshot file.
type storedSnapshot struct {
	Snapshot
	// ReplacedSequence is the sequence number of the newest segment whose entries this
	// snapshot replaces regardless of their index: the local log after a snapshot that
	// was received from a leader may conflict with the leader's. As part of the renamed
	// file, it takes effect together with the snapshot.
	ReplacedSequence uint64 `msgpack:"r"`
}

// Journal is a replica's journal, open for appending. It is not safe for concurrent use:
// the replica's duty, one goroutine with a mailbox, owns it.
type Journal struct {
	fileSystem   disk.FileSystem
	segmentBytes int
	// current is the newest segment's file, currentSize its size in bytes.
	current     disk.File
	currentName string
	currentSize int
	// buffer holds the appended records that Sync has not written yet.
	buffer []byte
	// segments are all segments, oldest first.
	segments  []segment
	hardState HardState
	lastIndex uint64
}

// segment is one segment file. Its first index is the lowest that the file may hold.
type segment struct {
	name       string
	firstIndex uint64
	// sequence orders segments that start at the same index.
	sequence uint64
}

// Open reads the journal and opens it for appending. segmentBytes is the size at which a new
// segment is started; 0 or less means DefaultSegmentBytes.
func Open(fileSystem disk.FileSystem, segmentBytes int) (*Journal, *Recovered, error) {
	if segmentBytes <= 0 {
		segmentBytes = DefaultSegmentBytes
	}
	journal := &Journal{fileSystem: fileSystem, segmentBytes: segmentBytes}
	names, err := fileSystem.List()
	if err != nil {
		return nil, nil, fmt.Errorf("listing the data folder: %w", err)
	}
	recovered := &Recovered{}
	stored, err := newestSnapshot(fileSystem, names)
	if err != nil {
		return nil, nil, err
	}
	if stored != nil {
		recovered.Snapshot = &stored.Snapshot
		recovered.replacedSequence = stored.ReplacedSequence
	}
	if journal.segments, err = listSegments(names); err != nil {
		return nil, nil, err
	}
	if err := journal.readSegments(recovered); err != nil {
		return nil, nil, err
	}
	journal.hardState = recovered.HardState
	journal.lastIndex = recovered.lastIndex()
	if err := journal.beginSegment(journal.lastIndex + 1); err != nil {
		return nil, nil, err
	}
	return journal, recovered, nil
}

func (r *Recovered) lastIndex() uint64 {
	if count := len(r.Entries); count > 0 {
		return r.Entries[count-1].Index
	}
	if r.Snapshot != nil {
		return r.Snapshot.Index
	}
	return 0
}

// Append buffers a hard state (nil if unchanged) and entries. An entry whose
// index is already in the journal replaces that entry and all later ones. Nothing
// is durable before Sync.
func (j *Journal) Append(hard *HardState, entries []Entry) error {
	var err error
	for position := range entries {
		if j.buffer, err = appendRecord(j.buffer, record{Entry: &entries[position]}); err != nil {
			return err
		}
		j.lastIndex = entries[position].Index
	}
	if hard == nil {
		return nil
	}
	j.hardState = *hard
	j.buffer, err = appendRecord(j.buffer, record{HardState: hard})
	return err
}

// Sync writes all appended records and makes them durable with a single sync.
func (j *Journal) Sync() error {
	if len(j.buffer) == 0 {
		return nil
	}
	if _, err := j.current.Write(j.buffer); err != nil {
		return fmt.Errorf("writing journal file %s: %w", j.currentName, err)
	}
	if err := j.current.Sync(); err != nil {
		return fmt.Errorf("syncing journal file %s: %w", j.currentName, err)
	}
	j.currentSize += len(j.buffer)
	j.buffer = j.buffer[:0]
	if j.currentSize >= j.segmentBytes {
		return j.beginSegment(j.lastIndex + 1)
	}
	return nil
}

// SaveSnapshot makes a snapshot durable, then removes the segments and older
// snapshots that it replaces. resetLog indicates that the whole log was dropped,
// including entries after the snapshot (for a snapshot received from the leader).
func (j *Journal) SaveSnapshot(snapshot Snapshot, resetLog bool) error {
	if err := j.Sync(); err != nil {
		return err
	}
	stored := storedSnapshot{Snapshot: snapshot}
	if resetLog {
		stored.ReplacedSequence = j.segments[len(j.segments)-1].sequence
	}
	payload, err := msgpack.Marshal(&stored)
	if err != nil {
		return fmt.Errorf("encoding a snapshot: %w", err)
	}
	framed, err := AppendFrame(nil, payload)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%020d%s", snapshotPrefix, snapshot.Index, snapshotSuffix)
	if err := disk.WriteFileSynced(j.fileSystem, name, framed); err != nil {
		return fmt.Errorf("writing snapshot %s: %w", name, err)
	}
	if resetLog {
		j.lastIndex = snapshot.Index
	}
	if err := j.beginSegment(j.lastIndex + 1); err != nil {
		return err
	}
	return j.removeCovered(snapshot.Index, stored.ReplacedSequence)
}

// Close syncs and closes the journal.
func (j *Journal) Close() error {
	return errors.Join(j.Sync(), j.current.Close())
}

// beginSegment creates a segment file and syncs its directory entry. It repeats the hard
// state in the file, so that older segments can be removed.
func (j *Journal) beginSegment(firstIndex uint64) error {
	if j.current != nil {
		if err := j.current.Close(); err != nil {
			return fmt.Errorf("closing journal file %s: %w", j.currentName, err)
		}
	}
	next := segment{firstIndex: firstIndex, sequence: 1}
	if count := len(j.segments); count > 0 {
		next.sequence = j.segments[count-1].sequence + 1
	}
	next.name = fmt.Sprintf("%s%020d-%020d%s", segmentPrefix, next.sequence, firstIndex, segmentSuffix)
	file, err := j.fileSystem.Append(next.name)
	if err != nil {
		return fmt.Errorf("creating journal file %s: %w", next.name, err)
	}
	header, err := appendRecord(nil, record{HardState: &j.hardState})
	if err != nil {
		return err
	}
	if _, err := file.Write(header); err != nil {
		return fmt.Errorf("writing journal file %s: %w", next.name, err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("syncing journal file %s: %w", next.name, err)
	}
	if err := j.fileSystem.SyncFolder(); err != nil {
		return fmt.Errorf("syncing the data folder: %w", err)
	}
	j.current, j.currentName, j.currentSize = file, next.name, len(header)
	j.segments = append(j.segments, next)
	return nil
}

// removeCovered removes the segments whose entries all have indexes up to index, those
// that were replaced as a whole, and snapshots beyond the number that is kept.
func (j *Journal) removeCovered(index, replacedSequence uint64) error {
	for len(j.segments) > 1 && (j.segments[1].firstIndex <= index+1 || j.segments[0].sequence <= replacedSequence) {
		if err := j.fileSystem.Remove(j.segments[0].name); err != nil {
			return fmt.Errorf("removing journal file %s: %w", j.segments[0].name, err)
		}
		j.segments = j.segments[1:]
	}
	names, err := j.fileSystem.List()
	if err != nil {
		return fmt.Errorf("listing the data folder: %w", err)
	}
	snapshots := snapshotNames(names)
	for position := 0; position+maximumSnapshots < len(snapshots); position++ {
		if err := j.fileSystem.Remove(snapshots[position]); err != nil {
			return fmt.Errorf("removing snapshot %s: %w", snapshots[position], err)
		}
	}
	return j.fileSystem.SyncFolder()
}

func (j *Journal) readSegments(recovered *Recovered) error {
	if recovered.Snapshot != nil {
		recovered.HardState.Commit = recovered.Snapshot.Index
		recovered.HardState.Term = recovered.Snapshot.Term
	}
	for position, file := range j.segments {
		data, err := j.fileSystem.ReadFile(file.name)
		if err != nil {
			return fmt.Errorf("reading journal file %s: %w", file.name, err)
		}
		add := recovered.addRecord
		if file.sequence <= recovered.replacedSequence {
			add = recovered.addHardState
		}
		validBytes, err := decodeRecords(data, add)
		if err != nil {
			return &CorruptionError{File: file.name, Offset: validBytes, Detail: err.Error()}
		}
		if validBytes == len(data) {
			if err := j.syncSegment(file.name); err != nil {
				return err
			}
			continue
		}
		if position < len(j.segments)-1 || containsLaterFrame(data[validBytes:]) {
			return &CorruptionError{File: file.name, Offset: validBytes, Detail: "a record has a wrong checksum, and valid records follow it"}
		}
		if err := j.fileSystem.Truncate(file.name, int64(validBytes)); err != nil {
			return fmt.Errorf("truncating the torn tail of journal file %s: %w", file.name, err)
		}
		recovered.TornBytes = len(data) - validBytes
	}
	return nil
}

// syncSegment makes the records that were read from a segment durable: the process that wrote
// them may have been killed before it synced, and this replica will act on them.
func (j *Journal) syncSegment(name string) error {
	file, err := j.fileSystem.Append(name)
	if err != nil {
		return fmt.Errorf("opening journal file %s: %w", name, err)
	}
	if err := file.Sync(); err != nil {
		return errors.Join(fmt.Errorf("syncing journal file %s: %w", name, err), file.Close())
	}
	return file.Close()
}

// addHardState adds a record of a segment whose entries were replaced by a snapshot: only its hard
// state counts.
func (r *Recovered) addHardState(value record) error {
	value.Entry = nil
	if value.HardState == nil {
		r.RecordsRead++
		return nil
	}
	return r.addRecord(value)
}

// addRecord adds one record that was read from a segment.
func (r *Recovered) addRecord(value record) error {
	r.RecordsRead++
	if value.HardState != nil {
		r.HardState = *value.HardState
		return nil
	}
	if value.Entry == nil {
		return errors.New("a record holds neither an entry nor a hard state")
	}
	entry := *value.Entry
	if r.Snapshot != nil && entry.Index <= r.Snapshot.Index {
		// The snapshot covers this entry. An entry also replaces all later ones, as when a
		// leader overwrote the log, so the entries read so far are dropped.
		r.Entries = nil
		return nil
	}
	for len(r.Entries) > 0 && r.Entries[len(r.Entries)-1].Index >= entry.Index {
		r.Entries = r.Entries[:len(r.Entries)-1]
	}
	if expected := r.lastIndex() + 1; entry.Index != expected {
		return fmt.Errorf("entry %d follows entry %d", entry.Index, expected-1)
	}
	r.Entries = append(r.Entries, entry)
	return nil
}

func listSegments(names []string) ([]segment, error) {
	var segments []segment
	for _, name := range names {
		middle, found := strings.CutPrefix(name, segmentPrefix)
		if !found {
			continue
		}
		sequenceText, firstText, found := strings.Cut(strings.TrimSuffix(middle, segmentSuffix), "-")
		sequence, sequenceErr := strconv.ParseUint(sequenceText, 10, 64)
		firstIndex, firstErr := strconv.ParseUint(firstText, 10, 64)
		if !found || sequenceErr != nil || firstErr != nil {
			return nil, &CorruptionError{File: name, Detail: "the name of the segment file is not valid"}
		}
		segments = append(segments, segment{name: name, firstIndex: firstIndex, sequence: sequence})
	}
	return segments, nil
}

func snapshotNames(names []string) []string {
	var snapshots []string
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && strings.HasSuffix(name, snapshotSuffix) {
			snapshots = append(snapshots, name)
		}
	}
	return snapshots
}

// newestSnapshot reads the newest snapshot. Snapshot files are renamed into place
// only after they were synced, so damage in one is never a torn write.
func newestSnapshot(fileSystem disk.FileSystem, names []string) (*storedSnapshot, error) {
	snapshots := snapshotNames(names)
	if len(snapshots) == 0 {
		return nil, nil
	}
	name := snapshots[len(snapshots)-1]
	data, err := fileSystem.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("reading snapshot %s: %w", name, err)
	}
	payload, valid := FrameAt(data)
	if !valid {
		return nil, &CorruptionError{File: name, Detail: "the checksum of the snapshot is wrong"}
	}
	var snapshot storedSnapshot
	if err := msgpack.Unmarshal(payload, &snapshot); err != nil {
		return nil, &CorruptionError{File: name, Detail: err.Error()}
	}
	return &snapshot, nil
}
