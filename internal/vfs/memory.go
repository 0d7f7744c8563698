package vfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"sync"
)

// Op describes a modifying call on a MemoryFS.
type Op struct {
	Number int    // counted from 1
	Call   string // "create", "remove", "rename", "syncdir", "write", "allocate" or "sync"
	Name   string // of the file; empty for "syncdir"
}

// ErrCrashed is returned by calls on a MemoryFS after its simulated crash.
var ErrCrashed = errors.New("the simulated machine has crashed")

// MemoryFS is an FS in memory. Readers see written data at once, but only synced data is durable; Crash returns the
// directory without the changes that a crash loses. A failed Sync behaves like that of real systems, which drop the
// unwritten data: no later Sync makes it durable.
type MemoryFS struct {
	// Fail, if not nil, is called before each modifying call. If it returns an error, the call fails and changes
	// nothing.
	Fail func(Op) error
	// CrashAt is the number of the modifying call at which the machine crashes, 0 for never. That call may take effect
	// or not.
	CrashAt int

	mu           sync.Mutex
	calls        int // modifying calls so far
	crashed      bool
	names        map[string]*memoryFile
	durableNames map[string]*memoryFile // as of the last SyncDir
	nameChanges  []nameChange           // since the last SyncDir, in order
	locked       map[string]bool        // by the name given to Lock
}

// memoryFile is a file of a MemoryFS.
type memoryFile struct {
	content  []byte         // as readers see it
	durable  []byte         // as of the last Sync
	unsynced []pendingWrite // since the last Sync, in order
}

// pendingWrite is an unsynced write, or an extension of the file if data is nil.
type pendingWrite struct {
	offset int64
	data   []byte
	size   int64 // length to which an extension extends the file
}

// nameChange gives a name to a file, or removes the name if file is nil.
type nameChange struct {
	name string
	file *memoryFile
}

// NewMemory returns an empty directory.
func NewMemory() *MemoryFS {
	return &MemoryFS{names: map[string]*memoryFile{}, durableNames: map[string]*memoryFile{}, locked: map[string]bool{}}
}

// Ops returns the number of modifying calls so far.
func (m *MemoryFS) Ops() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// countCall counts a modifying call and reports whether it takes effect and what it returns. The caller holds mu.
func (m *MemoryFS) countCall(call, name string) (takesEffect bool, err error) {
	if m.crashed {
		return false, ErrCrashed
	}
	m.calls++
	if m.Fail != nil {
		if err := m.Fail(Op{Number: m.calls, Call: call, Name: name}); err != nil {
			return false, err
		}
	}
	if m.CrashAt > 0 && m.calls >= m.CrashAt {
		m.crashed = true
		return m.calls%2 == 0, ErrCrashed
	}
	return true, nil
}

// modify performs a modifying call, unless it is to fail. A call during which the machine crashes may still take
// effect.
func (m *MemoryFS) modify(call, name string, apply func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	takesEffect, err := m.countCall(call, name)
	if takesEffect {
		apply()
	}
	return err
}

// Create implements FS.
func (m *MemoryFS) Create(name string) (File, error) {
	m.mu.Lock()
	_, exists := m.names[name]
	m.mu.Unlock()
	if exists {
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
	}
	file := &memoryFile{}
	if err := m.modify("create", name, func() { m.changeName(name, file) }); err != nil {
		return nil, err
	}
	return &memoryHandle{m, name, file}, nil
}

// changeName gives a name to a file, or removes the name if file is nil. The caller holds mu.
func (m *MemoryFS) changeName(name string, file *memoryFile) {
	change := nameChange{name, file}
	m.nameChanges = append(m.nameChanges, change)
	change.apply(m.names)
}

// apply applies the change to a map of files by name.
func (c nameChange) apply(names map[string]*memoryFile) {
	if c.file == nil {
		delete(names, c.name)
	} else {
		names[c.name] = c.file
	}
}

// Open implements FS.
func (m *MemoryFS) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return nil, ErrCrashed
	}
	file := m.names[name]
	if file == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &memoryHandle{m, name, file}, nil
}

// Remove implements FS.
func (m *MemoryFS) Remove(name string) error {
	return m.modify("remove", name, func() { m.changeName(name, nil) })
}

// Rename implements FS.
func (m *MemoryFS) Rename(from, to string) error {
	m.mu.Lock()
	file := m.names[from]
	m.mu.Unlock()
	if file == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	// A rename is atomic: Crash never separates the two changes.
	return m.modify("rename", to, func() {
		m.changeName(to, file)
		m.changeName(from, nil)
	})
}

// List implements FS.
func (m *MemoryFS) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return nil, ErrCrashed
	}
	return sortedNames(m.names), nil
}

func sortedNames(files map[string]*memoryFile) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// SyncDir implements FS.
func (m *MemoryFS) SyncDir() error {
	return m.modify("syncdir", "", func() {
		for _, change := range m.nameChanges {
			change.apply(m.durableNames)
		}
		m.nameChanges = nil
	})
}

// Lock implements FS.
func (m *MemoryFS) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked[name] {
		return nil, ErrInUse
	}
	m.locked[name] = true
	return closeFunc(func() error {
		m.mu.Lock()
		delete(m.locked, name)
		m.mu.Unlock()
		return nil
	}), nil
}

// closeFunc is an io.Closer that calls a function.
type closeFunc func() error

// Close implements io.Closer.
func (c closeFunc) Close() error { return c() }

// Bytes returns the content of a file as readers see it, or nil if there is no such file.
func (m *MemoryFS) Bytes(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if file := m.names[name]; file != nil {
		return slices.Clone(file.content)
	}
	return nil
}

// SetFile creates or replaces a file whose name and content are durable at once.
func (m *MemoryFS) SetFile(name string, bytes []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	file := &memoryFile{content: slices.Clone(bytes), durable: slices.Clone(bytes)}
	m.names[name], m.durableNames[name] = file, file
}

// Clone returns a copy of the directory in which all names and contents are durable.
func (m *MemoryFS) Clone() *MemoryFS {
	names, _ := m.List()
	clone := NewMemory()
	for _, name := range names {
		clone.SetFile(name, m.Bytes(name))
	}
	return clone
}

// memoryHandle is an open file of a MemoryFS.
type memoryHandle struct {
	fs   *MemoryFS
	name string
	file *memoryFile
}

// ReadAt implements File.
func (h *memoryHandle) ReadAt(b []byte, offset int64) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.fs.crashed {
		return 0, ErrCrashed
	}
	if offset >= int64(len(h.file.content)) {
		return 0, io.EOF
	}
	n := copy(b, h.file.content[offset:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt implements File.
func (h *memoryHandle) WriteAt(b []byte, offset int64) (int, error) {
	write := pendingWrite{offset: offset, data: slices.Clone(b)}
	if err := h.fs.modify("write", h.name, func() { h.file.write(write) }); err != nil {
		return 0, fmt.Errorf("write %s: %w", h.name, err)
	}
	return len(b), nil
}

// write applies a write to the content and keeps it for the next Sync.
func (f *memoryFile) write(w pendingWrite) {
	f.content = w.apply(f.content)
	f.unsynced = append(f.unsynced, w)
}

// Allocate implements File.
func (h *memoryHandle) Allocate(size int64) error {
	return h.fs.modify("allocate", h.name, func() { h.file.write(pendingWrite{size: size}) })
}

// Sync implements File. If it fails, the data that it should have made durable never becomes durable.
func (h *memoryHandle) Sync() error {
	err := h.fs.modify("sync", h.name, func() {
		for _, write := range h.file.unsynced {
			h.file.durable = write.apply(h.file.durable)
		}
		h.file.unsynced = nil
	})
	if err != nil && !errors.Is(err, ErrCrashed) {
		h.fs.mu.Lock()
		h.file.unsynced = nil
		h.fs.mu.Unlock()
	}
	return err
}

// Size implements File.
func (h *memoryHandle) Size() (int64, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.fs.crashed {
		return 0, ErrCrashed
	}
	return int64(len(h.file.content)), nil
}

// Close implements File. It does nothing, because a handle holds no resources.
func (h *memoryHandle) Close() error { return nil }
