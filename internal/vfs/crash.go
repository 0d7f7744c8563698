package vfs

import (
	"maps"
	"math/rand/v2"
	"slices"
)

const sectorBytes = 512 // that a disk writes whole or not at all

// CrashLoss tells what becomes, at a crash, of what was not synced.
type CrashLoss int

// The losses of a crash.
const (
	LoseAll     CrashLoss = iota // nothing of it is durable
	LosePart                     // any of it is, in any order, torn at sectors
	LoseNothing                  // all of it is, as when only the process was killed
)

// Crash returns the folder as it is found after a crash. The seed decides which part of what was not synced is durable.
func (m *MemoryFS) Crash(loss CrashLoss, seed uint64) *MemoryFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	random := rand.New(rand.NewPCG(seed, 1))
	after := NewMemory()
	files := m.namesAfterCrash(loss, random)
	for _, name := range sortedNames(files) {
		content := files[name].afterCrash(loss, random)
		f := &memoryFile{content: content, durable: slices.Clone(content)}
		after.names[name], after.durableNames[name] = f, f
	}
	return after
}

// namesAfterCrash returns the files by name after a crash. Names change in order, as in a journal.
func (m *MemoryFS) namesAfterCrash(loss CrashLoss, random *rand.Rand) map[string]*memoryFile {
	names := maps.Clone(m.durableNames)
	durable := 0 // of the name changes
	switch loss {
	case LoseNothing:
		durable = len(m.nameChanges)
	case LosePart:
		durable = random.IntN(len(m.nameChanges) + 1)
	}
	if durable > 0 && durable < len(m.nameChanges) && m.nameChanges[durable].file == nil && m.nameChanges[durable-1].file != nil {
		durable++ // a new name and the removal of the old one may be a rename
	}
	for _, c := range m.nameChanges[:durable] {
		c.apply(names)
	}
	return names
}

// afterCrash returns the content of a file after a crash.
func (f *memoryFile) afterCrash(loss CrashLoss, random *rand.Rand) []byte {
	if loss == LoseNothing {
		return slices.Clone(f.content)
	}
	content := slices.Clone(f.durable)
	if loss == LosePart {
		for _, w := range f.unsynced {
			content = w.applyTorn(content, random)
		}
	}
	return content
}

// applyTorn applies a write as far as chance lets it come, sector by sector.
func (w pendingWrite) applyTorn(content []byte, random *rand.Rand) []byte {
	if w.data == nil {
		if random.IntN(2) == 0 {
			return content
		}
		return w.apply(content)
	}
	for start := 0; start < len(w.data); {
		offset := w.offset + int64(start)
		end := min(len(w.data), start+sectorBytes-int(offset%sectorBytes))
		if random.IntN(2) == 0 {
			content = pendingWrite{offset: offset, data: w.data[start:end]}.apply(content)
		}
		start = end
	}
	return content
}

func (w pendingWrite) apply(content []byte) []byte {
	if size := max(w.size, w.offset+int64(len(w.data))); int64(len(content)) < size {
		content = append(content, make([]byte, size-int64(len(content)))...)
	}
	copy(content[w.offset:], w.data)
	return content
}
