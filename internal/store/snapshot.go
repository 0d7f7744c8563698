package store

import (
	"fmt"

	"liftshift/internal/vfs"
)

// overgrown tells whether a snapshot is due.
func (s *Store) overgrown() bool {
	s.mu.Lock()
	busy := s.busy || s.closed
	s.mu.Unlock()
	s.state.RLock()
	defer s.state.RUnlock()
	return !busy && float64(s.diskBytes()) > s.bounds.SnapshotRatio*float64(s.live)+spareBytes
}

// snapshot begins a new log file and copies, beside the work, all live records of the files before it to a snapshot,
// which then takes their place. Whatever fails, the old files stay, and it is tried again when a file is full.
func (s *Store) snapshot() {
	err := s.rotate()
	s.mu.Lock()
	s.compact, s.busy = false, err == nil
	s.idle.Broadcast()
	s.mu.Unlock()
	if err != nil {
		s.snapshotEnds(err)
		return
	}
	upTo := s.active.id
	go func() {
		err := s.copy(upTo)
		s.snapshotEnds(err)
		s.mu.Lock()
		s.busy = false
		s.idle.Broadcast()
		s.mu.Unlock()
	}()
}

func (s *Store) snapshotEnds(err error) {
	s.state.Lock()
	defer s.state.Unlock()
	if err != nil {
		s.figures.SnapshotsFailed++
	} else {
		s.figures.Snapshots++
	}
}

// copy makes the snapshot of all before a log file.
func (s *Store) copy(upTo uint64) error {
	name := fileName(upTo, snapshotEnding)
	_ = s.fs.Remove(name + newEnding)
	file, err := s.fs.Create(name + newEnding)
	if err != nil {
		return err
	}
	h, err := s.fill(file, upTo)
	if err == nil {
		_, err = file.WriteAt(h.bytes(), 0)
	}
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = s.fs.Rename(name+newEnding, name)
	}
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		_ = file.Close()
		_ = s.fs.Remove(name + newEnding)
		return err
	}
	return s.replace(file, h)
}

// fill writes the live records, a few at a time.
func (s *Store) fill(file vfs.File, upTo uint64) (head, error) {
	h := head{kind: snapshotFile, id: upTo, length: headSize}
	id := uint32(upTo) | ofSnapshot
	var out, room []byte
	for at := uint32(0); ; at += copyStep {
		out = out[:0]
		err := func() error {
			s.state.RLock()
			defer s.state.RUnlock()
			for p := at; p < min(at+copyStep, s.table.Places()); p++ {
				key, expires, where := s.table.Next(p)
				if where == nil || where.file&ofSnapshot == 0 && uint64(where.file) >= upTo {
					continue
				}
				r, err := s.read(*where, room)
				if err != nil {
					return err // the only copy of it may be the bad one: nothing is given up for this snapshot
				}
				start := len(out)
				out = appendRecord(out, putRecord, key, expires, r.value)
				seal(out[start:], uint64(id), h.length+int64(start))
				h.records++
			}
			return nil
		}()
		if err != nil {
			return h, err
		}
		if len(out) > 0 {
			if h.length+int64(len(out)) > 1<<32-1 {
				return h, fmt.Errorf("a snapshot of over 4 GiB")
			}
			if _, err := file.WriteAt(out, h.length); err != nil {
				return h, err
			}
			h.length += int64(len(out))
		}
		s.state.RLock()
		done := at+copyStep >= s.table.Places()
		s.state.RUnlock()
		if done {
			return h, nil
		}
	}
}

// replace lets records be found in the snapshot, then removes the files that it stands for.
func (s *Store) replace(file vfs.File, h head) error {
	id := uint32(h.id) | ofSnapshot
	s.state.Lock()
	s.files[id], s.used[id] = file, h.length
	s.state.Unlock()
	bytes := make([]byte, 0, 64<<10)
	for at := int64(headSize); at < h.length; {
		n := min(int64(cap(bytes)), h.length-at)
		bytes = bytes[:n]
		if _, err := file.ReadAt(bytes, at); err != nil {
			return err
		}
		used := int64(0)
		s.state.Lock()
		for {
			r, ok := recordAt(bytes[used:], uint64(id), at+used)
			if !ok {
				break
			}
			if p := s.table.Get(r.key); p != nil && (p.file&ofSnapshot != 0 || uint64(p.file) < h.id) {
				s.live += int64(r.size) - int64(p.size)
				*p = place{id, uint32(at + used), uint32(r.size)}
			}
			used += int64(r.size)
		}
		s.state.Unlock()
		if used == 0 {
			if n < h.length-at { // a record longer than what was read
				bytes = make([]byte, 0, 4*cap(bytes))
				continue
			}
			return fmt.Errorf("%w: snapshot %x at %d", ErrDamaged, h.id, at)
		}
		at += used
	}
	s.state.Lock()
	defer s.state.Unlock()
	for other, f := range s.files {
		if other != id && (other&ofSnapshot != 0 || uint64(other) < h.id) {
			_ = f.Close()
			delete(s.files, other)
			delete(s.used, other)
			_ = s.fs.Remove(nameOf(other)) // what stays is removed at the next opening
		}
	}
	return s.fs.SyncDir()
}

func nameOf(file uint32) string {
	if file&ofSnapshot != 0 {
		return fileName(uint64(file&^ofSnapshot), snapshotEnding)
	}
	return fileName(uint64(file), logEnding)
}
