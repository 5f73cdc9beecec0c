// Package journal keeps a replica's log, hard state and snapshots in files.
//
// Records are appended to segment files with a length and a checksum each. A
// record counts as written only after Sync, which syncs the file; a new
// segment's name is synced before anything in it counts. A snapshot is written
// aside, synced and renamed; segments that it covers are then removed.
//
// On Open, a tail that was torn by a crash is cut. Damage anywhere else is a
// refusal to open that names the file and the byte: records behind it may have
// been acknowledged to other replicas, so going on would break a promise.
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
	// DefaultSegmentBytes is the size at which a new segment is begun.
	DefaultSegmentBytes = 4 << 20
	// snapshotsKept are how many snapshots are kept, the newest included.
	snapshotsKept = 2
)

// CorruptionError is damage that a crash cannot explain.
type CorruptionError struct {
	File   string
	Offset int
	Detail string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("journal file %s is damaged at byte %d (%s): this replica's copy of the log can't be trusted; "+
		"move the data folder aside and start with an empty one, so that it joins again as a learner", e.File, e.Offset, e.Detail)
}

// Recovered is what Open found.
type Recovered struct {
	HardState HardState
	// Snapshot is nil if none was written yet.
	Snapshot *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
	// TornBytes were cut from the end of the newest segment.
	TornBytes int
	// RecordsRead counts the records decoded, for bounding start-up cost.
	RecordsRead int

	replacedSequence uint64
}

// storedSnapshot is a snapshot as its file holds it.
type storedSnapshot struct {
	Snapshot
	// ReplacedSequence is the newest segment whose entries this snapshot
	// replaces whatever their index: a snapshot received from a leader may
	// contradict the log behind it. Being part of the renamed file, it takes
	// effect together with the snapshot.
	ReplacedSequence uint64 `msgpack:"r"`
}

// Journal is open for appending. It is not safe for concurrent use: the
// replica's duty owns it.
type Journal struct {
	fileSystem   disk.FileSystem
	segmentBytes int
	current      disk.File
	currentName  string
	currentSize  int
	buffer       []byte
	// segments are the names and first indexes of all segments, oldest first.
	segments []segment
	hard     HardState
	last     uint64
}

// segment is one file. Its first index is the lowest that it may hold.
type segment struct {
	name  string
	first uint64
	// sequence orders segments that begin at the same index.
	sequence uint64
}

// Open reads the journal and makes it ready for appending.
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
	journal.hard = recovered.HardState
	journal.last = recovered.lastIndex()
	if err := journal.beginSegment(journal.last + 1); err != nil {
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
// index is at most the last one replaces it and all behind it. Nothing counts
// before Sync.
func (j *Journal) Append(hard *HardState, entries []Entry) error {
	var err error
	for position := range entries {
		if j.buffer, err = appendRecord(j.buffer, record{Entry: &entries[position]}); err != nil {
			return err
		}
		j.last = entries[position].Index
	}
	if hard == nil {
		return nil
	}
	j.hard = *hard
	j.buffer, err = appendRecord(j.buffer, record{HardState: hard})
	return err
}

// Sync writes and syncs everything appended: many entries, one sync.
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
		return j.beginSegment(j.last + 1)
	}
	return nil
}

// SaveSnapshot makes a snapshot last, then removes the segments and older
// snapshots that it replaces. resetLog tells that the log's entries up to and
// beyond the snapshot were dropped (a snapshot received from the leader).
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
		j.last = snapshot.Index
	}
	if err := j.beginSegment(j.last + 1); err != nil {
		return err
	}
	return j.removeCovered(snapshot.Index, stored.ReplacedSequence)
}

// Close syncs and closes the journal.
func (j *Journal) Close() error {
	return errors.Join(j.Sync(), j.current.Close())
}

// beginSegment syncs a new file's name into the folder and repeats the hard
// state in it, so that older segments can go.
func (j *Journal) beginSegment(first uint64) error {
	if j.current != nil {
		if err := j.current.Close(); err != nil {
			return fmt.Errorf("closing journal file %s: %w", j.currentName, err)
		}
	}
	next := segment{first: first, sequence: 1}
	if count := len(j.segments); count > 0 {
		next.sequence = j.segments[count-1].sequence + 1
	}
	next.name = fmt.Sprintf("%s%020d-%020d%s", segmentPrefix, next.sequence, first, segmentSuffix)
	file, err := j.fileSystem.Append(next.name)
	if err != nil {
		return fmt.Errorf("creating journal file %s: %w", next.name, err)
	}
	header, err := appendRecord(nil, record{HardState: &j.hard})
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

// removeCovered removes segments whose entries all lie at or below index or
// that were replaced whole, and snapshots beyond those kept.
func (j *Journal) removeCovered(index, replacedSequence uint64) error {
	for len(j.segments) > 1 && (j.segments[1].first <= index+1 || j.segments[0].sequence <= replacedSequence) {
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
	for position := 0; position+snapshotsKept < len(snapshots); position++ {
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
		take := recovered.take
		if file.sequence <= recovered.replacedSequence {
			take = recovered.takeHardState
		}
		good, err := decodeRecords(data, take)
		if err != nil {
			return &CorruptionError{File: file.name, Offset: good, Detail: err.Error()}
		}
		if good == len(data) {
			if err := j.syncSegment(file.name); err != nil {
				return err
			}
			continue
		}
		if position < len(j.segments)-1 || anyFrameAfter(data[good:]) {
			return &CorruptionError{File: file.name, Offset: good, Detail: "a record's checksum does not match, and records follow it"}
		}
		if err := j.fileSystem.Truncate(file.name, int64(good)); err != nil {
			return fmt.Errorf("cutting the torn tail of journal file %s: %w", file.name, err)
		}
		recovered.TornBytes = len(data) - good
	}
	return nil
}

// syncSegment makes what was read from a segment last: the process that wrote
// it may have been killed before it synced, and what is read here is relied on.
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

// takeHardState reads a segment whose entries a snapshot has replaced.
func (r *Recovered) takeHardState(value record) error {
	value.Entry = nil
	if value.HardState == nil {
		r.RecordsRead++
		return nil
	}
	return r.take(value)
}

// take adds one record read from a segment.
func (r *Recovered) take(value record) error {
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
		// A leader may have replaced entries that the snapshot now covers.
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
		first, firstErr := strconv.ParseUint(firstText, 10, 64)
		if !found || sequenceErr != nil || firstErr != nil {
			return nil, &CorruptionError{File: name, Detail: "its name is not one that the journal gives"}
		}
		segments = append(segments, segment{name: name, first: first, sequence: sequence})
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

// newestSnapshot reads the newest snapshot. Snapshots are renamed into place
// only after they were synced, so a damaged one is never a torn write.
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
		return nil, &CorruptionError{File: name, Detail: "its checksum does not match"}
	}
	var snapshot storedSnapshot
	if err := msgpack.Unmarshal(payload, &snapshot); err != nil {
		return nil, &CorruptionError{File: name, Detail: err.Error()}
	}
	return &snapshot, nil
}
