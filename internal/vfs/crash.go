package vfs

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// sectorBytes is the unit that a disk writes atomically.
const sectorBytes = 512

// CrashLoss selects how much of the unsynced data and names a crash loses.
type CrashLoss int

// The losses of a crash.
const (
	LoseAll     CrashLoss = iota // all unsynced changes are lost
	LosePart                     // a random part is lost: sectors of writes independently, name changes from some point on
	LoseNothing                  // no change is lost, as when only the process was killed
)

// Crash stops m, whose calls then return ErrCrashed, and returns the directory as it is found after the crash. The seed
// selects the part that is lost with LosePart.
func (m *MemoryFS) Crash(loss CrashLoss, seed uint64) *MemoryFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	random := rand.New(rand.NewPCG(seed, 1))
	after := NewMemory()
	files := m.namesAfterCrash(loss, random)
	for _, name := range sortedNames(files) {
		content := files[name].afterCrash(loss, random)
		file := &memoryFile{content: content, durable: slices.Clone(content)}
		after.names[name], after.durableNames[name] = file, file
	}
	return after
}

// namesAfterCrash returns the files by name after a crash. A prefix of the name changes survives, as on a journaling
// file system.
func (m *MemoryFS) namesAfterCrash(loss CrashLoss, random *rand.Rand) map[string]*memoryFile {
	names := maps.Clone(m.durableNames)
	durable := 0 // number of surviving name changes
	switch loss {
	case LoseNothing:
		durable = len(m.nameChanges)
	case LosePart:
		durable = random.IntN(len(m.nameChanges) + 1)
	}
	if durable > 0 && durable < len(m.nameChanges) &&
		m.nameChanges[durable].file == nil && m.nameChanges[durable-1].file != nil {
		durable++ // the two changes may be one rename, which is atomic
	}
	for _, change := range m.nameChanges[:durable] {
		change.apply(names)
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
		for _, write := range f.unsynced {
			content = write.applyTorn(content, random)
		}
	}
	return content
}

// applyTorn applies a random selection of the sectors of a write to content. An extension is applied as a whole or not
// at all.
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

// apply applies the write to content, which it extends with zeros as needed, and returns the result.
func (w pendingWrite) apply(content []byte) []byte {
	if size := max(w.size, w.offset+int64(len(w.data))); int64(len(content)) < size {
		content = append(content, make([]byte, size-int64(len(content)))...)
	}
	copy(content[w.offset:], w.data)
	return content
}
