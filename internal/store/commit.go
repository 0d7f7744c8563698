package store

import (
	"fmt"
	"time"

	"liftshift/internal/vfs"
)

// segment is the log file that is written to.
type segment struct {
	id      uint64
	file    vfs.File
	end     int64 // where the next record goes
	durable int64 // all before it is synced
	failed  bool  // a write or a sync failed: nothing more is written to it, and what is behind durable is not valid
}

// commitLoop writes the queue until the store is closed. All batches that were queued during one commit go out with the next, with one
// write and one sync.
func (s *Store) commitLoop() {
	defer close(s.done)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		s.flushPeriodically(stop)
	}()
	defer func() {
		close(stop)
		<-stopped
	}()
	for {
		now, snapshotWanted, ok := s.takeQueue()
		if !ok {
			return
		}
		s.commit(now)
		if snapshotWanted || s.snapshotDue() {
			s.startSnapshot()
		}
	}
}

// flushPeriodically lets the batches without a notifier be written within the flush delay.
func (s *Store) flushPeriodically(stop <-chan struct{}) {
	ticker := time.NewTicker(s.options.FlushDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.mu.Lock()
			if len(s.queued.batches) > 0 && !s.flush {
				s.flush = true
				s.wake.Signal()
			}
			s.mu.Unlock()
		case <-stop:
			return
		}
	}
}

// takeQueue waits for something to do and moves the queue to s.writing. It returns false when the store is closed and all is
// written.
func (s *Store) takeQueue() (now int64, snapshotWanted, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.flush && !s.snapshotWanted && !s.closed {
		s.wake.Wait()
	}
	if s.closed && len(s.queued.batches) == 0 {
		return 0, false, false
	}
	s.queued, s.writing = s.writing, s.queued
	s.queued.reset()
	s.flush = false
	return s.now, s.snapshotWanted && !s.snapshotRunning, true
}

// commit writes the batches taken from the queue, in as many groups as segments need.
func (s *Store) commit(now int64) {
	q := &s.writing
	first, record, start := 0, 0, 0 // of the batches, records and bytes not yet written
	for first < len(q.batches) {
		space := s.options.SegmentBytes - s.active.end
		last := first
		for last < len(q.batches) && int64(q.batches[last].bytes-start) <= space {
			last++
		}
		var err error
		if last == first || s.active.failed {
			if err = s.rotate(); err == nil {
				continue
			}
			last = len(q.batches) // no file to write to: all that waits fails
		}
		end := q.batches[last-1]
		if err == nil {
			err = s.writeGroup(q.bytes[start:end.bytes], q.ends[record:end.records], start)
		}
		s.countBatches(last-first, end.records-record, err)
		for _, b := range q.batches[first:last] {
			if b.notifier != nil {
				b.notifier.Stored(b.token, err)
			}
		}
		first, record, start = last, end.records, end.bytes
	}
	s.stateMu.Lock()
	s.expire(now)
	s.stateMu.Unlock()
}

func (s *Store) countBatches(batches, records int, err error) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.stats.Commits++
	if err != nil {
		s.stats.Failed += uint64(batches)
		return
	}
	s.stats.Batches += uint64(batches)
	s.stats.Records += uint64(records)
}

// writeGroup writes records, syncs them, and only then adds them to the index. The ends count from base. A file whose write or sync
// failed is never written or trusted further, because no later sync needs to write what a failed one left unwritten.
func (s *Store) writeGroup(bytes []byte, ends []int, base int) error {
	a := &s.active
	offset := a.end
	from := 0
	for _, end := range ends {
		sealRecord(bytes[from:end-base], a.id, offset+int64(from))
		from = end - base
	}
	_, err := a.file.WriteAt(bytes, offset)
	if err == nil {
		err = a.file.Sync()
	}
	if err != nil {
		a.failed = true
		return fmt.Errorf("store: file %x: %w", a.id, err)
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.stats.Syncs++
	from = 0
	for _, end := range ends {
		b := bytes[from : end-base]
		s.apply(parseRecord(b), location{uint32(a.id), uint32(offset + int64(from)), uint32(len(b))})
		from = end - base
	}
	a.end += int64(len(bytes))
	a.durable = a.end
	s.fileBytes[uint32(a.id)] = a.end
	return nil
}

// apply lets a record take effect in the index.
func (s *Store) apply(r record, at location) {
	if old := s.index.Get(r.key); old != nil {
		s.liveBytes -= int64(old.size)
	}
	if r.deletes() {
		s.index.Delete(r.key)
		return
	}
	v, _ := s.index.Put(r.key, r.expires)
	*v = at
	s.liveBytes += int64(at.size)
}

func (s *Store) expire(now int64) {
	s.index.Expire(now, func(_ Key, at *location) {
		s.liveBytes -= int64(at.size)
		s.stats.Expired++
	})
}

// rotate begins a new log file. It becomes the active segment once it has its name, and it gets that only after it is durable.
func (s *Store) rotate() error {
	s.stateMu.Lock()
	s.lastFile++
	id, previous := s.lastFile, s.active
	s.stateMu.Unlock()
	h := fileHeader{kind: kindLog, inDoubt: s.tailInDoubt, id: id, previous: previous.id, previousEnd: previous.durable, length: s.options.SegmentBytes}
	file, err := createLog(s.fs, h)
	if err != nil {
		return fmt.Errorf("store: new file %x: %w", id, err)
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.files[uint32(id)], s.fileBytes[uint32(id)] = file, headerSize
	s.active = segment{id: id, file: file, end: headerSize, durable: headerSize}
	s.tailInDoubt = false
	s.stats.Rotations++
	return nil
}

// createLog makes a log file under its name, durable with its header and its full length.
func createLog(fs vfs.FS, h fileHeader) (vfs.File, error) {
	name := fileName(h.id, logSuffix)
	_ = fs.Remove(name + temporarySuffix)
	file, err := fs.Create(name + temporarySuffix)
	if err != nil {
		return nil, err
	}
	if err = file.Allocate(h.length); err == nil {
		_, err = file.WriteAt(h.encode(), 0)
	}
	if err == nil {
		err = publish(fs, file, name)
	}
	if err != nil {
		_ = file.Close()
		_ = fs.Remove(name + temporarySuffix)
		_ = fs.Remove(name) // where it has its name already; where that fails, no file follows it
		return nil, err
	}
	return file, nil
}

// publish makes a temporary file durable, and then its final name.
func publish(fs vfs.FS, file vfs.File, name string) error {
	if err := file.Sync(); err != nil {
		return err
	}
	if err := fs.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return fs.SyncDir()
}
