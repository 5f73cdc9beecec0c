// Package disk is the small file system interface that durable state is built on.
//
// It has two implementations: OS, a folder of the machine's file system, and
// Simulated, an in-memory disk that may lose everything unsynced in a crash.
// Durable code uses only FileSystem, so that the same code runs in the daemon
// and under simulated power loss.
package disk

import (
	"errors"
	"io/fs"
)

// ErrNotExist is returned for a file that does not exist.
var ErrNotExist = fs.ErrNotExist

// ErrCrashed is returned by files of a simulated disk that were opened before its last crash.
var ErrCrashed = errors.New("disk: crashed")

// ErrFull is returned by writes to a simulated disk that is full.
var ErrFull = errors.New("disk: full")

// FileSystem is a flat folder of files. Names have no directory part.
type FileSystem interface {
	// Append opens a file for appending and creates it if needed. A created
	// file survives a crash only after SyncFolder.
	Append(name string) (File, error)
	// ReadFile returns the whole content of a file.
	ReadFile(name string) ([]byte, error)
	// Truncate shortens a file to size bytes. The change is durable once the file is synced.
	Truncate(name string, size int64) error
	// Rename renames oldName to newName and replaces an existing newName. The change is durable
	// after SyncFolder.
	Rename(oldName, newName string) error
	// Remove deletes a file. The change is durable after SyncFolder.
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncFolder makes created, renamed and removed names durable.
	SyncFolder() error
}

// File is a file opened for appending.
type File interface {
	// Write appends data.
	Write(data []byte) (int, error)
	// Sync makes all written data durable.
	Sync() error
	// Close releases the file without syncing it.
	Close() error
}

// WriteFileSynced replaces a whole file atomically: after a crash it has either its
// old or its new content. It writes a temporary file, syncs it, renames it and syncs
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
