package store

import (
	"fmt"
	"time"

	"liftshift/internal/vfs"
)

// segment is the log file that records are appended to.
type segment struct {
	id      uint64
	file    vfs.File
	end     int64 // offset of the next record
	durable int64 // everything before this offset is synced
	failed  bool  // a write or sync failed: nothing more is written to the file, and bytes from durable on are not valid
}

// commitLoop commits the queue until the store is closed. It is a group commit: all batches that are queued during one
// commit are written by the next one, usually with a single write and a single sync.
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

// flushPeriodically wakes the commit loop within the flush delay, so that batches without a notifier are written too.
func (s *Store) flushPeriodically(stop <-chan struct{}) {
	ticker := time.NewTicker(s.options.FlushDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.mu.Lock()
			if len(s.queued.batches) > 0 && !s.flushWanted {
				s.flushWanted = true
				s.wake.Signal()
			}
			s.mu.Unlock()
		case <-stop:
			return
		}
	}
}

// takeQueue waits until there is work and swaps the queue into s.writing. It returns ok = false once the store is
// closed and every queued batch was written.
func (s *Store) takeQueue() (now int64, snapshotWanted, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.flushWanted && !s.snapshotWanted && !s.closed {
		s.wake.Wait()
	}
	if s.closed && len(s.queued.batches) == 0 {
		return 0, false, false
	}
	s.queued, s.writing = s.writing, s.queued
	s.queued.reset()
	s.flushWanted = false
	return s.now, s.snapshotWanted && !s.snapshotRunning, true
}

// commit writes the batches in s.writing, one group for each segment that they need, and reports each outcome.
func (s *Store) commit(now int64) {
	writing := &s.writing
	firstBatch, firstRecord, firstByte := 0, 0, 0 // the first of each that is not yet written
	for firstBatch < len(writing.batches) {
		space := s.options.SegmentBytes - s.active.end
		endBatch := firstBatch
		for endBatch < len(writing.batches) && int64(writing.batches[endBatch].endByte-firstByte) <= space {
			endBatch++
		}
		var err error
		if endBatch == firstBatch || s.active.failed {
			if err = s.rotate(); err == nil {
				continue
			}
			endBatch = len(writing.batches) // there is no file to write to, so all remaining batches fail
		}
		last := writing.batches[endBatch-1]
		if err == nil {
			err = s.writeGroup(writing.bytes[firstByte:last.endByte], writing.ends[firstRecord:last.endRecord], firstByte)
		}
		s.countBatches(endBatch-firstBatch, last.endRecord-firstRecord, err)
		for _, batch := range writing.batches[firstBatch:endBatch] {
			if batch.notifier != nil {
				batch.notifier.Stored(batch.token, err)
			}
		}
		firstBatch, firstRecord, firstByte = endBatch, last.endRecord, last.endByte
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
		s.stats.BatchesFailed += uint64(batches)
		return
	}
	s.stats.Batches += uint64(batches)
	s.stats.Records += uint64(records)
}

// writeGroup writes and syncs records, and only then adds them to the index. The ends of the records are offsets in the
// queue, where data begins at base. After a failed write or sync the file is not used again: the operating system may
// have dropped the unwritten pages, so that a later sync succeeds without writing them.
func (s *Store) writeGroup(data []byte, ends []int, base int) error {
	active := &s.active
	offset := active.end
	start := 0
	for _, end := range ends {
		writeChecksum(data[start:end-base], active.id, offset+int64(start))
		start = end - base
	}
	_, err := active.file.WriteAt(data, offset)
	if err == nil {
		err = active.file.Sync()
	}
	if err != nil {
		active.failed = true
		return fmt.Errorf("store: file %x: %w", active.id, err)
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.stats.Syncs++
	start = 0
	for _, end := range ends {
		encoded := data[start : end-base]
		s.apply(parseRecord(encoded), location{uint32(active.id), uint32(offset + int64(start)), uint32(len(encoded))})
		start = end - base
	}
	active.end += int64(len(data))
	active.durable = active.end
	s.fileBytes[uint32(active.id)] = active.end
	return nil
}

// apply updates the index and the live bytes by a record at a location.
func (s *Store) apply(r record, loc location) {
	if old := s.index.Get(r.key); old != nil {
		s.liveBytes -= int64(old.size)
	}
	if r.isDeletion() {
		s.index.Delete(r.key)
		return
	}
	entry, _ := s.index.Put(r.key, r.expires)
	*entry = loc
	s.liveBytes += int64(loc.size)
}

// expire removes the records from the index whose time is over. The caller holds stateMu.
func (s *Store) expire(now int64) {
	s.index.Expire(now, func(_ Key, loc *location) {
		s.liveBytes -= int64(loc.size)
		s.stats.Expired++
	})
}

// rotate creates a log file and makes it the active segment. Its header names the previous log file and the valid
// length of that file.
func (s *Store) rotate() error {
	s.stateMu.Lock()
	s.lastFileID++
	id, previous := s.lastFileID, s.active
	s.stateMu.Unlock()
	header := fileHeader{
		kind: kindLog, inDoubt: s.tailInDoubt, id: id, previous: previous.id, previousEnd: previous.durable,
		length: s.options.SegmentBytes,
	}
	file, err := createLog(s.fs, header)
	if err != nil {
		return fmt.Errorf("store: creating log file %x: %w", id, err)
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.files[uint32(id)], s.fileBytes[uint32(id)] = file, headerSize
	s.active = segment{id: id, file: file, end: headerSize, durable: headerSize}
	s.tailInDoubt = false
	s.stats.Rotations++
	return nil
}

// createLog creates a log file with its header and its full length. The file gets its final name only after its content
// is durable, and the name is durable too when createLog returns.
func createLog(fs vfs.FS, header fileHeader) (vfs.File, error) {
	name := fileName(header.id, logSuffix)
	_ = fs.Remove(name + temporarySuffix)
	file, err := fs.Create(name + temporarySuffix)
	if err != nil {
		return nil, err
	}
	if err = file.Allocate(header.length); err == nil {
		_, err = file.WriteAt(header.encode(), 0)
	}
	if err == nil {
		err = publish(fs, file, name)
	}
	if err != nil {
		_ = file.Close()
		_ = fs.Remove(name + temporarySuffix)
		_ = fs.Remove(name) // in case it was renamed already; if this fails, no later file names it as its previous one
		return nil, err
	}
	return file, nil
}

// publish syncs a temporary file, renames it to its final name, and makes the name durable.
func publish(fs vfs.FS, file vfs.File, name string) error {
	if err := file.Sync(); err != nil {
		return err
	}
	if err := fs.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return fs.SyncDir()
}
