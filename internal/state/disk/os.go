package disk

import (
	"os"
	"path/filepath"
	"sort"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OS is a FileSystem on a folder of the machine.
type OS struct {
	root string
}

// NewOS opens a folder and creates it if needed.
func NewOS(root string) (*OS, error) {
	if err := os.MkdirAll(root, folderMode); err != nil {
		return nil, err
	}
	return &OS{root: root}, nil
}

// Append implements FileSystem.
func (o *OS) Append(name string) (File, error) {
	return os.OpenFile(o.path(name), os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
}

// ReadFile implements FileSystem.
func (o *OS) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(o.path(name))
}

// Truncate implements FileSystem. It syncs the file before it returns.
func (o *OS) Truncate(name string, size int64) error {
	file, err := os.OpenFile(o.path(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

// Rename implements FileSystem.
func (o *OS) Rename(oldName, newName string) error {
	return os.Rename(o.path(oldName), o.path(newName))
}

// Remove implements FileSystem.
func (o *OS) Remove(name string) error {
	return os.Remove(o.path(name))
}

// List implements FileSystem.
func (o *OS) List() ([]string, error) {
	entries, err := os.ReadDir(o.root)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// SyncFolder implements FileSystem.
func (o *OS) SyncFolder() error {
	folder, err := os.Open(o.root)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

func (o *OS) path(name string) string {
	return filepath.Join(o.root, filepath.Base(name))
}
