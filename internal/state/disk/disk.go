// Package disk is the narrow view that durable state has of a file system.
//
// Two implementations stand behind it: OS, a folder of the machine, and
// Simulated, which forgets everything that was not synced when it crashes.
// Durable code is written against FileSystem only, so that the same code runs
// in the daemon and under simulated power loss.
package disk

import (
	"errors"
	"io/fs"
)

// ErrNotExist is returned for a file that is not there.
var ErrNotExist = fs.ErrNotExist

// ErrCrashed is returned by a simulated disk after its crash.
var ErrCrashed = errors.New("disk: crashed")

// ErrFull is returned by a simulated disk that takes no more bytes.
var ErrFull = errors.New("disk: full")

// FileSystem is a flat folder of files. Names have no directory part.
type FileSystem interface {
	// Append opens a file for appending and creates it if needed. A created
	// file survives a crash only after SyncFolder.
	Append(name string) (File, error)
	// ReadFile returns the whole content of a file.
	ReadFile(name string) ([]byte, error)
	// Truncate cuts a file to size bytes. The cut lasts once the file is synced.
	Truncate(name string, size int64) error
	// Rename replaces newName by oldName. It lasts after SyncFolder.
	Rename(oldName, newName string) error
	// Remove deletes a file. It lasts after SyncFolder.
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncFolder makes created, renamed and removed names last.
	SyncFolder() error
}

// File is a file opened for appending.
type File interface {
	// Write appends data.
	Write(data []byte) (int, error)
	// Sync makes all written data last.
	Sync() error
	// Close releases the file without syncing it.
	Close() error
}

// WriteFileSynced writes a whole file so that after a crash either the old
// content or the new one is there: it writes aside, syncs, renames and syncs
// the folder.
func WriteFileSynced(fileSystem FileSystem, name string, data []byte) error {
	temporary := name + ".tmp"
	if err := fileSystem.Remove(temporary); err != nil && !errors.Is(err, ErrNotExist) {
		return err
	}
	file, err := fileSystem.Append(temporary)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Sync(); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := fileSystem.Rename(temporary, name); err != nil {
		return err
	}
	return fileSystem.SyncFolder()
}
