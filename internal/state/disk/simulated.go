package disk

import (
	"math/rand/v2"
	"sort"
	"sync"
)

// Simulated is an in-memory disk with only the guarantees of a real one: a Crash
// loses unsynced file content from an arbitrary point on (and may corrupt its last
// byte), and reverts names that were not synced.
type Simulated struct {
	mutex  sync.Mutex
	random *rand.Rand
	// files are the files that running code sees, durable those that survive a crash.
	files   map[string]*simulatedContent
	durable map[string]*simulatedContent
	// generation invalidates files that were opened before a crash.
	generation int
	full       bool
	// Syncs is the number of file syncs, for checks in tests and benchmarks.
	Syncs int
}

// simulatedContent is one file's data; data[:synced] survives a crash.
type simulatedContent struct {
	data   []byte
	synced int
}

// NewSimulated returns an empty disk. The random source decides what its crashes
// lose.
func NewSimulated(random *rand.Rand) *Simulated {
	return &Simulated{
		random:  random,
		files:   map[string]*simulatedContent{},
		durable: map[string]*simulatedContent{},
	}
}

// Crash simulates a power loss: data and names that were not synced may be lost. Files that were
// opened before fail from now on.
func (s *Simulated) Crash() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.generation++
	survivors := map[string]*simulatedContent{}
	names := make([]string, 0, len(s.durable))
	for name := range s.durable {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		content := s.durable[name]
		kept := content.synced
		if unsynced := len(content.data) - content.synced; unsynced > 0 {
			kept += s.random.IntN(unsynced + 1)
		}
		data := append([]byte(nil), content.data[:kept]...)
		if kept > content.synced && s.random.IntN(2) == 0 {
			data[kept-1] ^= 0xff
		}
		survivors[name] = &simulatedContent{data: data, synced: len(data)}
	}
	s.files = survivors
	s.durable = copyNames(survivors)
}

// Kill simulates the end of the process that uses the disk: files keep all written
// data, synced or not. Files that were opened before fail from now on.
func (s *Simulated) Kill() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.generation++
}

// SetFull makes the disk refuse all writes, or accept them again.
func (s *Simulated) SetFull(full bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.full = full
}

// Erase removes all content, as when a disk is replaced by an empty one.
func (s *Simulated) Erase() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.generation++
	s.files = map[string]*simulatedContent{}
	s.durable = map[string]*simulatedContent{}
}

// Corrupt inverts one byte of a file in place, whether synced or not.
func (s *Simulated) Corrupt(name string, offset int) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	content, found := s.files[name]
	if !found || offset < 0 || offset >= len(content.data) {
		return ErrNotExist
	}
	content.data[offset] ^= 0xff
	return nil
}

// Append implements FileSystem.
func (s *Simulated) Append(name string) (File, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	content, found := s.files[name]
	if !found {
		content = &simulatedContent{}
		s.files[name] = content
	}
	return &simulatedFile{disk: s, content: content, generation: s.generation}, nil
}

// ReadFile implements FileSystem.
func (s *Simulated) ReadFile(name string) ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	content, found := s.files[name]
	if !found {
		return nil, ErrNotExist
	}
	return append([]byte(nil), content.data...), nil
}

// Truncate implements FileSystem.
func (s *Simulated) Truncate(name string, size int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	content, found := s.files[name]
	if !found {
		return ErrNotExist
	}
	content.data = content.data[:min(int(size), len(content.data))]
	content.synced = len(content.data)
	return nil
}

// Rename implements FileSystem.
func (s *Simulated) Rename(oldName, newName string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	content, found := s.files[oldName]
	if !found {
		return ErrNotExist
	}
	delete(s.files, oldName)
	s.files[newName] = content
	return nil
}

// Remove implements FileSystem.
func (s *Simulated) Remove(name string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, found := s.files[name]; !found {
		return ErrNotExist
	}
	delete(s.files, name)
	return nil
}

// List implements FileSystem.
func (s *Simulated) List() ([]string, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	names := make([]string, 0, len(s.files))
	for name := range s.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// SyncFolder implements FileSystem.
func (s *Simulated) SyncFolder() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.durable = copyNames(s.files)
	return nil
}

func copyNames(files map[string]*simulatedContent) map[string]*simulatedContent {
	names := make(map[string]*simulatedContent, len(files))
	for name, content := range files {
		names[name] = content
	}
	return names
}

// simulatedFile is an open file of a Simulated disk.
type simulatedFile struct {
	disk       *Simulated
	content    *simulatedContent
	generation int
}

func (f *simulatedFile) Write(data []byte) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if f.generation != f.disk.generation {
		return 0, ErrCrashed
	}
	if f.disk.full {
		return 0, ErrFull
	}
	f.content.data = append(f.content.data, data...)
	return len(data), nil
}

func (f *simulatedFile) Sync() error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if f.generation != f.disk.generation {
		return ErrCrashed
	}
	f.content.synced = len(f.content.data)
	f.disk.Syncs++
	return nil
}

func (f *simulatedFile) Close() error {
	return nil
}
