package journal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ravenway/ravenway/internal/state/disk"
)

func newDisk() *disk.Simulated {
	return disk.NewSimulated(rand.New(rand.NewPCG(1, 2)))
}

func entriesFrom(first, count, term uint64) []Entry {
	var entries []Entry
	for index := first; index < first+count; index++ {
		entries = append(entries, Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)})
	}
	return entries
}

func mustOpen(t *testing.T, fileSystem disk.FileSystem) (*Journal, *Recovered) {
	t.Helper()
	opened, recovered, err := Open(fileSystem, 1<<10)
	assert.NilError(t, err)
	return opened, recovered
}

func TestSyncedEntriesSurviveCrashAndTornTailIsTruncated(t *testing.T) {
	fileSystem := newDisk()
	opened, _ := mustOpen(t, fileSystem)
	assert.NilError(t, opened.Append(&HardState{Term: 3, Vote: 7}, entriesFrom(1, 5, 3)))
	assert.NilError(t, opened.Sync())
	assert.NilError(t, opened.Append(nil, entriesFrom(6, 1, 3)))
	// Write without syncing: the crash may keep a part of it.
	_, err := opened.current.Write(opened.buffer)
	assert.NilError(t, err)
	fileSystem.Crash()
	_, recovered := mustOpen(t, fileSystem)
	assert.Assert(t, len(recovered.Entries) >= 5)
	assert.Equal(t, recovered.HardState, HardState{Term: 3, Vote: 7})
}

// Guards against losing records that a restarted process has read: the first process is killed
// between a write and its sync, the second one reads the records, then the power fails.
func TestRecordsReadAfterARestartSurviveAPowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		fileSystem := disk.NewSimulated(rand.New(rand.NewPCG(seed, 2)))
		opened, _ := mustOpen(t, fileSystem)
		assert.NilError(t, opened.Append(nil, entriesFrom(1, 5, 3)))
		_, err := opened.current.Write(opened.buffer)
		assert.NilError(t, err)
		fileSystem.Kill()
		_, read := mustOpen(t, fileSystem)
		assert.Equal(t, len(read.Entries), 5)
		fileSystem.Crash()
		_, recovered := mustOpen(t, fileSystem)
		assert.Equal(t, len(recovered.Entries), 5)
	}
}

func TestDamageInTheMiddleIsReportedWithItsOffset(t *testing.T) {
	fileSystem := newDisk()
	opened, _ := mustOpen(t, fileSystem)
	assert.NilError(t, opened.Append(nil, entriesFrom(1, 8, 1)))
	assert.NilError(t, opened.Sync())
	assert.NilError(t, fileSystem.Corrupt(opened.segments[0].name, 60))
	_, _, err := Open(fileSystem, 1<<10)
	var corruption *CorruptionError
	assert.Assert(t, errors.As(err, &corruption), "got %v", err)
	assert.Equal(t, corruption.File, opened.segments[0].name)
	assert.Assert(t, corruption.Offset > 0 && corruption.Offset <= 60)
}

func TestDamageInAnOlderSegmentIsNotTreatedAsATornTail(t *testing.T) {
	fileSystem := newDisk()
	opened, _ := mustOpen(t, fileSystem)
	for index := uint64(1); index <= 60; index++ {
		assert.NilError(t, opened.Append(nil, entriesFrom(index, 1, 1)))
		assert.NilError(t, opened.Sync())
	}
	assert.Assert(t, len(opened.segments) > 2)
	first := opened.segments[0].name
	data, err := fileSystem.ReadFile(first)
	assert.NilError(t, err)
	assert.NilError(t, fileSystem.Corrupt(first, len(data)-1))
	_, _, err = Open(fileSystem, 1<<10)
	var corruption *CorruptionError
	assert.Assert(t, errors.As(err, &corruption), "got %v", err)
}

// Guards against old entries reappearing: a snapshot from a new leader replaces a
// conflicting log, and the process crashes right after the snapshot file was renamed.
func TestReceivedSnapshotReplacesConflictingLog(t *testing.T) {
	fileSystem := newDisk()
	opened, _ := mustOpen(t, fileSystem)
	assert.NilError(t, opened.Append(&HardState{Term: 1}, entriesFrom(1, 80, 1)))
	assert.NilError(t, opened.Sync())
	assert.NilError(t, opened.SaveSnapshot(Snapshot{Index: 40, Term: 2, Data: []byte("state")}, true))
	fileSystem.Crash()
	opened, recovered := mustOpen(t, fileSystem)
	assert.Equal(t, len(recovered.Entries), 0)
	assert.NilError(t, opened.Append(nil, entriesFrom(41, 2, 2)))
	assert.NilError(t, opened.Sync())
	fileSystem.Crash()
	_, recovered = mustOpen(t, fileSystem)
	assert.DeepEqual(t, recovered.Entries, entriesFrom(41, 2, 2))
}

// The cost of a start must depend on the entries since the newest snapshot, not on the whole log.
func TestStartUpCostDependsOnlyOnEntriesSinceTheSnapshot(t *testing.T) {
	const snapshotEvery = 500
	for _, changes := range []uint64{1000, 10000} {
		fileSystem := newDisk()
		opened, _, err := Open(fileSystem, 16<<10)
		assert.NilError(t, err)
		for index := uint64(1); index <= changes+100; index++ {
			assert.NilError(t, opened.Append(&HardState{Term: 1, Commit: index}, entriesFrom(index, 1, 1)))
			assert.NilError(t, opened.Sync())
			if index%snapshotEvery == 0 {
				assert.NilError(t, opened.SaveSnapshot(Snapshot{Index: index, Term: 1, Data: []byte("state")}, false))
			}
		}
		fileSystem.Crash()
		_, recovered, err := Open(fileSystem, 16<<10)
		assert.NilError(t, err)
		assert.Equal(t, recovered.lastIndex(), changes+100)
		assert.Assert(t, recovered.RecordsRead < 600, "after %d changes %d records were read", changes, recovered.RecordsRead)
		t.Logf("changes=%d records_read_at_start=%d", changes, recovered.RecordsRead)
	}
}

func TestOneSyncCarriesManyEntries(t *testing.T) {
	fileSystem := newDisk()
	opened, _ := mustOpen(t, fileSystem)
	before := fileSystem.Syncs
	assert.NilError(t, opened.Append(nil, entriesFrom(1, 10, 1)))
	assert.NilError(t, opened.Sync())
	assert.Equal(t, fileSystem.Syncs-before, 1)
}

// After any sequence of appends, overwrites, snapshots, syncs and crashes, all synced
// records must be read back.
func TestSyncedStateIsReadBackAfterAnyHistory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		fileSystem := disk.NewSimulated(rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0)))
		opened, _, err := Open(fileSystem, 512)
		assert.NilError(r, err)
		var log []Entry
		var snapshotIndex, last, term uint64 = 0, 0, 1
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0, 1, 2:
				added := entriesFrom(last+1, uint64(rapid.IntRange(1, 5).Draw(r, "count")), term)
				assert.NilError(r, opened.Append(&HardState{Term: term}, added))
				assert.NilError(r, opened.Sync())
				log = append(log, added...)
			case 3:
				if len(log) == 0 {
					continue
				}
				term++
				at := rapid.IntRange(0, len(log)-1).Draw(r, "overwrite")
				added := entriesFrom(log[at].Index, 1, term)
				assert.NilError(r, opened.Append(&HardState{Term: term}, added))
				assert.NilError(r, opened.Sync())
				log = append(log[:at], added...)
			case 4:
				if len(log) == 0 {
					continue
				}
				at := rapid.IntRange(0, len(log)-1).Draw(r, "snapshot")
				snapshotIndex = log[at].Index
				assert.NilError(r, opened.SaveSnapshot(Snapshot{Index: snapshotIndex, Term: log[at].Term}, false))
				log = append([]Entry(nil), log[at+1:]...)
			case 5:
				_ = opened.Append(nil, entriesFrom(last+1, 1, term))
				_, _ = opened.current.Write(opened.buffer)
				fileSystem.Crash()
				var recovered *Recovered
				opened, recovered, err = Open(fileSystem, 512)
				assert.NilError(r, err)
				assert.Assert(r, len(recovered.Entries) >= len(log))
				for position := range log {
					assert.DeepEqual(r, recovered.Entries[position], log[position])
				}
				log = recovered.Entries
			}
			last = snapshotIndex
			if len(log) > 0 {
				last = log[len(log)-1].Index
			}
		}
	})
}

// FuzzDecodeRecords passes damaged segments to the decoder, which must neither
// panic nor accept a record with a wrong checksum.
func FuzzDecodeRecords(f *testing.F) {
	valid, err := appendRecord(nil, record{HardState: &HardState{Term: 1}})
	assert.NilError(f, err)
	f.Add(valid)
	f.Add(append(append([]byte(nil), valid...), 0, 0, 0))
	f.Add([]byte{0, 0, 0, 4, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Fuzz(func(t *testing.T, data []byte) {
		validBytes, _ := decodeRecords(data, func(record) error { return nil })
		assert.Assert(t, validBytes >= 0 && validBytes <= len(data))
		for offset := 0; offset < validBytes; {
			payload, valid := FrameAt(data[offset:])
			assert.Assert(t, valid)
			offset += recordHeaderBytes + len(payload)
		}
		containsLaterFrame(data)
	})
}
