package store

import (
	"errors"
	"fmt"

	"liftshift/internal/vfs"
)

// Snapshot requests a snapshot and waits until it is complete or has failed.
func (s *Store) Snapshot() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	for s.snapshotRunning && !s.closed {
		s.snapshotChanged.Wait()
	}
	failedBefore := s.snapshotsFailed()
	s.snapshotWanted = true
	s.wake.Signal()
	for (s.snapshotWanted || s.snapshotRunning) && !s.closed {
		s.snapshotChanged.Wait()
	}
	if s.snapshotsFailed() > failedBefore {
		return errors.New("store: the snapshot could not be made")
	}
	return nil
}

func (s *Store) snapshotsFailed() uint64 {
	s.stateMu.RLock()
	defer s.stateMu.RUnlock()
	return s.stats.SnapshotsFailed
}

// snapshotDue reports whether the files are so much larger than the live records that a snapshot pays off, and none is
// running.
func (s *Store) snapshotDue() bool {
	s.mu.Lock()
	blocked := s.snapshotRunning || s.closed
	s.mu.Unlock()
	s.stateMu.RLock()
	defer s.stateMu.RUnlock()
	return !blocked && float64(s.diskBytes()) > s.options.SnapshotRatio*float64(s.liveBytes)+snapshotSlackBytes
}

// startSnapshot creates a new log file and starts a goroutine that copies all live records of the older files to a
// snapshot, which then replaces these files. If any step fails, the older files stay, and a later commit retries when a
// snapshot is due.
func (s *Store) startSnapshot() {
	err := s.rotate()
	if err != nil {
		s.countSnapshot(err) // before the waiters of Snapshot look
	}
	s.mu.Lock()
	s.snapshotWanted = false
	s.snapshotRunning = err == nil
	s.snapshotChanged.Broadcast()
	s.mu.Unlock()
	if err != nil {
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

// writeSnapshot writes a snapshot of all records in files older than log file id, and replaces these files by it.
func (s *Store) writeSnapshot(id uint64) error {
	name := fileName(id, snapshotSuffix)
	_ = s.fs.Remove(name + temporarySuffix)
	file, err := s.fs.Create(name + temporarySuffix)
	if err != nil {
		return err
	}
	header, err := s.copyLive(file, id)
	if err == nil {
		_, err = file.WriteAt(header.encode(), 0)
	}
	if err == nil {
		err = publish(s.fs, file, name)
	}
	if err != nil {
		_ = file.Close()
		_ = s.fs.Remove(name + temporarySuffix)
		return err
	}
	return s.installSnapshot(file, header)
}

// copyLive writes the live records to a snapshot and returns its header. It copies a limited number of entries at a
// time, so that commits get the lock in between.
func (s *Store) copyLive(file vfs.File, id uint64) (fileHeader, error) {
	header := fileHeader{kind: kindSnapshot, id: id, length: headerSize}
	var encoded []byte
	for place := uint32(0); ; place += entriesPerCopy {
		var err error
		if encoded, err = s.copyEntries(encoded[:0], &header, place); err != nil {
			return header, err
		}
		if len(encoded) > 0 {
			if header.length+int64(len(encoded)) > 1<<32-1 { // offsets in a location have 32 bits
				return header, errors.New("the snapshot exceeds 4 GiB")
			}
			if _, err := file.WriteAt(encoded, header.length); err != nil {
				return header, err
			}
			header.length += int64(len(encoded))
		}
		s.stateMu.RLock()
		done := place+entriesPerCopy >= s.index.Places()
		s.stateMu.RUnlock()
		if done {
			return header, nil
		}
	}
}

// copyEntries appends the encoded records of entriesPerCopy places of the index, beginning with first, to out. The
// checksums are those for appending out to the snapshot. The header counts the records.
func (s *Store) copyEntries(out []byte, header *fileHeader, first uint32) ([]byte, error) {
	id := snapshotID(header.id)
	s.stateMu.RLock()
	defer s.stateMu.RUnlock()
	for place := first; place < min(first+entriesPerCopy, s.index.Places()); place++ {
		key, expires, loc := s.index.EntryAt(place)
		if loc == nil || isLogFrom(loc.file, header.id) {
			continue
		}
		r, err := s.read(*loc)
		if err != nil {
			return out, err // a snapshot without this record must not replace the file that may have its only copy
		}
		start := len(out)
		out = appendRecord(out, putRecord, key, expires, r.value)
		writeChecksum(out[start:], uint64(id), header.length+int64(start))
		header.records++
	}
	return out, nil
}

// installSnapshot points the index to the records in the snapshot and removes the files that the snapshot replaces.
func (s *Store) installSnapshot(file vfs.File, header fileHeader) error {
	id := snapshotID(header.id)
	s.stateMu.Lock()
	s.files[id], s.fileBytes[id] = file, header.length
	s.stateMu.Unlock()
	buffer := make([]byte, 0, 64<<10)
	for offset := int64(headerSize); offset < header.length; {
		size := min(int64(cap(buffer)), header.length-offset)
		buffer = buffer[:size]
		if _, err := file.ReadAt(buffer, offset); err != nil {
			return err
		}
		used := s.relocate(buffer, header.id, offset)
		offset += used
		switch {
		case used > 0:
		case size < header.length-offset: // the record may be longer than the buffer
			buffer = make([]byte, 0, 4*cap(buffer))
		default:
			return fmt.Errorf("%w: no valid record at offset %d of snapshot %x", ErrDamaged, offset, header.id)
		}
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	for other, otherFile := range s.files {
		if other != id && !isLogFrom(other, header.id) {
			_ = otherFile.Close()
			delete(s.files, other)
			delete(s.fileBytes, other)
			_ = s.fs.Remove(fileNameOf(other)) // if this fails, the next Open removes the file
		}
	}
	return s.fs.SyncDir()
}

// relocate points the index to the records in data, which begins at an offset of a snapshot, and returns the total
// length of the complete records. It skips keys that have a newer record in the log or were deleted since.
func (s *Store) relocate(data []byte, snapshot uint64, offset int64) (used int64) {
	id := snapshotID(snapshot)
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	for {
		r, ok := decodeRecord(data[used:], uint64(id), offset+used)
		if !ok {
			return used
		}
		if loc := s.index.Get(r.key); loc != nil && !isLogFrom(loc.file, snapshot) {
			s.liveBytes += int64(r.size) - int64(loc.size)
			*loc = location{id, uint32(offset + used), uint32(r.size)}
		}
		used += int64(r.size)
	}
}
