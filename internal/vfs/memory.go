package vfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
)

// Op is one call on a file system in memory.
type Op struct {
	N    int // counted from 1, over all calls that change something
	What string
	Name string
}

// ErrCrashed is what every call gives after the crash.
var ErrCrashed = errors.New("the machine is down")

// sector is what a disk writes whole or not at all.
const sector = 512

// MemoryFS is a folder in memory. What was written is seen at once by readers, but lasts only once it was synced; what
// became of the rest shows after Crash. A failed Sync is the one of real systems: what it should have written counts as
// clean from then on, and no later Sync writes it.
type MemoryFS struct {
	// Fail is asked before each call that changes something; an error fails the call and nothing changes. May be nil.
	Fail func(Op) error
	// CrashAt is the call at which the machine goes down, 0: never. That call itself may or may not take effect.
	CrashAt int

	mu     sync.Mutex
	ops    int
	down   bool
	names  map[string]*node // as seen now
	lasts  map[string]*node // as of the last SyncDir
	turns  []turn           // of names since then, in order
	locked map[string]bool
}

// node is one file: its bytes as seen, as lasting, and the writes between.
type node struct {
	now   []byte
	lasts []byte
	dirty []write
}

type write struct {
	at   int64
	data []byte
	grow int64 // a new length; data is nil
}

type turn struct {
	name string
	node *node // nil: removed
}

// NewMemory gives an empty folder.
func NewMemory() *MemoryFS {
	return &MemoryFS{names: map[string]*node{}, lasts: map[string]*node{}, locked: map[string]bool{}}
}

// Ops tells how many calls changed something so far.
func (m *MemoryFS) Ops() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ops
}

// call counts a call; called under the lock.
func (m *MemoryFS) call(what, name string) (effect bool, err error) {
	if m.down {
		return false, ErrCrashed
	}
	m.ops++
	if m.Fail != nil {
		if err := m.Fail(Op{m.ops, what, name}); err != nil {
			return false, err
		}
	}
	if m.CrashAt > 0 && m.ops >= m.CrashAt {
		m.down = true
		return m.ops%2 == 0, ErrCrashed
	}
	return true, nil
}

// do makes a call that changes something. Where the machine goes down at it, it may still have taken effect.
func (m *MemoryFS) do(what, name string, change func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	effect, err := m.call(what, name)
	if effect {
		change()
	}
	return err
}

// Create makes a file that is not there yet.
func (m *MemoryFS) Create(name string) (File, error) {
	m.mu.Lock()
	_, there := m.names[name]
	m.mu.Unlock()
	if there {
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
	}
	n := &node{}
	if err := m.do("create", name, func() { m.turn(name, n) }); err != nil {
		return nil, err
	}
	return &handle{m, name, n}, nil
}

// turn changes a name; called under the lock.
func (m *MemoryFS) turn(name string, n *node) {
	m.turns = append(m.turns, turn{name, n})
	if n == nil {
		delete(m.names, name)
	} else {
		m.names[name] = n
	}
}

// Open opens a file.
func (m *MemoryFS) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, ErrCrashed
	}
	n := m.names[name]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &handle{m, name, n}, nil
}

// Remove removes a file.
func (m *MemoryFS) Remove(name string) error {
	return m.do("remove", name, func() { m.turn(name, nil) })
}

// Rename gives a file another name.
func (m *MemoryFS) Rename(from, to string) error {
	m.mu.Lock()
	n := m.names[from]
	m.mu.Unlock()
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	// A rename lasts whole or not at all: one turn of the new name, and one of the old that never comes alone.
	return m.do("rename", to, func() { m.turn(to, n); m.turn(from, nil) })
}

// List gives the names.
func (m *MemoryFS) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, ErrCrashed
	}
	names := make([]string, 0, len(m.names))
	for name := range m.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir makes names lasting.
func (m *MemoryFS) SyncDir() error {
	return m.do("syncdir", "", func() {
		for _, t := range m.turns {
			t.play(m.lasts)
		}
		m.turns = nil
	})
}

func (t turn) play(names map[string]*node) {
	if t.node == nil {
		delete(names, t.name)
	} else {
		names[t.name] = t.node
	}
}

// Lock takes the folder.
func (m *MemoryFS) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked[name] {
		return nil, ErrInUse
	}
	m.locked[name] = true
	return closer(func() error {
		m.mu.Lock()
		delete(m.locked, name)
		m.mu.Unlock()
		return nil
	}), nil
}

type closer func() error

// Close calls it.
func (c closer) Close() error { return c() }

// CrashLoss tells what becomes, at a crash, of what was not synced.
type CrashLoss int

// The losses.
const (
	LoseAll     CrashLoss = iota // nothing of it lasts
	LosePart                     // any of it lasts, in any order, torn at sectors
	LoseNothing                  // all of it lasts: just the process was killed
)

// Crash gives the folder as it is found after the crash; the seed says which part lasts.
func (m *MemoryFS) Crash(loss CrashLoss, seed uint64) *MemoryFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = true
	dice := rand.New(rand.NewPCG(seed, 1))
	after, names := NewMemory(), map[string]*node{}
	for name, n := range m.lasts {
		names[name] = n
	}
	kept := 0
	switch loss {
	case LoseNothing:
		kept = len(m.turns)
	case LosePart:
		kept = dice.IntN(len(m.turns) + 1)
	}
	for k, t := range m.turns { // names change in order, as in a journal
		if k < kept || k == kept && k > 0 && t.node == nil && m.turns[k-1].node != nil && kept > 0 {
			t.play(names)
		}
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	for _, name := range sorted {
		n := names[name]
		bytes := slices.Clone(n.now)
		if loss != LoseNothing {
			bytes = slices.Clone(n.lasts)
			for _, w := range n.dirty {
				if loss == LosePart {
					bytes = w.tear(bytes, dice)
				}
			}
		}
		fresh := &node{now: bytes, lasts: slices.Clone(bytes)}
		after.names[name], after.lasts[name] = fresh, fresh
	}
	return after
}

// tear plays a write as far as chance lets it come, sector by sector.
func (w write) tear(bytes []byte, dice *rand.Rand) []byte {
	if w.data == nil {
		if dice.IntN(2) == 0 {
			return bytes
		}
		return w.play(bytes)
	}
	for at := 0; at < len(w.data); {
		end := min(len(w.data), at+sector-int((w.at+int64(at))%sector))
		if dice.IntN(2) == 0 {
			bytes = write{at: w.at + int64(at), data: w.data[at:end]}.play(bytes)
		}
		at = end
	}
	return bytes
}

func (w write) play(bytes []byte) []byte {
	if long := max(w.grow, w.at+int64(len(w.data))); int64(len(bytes)) < long {
		bytes = append(bytes, make([]byte, long-int64(len(bytes)))...)
	}
	copy(bytes[w.at:], w.data)
	return bytes
}

// Bytes gives what a file holds, as seen now; Set puts bytes in its place, lasting at once.
func (m *MemoryFS) Bytes(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.names[name]; n != nil {
		return slices.Clone(n.now)
	}
	return nil
}

// Set makes or replaces a file.
func (m *MemoryFS) Set(name string, bytes []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := &node{now: slices.Clone(bytes), lasts: slices.Clone(bytes)}
	m.names[name], m.lasts[name] = n, n
}

// Clone gives a second folder with the same files, all lasting.
func (m *MemoryFS) Clone() *MemoryFS {
	names, _ := m.List()
	other := NewMemory()
	for _, name := range names {
		other.Set(name, m.Bytes(name))
	}
	return other
}

type handle struct {
	m    *MemoryFS
	name string
	n    *node
}

// ReadAt reads what is seen now.
func (h *handle) ReadAt(b []byte, at int64) (int, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if h.m.down {
		return 0, ErrCrashed
	}
	if at >= int64(len(h.n.now)) {
		return 0, io.EOF
	}
	n := copy(b, h.n.now[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt writes.
func (h *handle) WriteAt(b []byte, at int64) (int, error) {
	w := write{at: at, data: slices.Clone(b)}
	err := h.m.do("write", h.name, func() { h.n.take(w) })
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", h.name, err)
	}
	return len(b), nil
}

func (n *node) take(w write) {
	n.now = w.play(n.now)
	n.dirty = append(n.dirty, w)
}

// Allocate makes the file so long.
func (h *handle) Allocate(size int64) error {
	return h.m.do("allocate", h.name, func() { h.n.take(write{grow: size}) })
}

// Sync makes the file's bytes lasting; where it fails, what it should have written is lost for good.
func (h *handle) Sync() error {
	err := h.m.do("sync", h.name, func() {
		for _, w := range h.n.dirty {
			h.n.lasts = w.play(h.n.lasts)
		}
		h.n.dirty = nil
	})
	if err != nil && !errors.Is(err, ErrCrashed) {
		h.m.mu.Lock()
		h.n.dirty = nil
		h.m.mu.Unlock()
	}
	return err
}

// Size tells how long the file is.
func (h *handle) Size() (int64, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if h.m.down {
		return 0, ErrCrashed
	}
	return int64(len(h.n.now)), nil
}

// Close does nothing: what is open is no more than a name.
func (h *handle) Close() error { return nil }
