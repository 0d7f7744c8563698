package vfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"sync"
)

// Op is a call on a MemoryFS that changes something.
type Op struct {
	Number int // counted from 1
	Call   string
	Name   string
}

// ErrCrashed is what every call returns after the crash.
var ErrCrashed = errors.New("the machine is down")

// MemoryFS is a folder in memory. Readers see at once what was written, but it is durable only once it was synced; Crash shows what
// became of the rest. A failed Sync is that of real systems: what it should have written counts as clean from then on, and no later
// Sync writes it.
type MemoryFS struct {
	// Fail is asked before each call that changes something. An error fails the call and nothing changes. It may be nil.
	Fail func(Op) error
	// CrashAt is the number of the call at which the machine crashes, 0: never. That call may or may not take effect.
	CrashAt int

	mu           sync.Mutex
	calls        int
	crashed      bool
	names        map[string]*memoryFile
	durableNames map[string]*memoryFile // as of the last SyncDir
	nameChanges  []nameChange           // since then, in order
	locked       map[string]bool
}

// memoryFile is the content of a file as readers see it, as it is durable, and the writes between.
type memoryFile struct {
	content  []byte
	durable  []byte
	unsynced []pendingWrite
}

// pendingWrite is a write, or an extension where data is nil.
type pendingWrite struct {
	offset int64
	data   []byte
	size   int64 // to which the file is extended
}

// nameChange gives a name to a file, or removes it where the file is nil.
type nameChange struct {
	name string
	file *memoryFile
}

// NewMemory returns an empty folder.
func NewMemory() *MemoryFS {
	return &MemoryFS{names: map[string]*memoryFile{}, durableNames: map[string]*memoryFile{}, locked: map[string]bool{}}
}

// Ops returns how many calls changed something so far.
func (m *MemoryFS) Ops() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// countCall counts a call and tells whether it takes effect; called with mu held.
func (m *MemoryFS) countCall(call, name string) (effect bool, err error) {
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

// change makes a call that changes something. Where the machine crashes at it, it may still have taken effect.
func (m *MemoryFS) change(call, name string, apply func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	effect, err := m.countCall(call, name)
	if effect {
		apply()
	}
	return err
}

// Create implements FS.
func (m *MemoryFS) Create(name string) (File, error) {
	m.mu.Lock()
	_, there := m.names[name]
	m.mu.Unlock()
	if there {
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
	}
	f := &memoryFile{}
	if err := m.change("create", name, func() { m.changeName(name, f) }); err != nil {
		return nil, err
	}
	return &memoryHandle{m, name, f}, nil
}

// changeName changes a name; called with mu held.
func (m *MemoryFS) changeName(name string, f *memoryFile) {
	c := nameChange{name, f}
	m.nameChanges = append(m.nameChanges, c)
	c.apply(m.names)
}

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
	f := m.names[name]
	if f == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &memoryHandle{m, name, f}, nil
}

// Remove implements FS.
func (m *MemoryFS) Remove(name string) error {
	return m.change("remove", name, func() { m.changeName(name, nil) })
}

// Rename implements FS.
func (m *MemoryFS) Rename(from, to string) error {
	m.mu.Lock()
	f := m.names[from]
	m.mu.Unlock()
	if f == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	// A rename is durable whole or not at all: Crash never separates the two changes.
	return m.change("rename", to, func() {
		m.changeName(to, f)
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
	return m.change("syncdir", "", func() {
		for _, c := range m.nameChanges {
			c.apply(m.durableNames)
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

type closeFunc func() error

// Close implements io.Closer.
func (c closeFunc) Close() error { return c() }

// Bytes returns the content of a file as readers see it.
func (m *MemoryFS) Bytes(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.names[name]; f != nil {
		return slices.Clone(f.content)
	}
	return nil
}

// Set makes or replaces a file, durable at once.
func (m *MemoryFS) Set(name string, bytes []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &memoryFile{content: slices.Clone(bytes), durable: slices.Clone(bytes)}
	m.names[name], m.durableNames[name] = f, f
}

// Clone returns a second folder with the same files, all durable.
func (m *MemoryFS) Clone() *MemoryFS {
	names, _ := m.List()
	other := NewMemory()
	for _, name := range names {
		other.Set(name, m.Bytes(name))
	}
	return other
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
	w := pendingWrite{offset: offset, data: slices.Clone(b)}
	if err := h.fs.change("write", h.name, func() { h.file.write(w) }); err != nil {
		return 0, fmt.Errorf("write %s: %w", h.name, err)
	}
	return len(b), nil
}

func (f *memoryFile) write(w pendingWrite) {
	f.content = w.apply(f.content)
	f.unsynced = append(f.unsynced, w)
}

// Allocate implements File.
func (h *memoryHandle) Allocate(size int64) error {
	return h.fs.change("allocate", h.name, func() { h.file.write(pendingWrite{size: size}) })
}

// Sync implements File. Where it fails, what it should have written is lost for good.
func (h *memoryHandle) Sync() error {
	err := h.fs.change("sync", h.name, func() {
		for _, w := range h.file.unsynced {
			h.file.durable = w.apply(h.file.durable)
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

// Close implements File.
func (h *memoryHandle) Close() error { return nil }
