package store

import (
	"errors"
	"fmt"

	"liftshift/internal/vfs"
)

// Snapshot asks for a snapshot and waits until it is made, or could not be.
func (s *Store) Snapshot() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	for s.snapshotRunning && !s.closed {
		s.snapshotChanged.Wait()
	}
	before := s.snapshotsFailed()
	s.snapshotWanted = true
	s.wake.Signal()
	for (s.snapshotWanted || s.snapshotRunning) && !s.closed {
		s.snapshotChanged.Wait()
	}
	if s.snapshotsFailed() > before {
		return errors.New("store: the snapshot could not be made")
	}
	return nil
}

func (s *Store) snapshotsFailed() uint64 {
	s.stateMu.RLock()
	defer s.stateMu.RUnlock()
	return s.stats.SnapshotsFailed
}

// snapshotDue tells whether the files have outgrown the live records.
func (s *Store) snapshotDue() bool {
	s.mu.Lock()
	blocked := s.snapshotRunning || s.closed
	s.mu.Unlock()
	s.stateMu.RLock()
	defer s.stateMu.RUnlock()
	return !blocked && float64(s.diskBytes()) > s.options.SnapshotRatio*float64(s.liveBytes)+snapshotSlackBytes
}

// startSnapshot begins a new log file and copies, in a goroutine, all live records of the files before it to a snapshot, which then
// replaces those files. Whatever fails, they stay, and the next commit that finds a snapshot due tries again.
func (s *Store) startSnapshot() {
	err := s.rotate()
	s.mu.Lock()
	s.snapshotWanted = false
	s.snapshotRunning = err == nil
	s.snapshotChanged.Broadcast()
	s.mu.Unlock()
	if err != nil {
		s.countSnapshot(err)
		return
	}
	id := s.active.id
	go func() {
		s.countSnapshot(s.writeSnapshot(id))
		s.mu.Lock()
		s.snapshotRunning = false
		s.snapshotChanged.Broadcast()
		s.mu.Unlock()
	}()
}

func (s *Store) countSnapshot(err error) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if err != nil {
		s.stats.SnapshotsFailed++
	} else {
		s.stats.Snapshots++
	}
}

// writeSnapshot makes the snapshot of all records before a log file, and lets it replace their files.
func (s *Store) writeSnapshot(id uint64) error {
	name := fileName(id, snapshotSuffix)
	_ = s.fs.Remove(name + temporarySuffix)
	file, err := s.fs.Create(name + temporarySuffix)
	if err != nil {
		return err
	}
	h, err := s.copyLive(file, id)
	if err == nil {
		_, err = file.WriteAt(h.encode(), 0)
	}
	if err == nil {
		err = publish(s.fs, file, name)
	}
	if err != nil {
		_ = file.Close()
		_ = s.fs.Remove(name + temporarySuffix)
		return err
	}
	return s.adoptSnapshot(file, h)
}

// copyLive writes the live records to a snapshot, a few at a time, and returns its header.
func (s *Store) copyLive(file vfs.File, id uint64) (fileHeader, error) {
	h := fileHeader{kind: kindSnapshot, id: id, length: headerSize}
	var out []byte
	for place := uint32(0); ; place += entriesPerCopy {
		var err error
		if out, err = s.copyEntries(out[:0], &h, place); err != nil {
			return h, err
		}
		if len(out) > 0 {
			if h.length+int64(len(out)) > 1<<32-1 {
				return h, errors.New("a snapshot of over 4 GiB")
			}
			if _, err := file.WriteAt(out, h.length); err != nil {
				return h, err
			}
			h.length += int64(len(out))
		}
		s.stateMu.RLock()
		done := place+entriesPerCopy >= s.index.Places()
		s.stateMu.RUnlock()
		if done {
			return h, nil
		}
	}
}

// copyEntries appends the records of some places of the index, sealed for the end of the snapshot, and counts them in its header.
func (s *Store) copyEntries(out []byte, h *fileHeader, first uint32) ([]byte, error) {
	id := snapshotID(h.id)
	s.stateMu.RLock()
	defer s.stateMu.RUnlock()
	for place := first; place < min(first+entriesPerCopy, s.index.Places()); place++ {
		key, expires, at := s.index.Next(place)
		if at == nil || isLogFrom(at.file, h.id) {
			continue
		}
		r, err := s.read(*at)
		if err != nil {
			return out, err // the only copy may be the unreadable one, so nothing is replaced by this snapshot
		}
		start := len(out)
		out = appendRecord(out, putRecord, key, expires, r.value)
		sealRecord(out[start:], uint64(id), h.length+int64(start))
		h.records++
	}
	return out, nil
}

// adoptSnapshot lets records be found in the snapshot, then removes the files that it replaces.
func (s *Store) adoptSnapshot(file vfs.File, h fileHeader) error {
	id := snapshotID(h.id)
	s.stateMu.Lock()
	s.files[id], s.fileBytes[id] = file, h.length
	s.stateMu.Unlock()
	buf := make([]byte, 0, 64<<10)
	for offset := int64(headerSize); offset < h.length; {
		n := min(int64(cap(buf)), h.length-offset)
		buf = buf[:n]
		if _, err := file.ReadAt(buf, offset); err != nil {
			return err
		}
		used := s.relocate(buf, h.id, offset)
		offset += used
		switch {
		case used > 0:
		case n < h.length-offset: // a record longer than what was read
			buf = make([]byte, 0, 4*cap(buf))
		default:
			return fmt.Errorf("%w: snapshot %x at %d", ErrDamaged, h.id, offset)
		}
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	for other, f := range s.files {
		if other != id && !isLogFrom(other, h.id) {
			_ = f.Close()
			delete(s.files, other)
			delete(s.fileBytes, other)
			_ = s.fs.Remove(fileNameOf(other)) // what stays is removed at the next opening
		}
	}
	return s.fs.SyncDir()
}

// relocate points the index to the records of a snapshot, from bytes that begin at an offset, and returns how many bytes they
// have. Records that were written again since are left alone.
func (s *Store) relocate(b []byte, snapshot uint64, offset int64) (used int64) {
	id := snapshotID(snapshot)
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	for {
		r, ok := decodeRecord(b[used:], uint64(id), offset+used)
		if !ok {
			return used
		}
		if at := s.index.Get(r.key); at != nil && !isLogFrom(at.file, snapshot) {
			s.liveBytes += int64(r.size) - int64(at.size)
			*at = location{id, uint32(offset + used), uint32(r.size)}
		}
		used += int64(r.size)
	}
}
