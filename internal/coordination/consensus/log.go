package consensus

import (
	"slices"

	"github.com/ravenway/ravenway/internal/state/journal"
)

// raftLog is the part of the log that is in memory: all entries after the newest compaction point.
type raftLog struct {
	// snapshotIndex and snapshotTerm identify the entry before entries[0].
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []journal.Entry
	// unstable is the index of the first entry that no Ready has returned for persisting.
	unstable  uint64
	committed uint64
	// returned is the index of the last committed entry that a Ready has returned.
	returned uint64
}

func (l *raftLog) lastIndex() uint64 {
	return l.snapshotIndex + uint64(len(l.entries))
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry, or false if it is not in memory.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if index < l.snapshotIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].Term, true
}

// slice returns the entries from first on, up to maximumBytes of data but at least one entry.
func (l *raftLog) slice(first uint64, maximumBytes int) []journal.Entry {
	if first <= l.snapshotIndex || first > l.lastIndex() {
		return nil
	}
	from := int(first - l.snapshotIndex - 1)
	until, size := from, 0
	for until < len(l.entries) {
		size += len(l.entries[until].Data)
		if until > from && size > maximumBytes {
			break
		}
		until++
	}
	return slices.Clone(l.entries[from:until])
}

// appendOwn appends an entry of the leader itself.
func (l *raftLog) appendOwn(entry journal.Entry) {
	l.entries = append(l.entries, entry)
}

// appendReceived appends a leader's entries after a matching one. It drops only entries that conflict
// with them: a late, shorter append must not remove entries that were acknowledged since.
func (l *raftLog) appendReceived(entries []journal.Entry) {
	for position, entry := range entries {
		if entry.Index <= l.snapshotIndex {
			continue
		}
		if term, found := l.term(entry.Index); found && term == entry.Term {
			continue
		}
		l.truncateFrom(entry.Index)
		l.entries = append(l.entries, entries[position:]...)
		return
	}
}

func (l *raftLog) truncateFrom(index uint64) {
	if index > l.lastIndex() {
		return
	}
	l.entries = slices.Clip(l.entries[:index-l.snapshotIndex-1])
	l.unstable = min(l.unstable, index)
}

// compact drops entries up to index from memory.
func (l *raftLog) compact(index uint64) {
	if index <= l.snapshotIndex || index > l.returned {
		return
	}
	term, found := l.term(index)
	if !found {
		return
	}
	l.entries = slices.Clone(l.entries[index-l.snapshotIndex:])
	l.snapshotIndex, l.snapshotTerm = index, term
}

// restore replaces the whole log with a snapshot's index and term.
func (l *raftLog) restore(index, term uint64) {
	*l = raftLog{
		snapshotIndex: index,
		snapshotTerm:  term,
		unstable:      index + 1,
		committed:     index,
		returned:      index,
	}
}

// upToDate reports whether a log that ends at index and term is at least as up to date as this one.
func (l *raftLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
