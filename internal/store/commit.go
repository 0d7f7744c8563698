package store

import (
	"fmt"
	"time"

	"liftshift/internal/vfs"
)

// run is the committer: all that has lined up while it wrote goes out next, with one write and one sync.
func (s *Store) run() {
	defer close(s.done)
	ticker := time.NewTicker(s.bounds.FlushDelay) // what nobody waits for goes out with it
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				s.mu.Lock()
				if len(s.in.batches) > 0 && !s.urgent {
					s.urgent = true
					s.wake.Signal()
				}
				s.mu.Unlock()
			case <-stop:
				return
			}
		}
	}()
	defer close(stop)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		for !s.urgent && !s.compact && !s.closed {
			s.wake.Wait()
		}
		if s.closed && len(s.in.batches) == 0 {
			s.mu.Unlock()
			return
		}
		s.in, s.out = s.out, s.in
		s.in.reset()
		now, compact := s.now, s.compact && !s.busy
		s.urgent = false
		s.mu.Unlock()
		s.commit(now)
		if compact || s.overgrown() {
			s.snapshot()
		}
	}
}

// commit writes what is in line, in as many groups as segments need.
func (s *Store) commit(now int64) {
	l := &s.out
	for first, record, start := 0, 0, 0; first < len(l.batches); {
		room := s.bounds.SegmentBytes - s.active.at
		last := first
		for last < len(l.batches) && int64(l.batches[last].bytes-start) <= room {
			last++
		}
		var err error
		if last == first || s.active.spoilt {
			if err = s.rotate(); err == nil {
				continue
			}
			last = len(l.batches) // no file to write to: all that waits fails
		}
		end := l.batches[last-1]
		if err == nil {
			err = s.group(l.bytes[start:end.bytes], l.ends[record:end.records], start)
		}
		s.count(last-first, end.records-record, err)
		for _, b := range l.batches[first:last] {
			if b.teller != nil {
				b.teller.Stored(b.token, err)
			}
		}
		first, record, start = last, end.records, end.bytes
	}
	s.state.Lock()
	s.expire(now)
	s.state.Unlock()
}

func (s *Store) count(batches, records int, err error) {
	s.state.Lock()
	defer s.state.Unlock()
	f := &s.figures
	f.Commits++
	if err != nil {
		f.Failed += uint64(batches)
	} else {
		f.Batches, f.Records = f.Batches+uint64(batches), f.Records+uint64(records)
	}
}

// group writes records and makes them lasting, then lets them count. A file whose write or sync failed is never
// written or believed further: what a failed sync left unwritten, no later one needs to write.
func (s *Store) group(bytes []byte, ends []int, base int) error {
	a := &s.active
	at := a.at
	for k, from := 0, 0; k < len(ends); k++ {
		seal(bytes[from:ends[k]-base], a.id, at+int64(from))
		from = ends[k] - base
	}
	_, err := a.file.WriteAt(bytes, at)
	if err == nil {
		err = a.file.Sync()
	}
	if err != nil {
		a.spoilt = true
		return fmt.Errorf("store: file %x: %w", a.id, err)
	}
	s.state.Lock()
	defer s.state.Unlock()
	s.figures.Syncs++
	for k, from := 0, 0; k < len(ends); k++ {
		b := bytes[from : ends[k]-base]
		s.apply(parse(b), place{uint32(a.id), uint32(at + int64(from)), uint32(len(b))})
		from = ends[k] - base
	}
	a.at += int64(len(bytes))
	a.trusted = a.at
	s.used[uint32(a.id)] = a.at
	return nil
}

// apply lets a record count.
func (s *Store) apply(r record, p place) {
	if old := s.table.Get(r.key); old != nil {
		s.live -= int64(old.size)
	}
	if r.kind&^more == deleteRecord {
		s.table.Delete(r.key)
		return
	}
	v, _ := s.table.Put(r.key, r.expires)
	*v = p
	s.live += int64(p.size)
}

func (s *Store) expire(now int64) {
	s.table.Expire(now, func(_ Key, p *place) {
		s.live -= int64(p.size)
		s.figures.Expired++
	})
}

// rotate begins a new log file. It is part of the store once it has its name, and that only after it lasts.
func (s *Store) rotate() error {
	s.state.Lock()
	s.next++
	id, before := s.next, s.active
	s.state.Unlock()
	h := head{kind: logFile, doubt: s.doubts, id: id, before: before.id, trusted: before.trusted, length: s.bounds.SegmentBytes}
	file, err := s.begin(fileName(id, logEnding), h)
	if err != nil {
		return fmt.Errorf("store: new file %x: %w", id, err)
	}
	s.state.Lock()
	defer s.state.Unlock()
	s.files[uint32(id)], s.used[uint32(id)] = file, headSize
	s.active, s.doubts = segment{id: id, file: file, at: headSize, trusted: headSize}, false
	s.figures.Rotations++
	return nil
}

// begin makes a log file under its name, lasting with its head and its full length.
func (s *Store) begin(name string, h head) (vfs.File, error) {
	_ = s.fs.Remove(name + newEnding)
	file, err := s.fs.Create(name + newEnding)
	if err != nil {
		return nil, err
	}
	if err = file.Allocate(h.length); err == nil {
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
		_ = s.fs.Remove(name) // where it has its name already; where that fails, nobody follows it
		return nil, err
	}
	return file, nil
}
