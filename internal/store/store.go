// Package store keeps small records under 16-byte keys through crashes: a log in segments, an index in memory, and snapshots that
// replace old segments. It does not know what the records mean.
//
// What it promises: once a batch was reported without an error, the whole batch is there after any crash of the program or the
// machine, unless a later record of the same key replaced it or it expired. A batch that was reported as failed is not there,
// unless the crash came before anything else was written. A batch that was not yet reported is there whole or not at all. Batches
// take effect in the order in which they were appended. Where the tail of the log is not as it was left, Recovery says so
// (InDoubt): then the last batches may be missing. What is wrong before the tail makes Open fail with ErrDamaged until Repair was
// called.
package store

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"liftshift/internal/index"
	"liftshift/internal/vfs"
)

// Key names a record. It must be evenly spread, as a hash is.
type Key = index.Key

// Options are the bounds that a Store keeps to. A zero field has a default.
type Options struct {
	SegmentBytes  int64         // length of a log file
	MaxWaiting    int           // bytes that may wait to be written
	FlushDelay    time.Duration // for which a batch without a notifier may stay unwritten
	SnapshotRatio float64       // bytes on disk for a live one, past which a snapshot is made
}

const (
	defaultSegmentBytes  = 4 << 20
	defaultMaxWaiting    = 4 << 20
	defaultFlushDelay    = 50 * time.Millisecond
	defaultSnapshotRatio = 1.8       // a snapshot takes a while; the files stay below twice the live bytes
	snapshotSlackBytes   = 256 << 10 // that the files may have past the ratio
	entriesPerCopy       = 256       // copied to a snapshot between two releases of the lock
)

func (o Options) withDefaults() Options {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	if o.FlushDelay <= 0 {
		o.FlushDelay = defaultFlushDelay
	}
	if o.SnapshotRatio <= 1 {
		o.SnapshotRatio = defaultSnapshotRatio
	}
	return o
}

// Stats are the counters of a store.
type Stats struct {
	Records, Batches, Commits, Syncs uint64
	Failed                           uint64 // batches reported as failed
	Rotations, Snapshots             uint64
	SnapshotsFailed                  uint64
	Expired                          uint64
	Live                             int   // records
	LiveBytes, DiskBytes             int64 // valid ones, without the zeros reserved ahead
	Waiting                          int   // bytes
}

// Store is an open store. Its goroutine, which commits the queue, ends with Close.
type Store struct {
	fs      vfs.FS
	options Options
	lock    io.Closer

	mu              sync.Mutex // of the queue and what is asked of the committer
	wake            *sync.Cond // the committer has something to do
	queued          queue
	flush           bool // the queue is to be written now
	now             int64
	closed          bool
	snapshotWanted  bool
	snapshotRunning bool
	snapshotChanged *sync.Cond

	stateMu   sync.RWMutex // of what is on disk
	index     index.Table[location]
	files     map[uint32]vfs.File
	fileBytes map[uint32]int64 // valid bytes of each file
	active    segment
	lastFile  uint64 // highest number of any file
	liveBytes int64
	stats     Stats

	writing     queue // the committer's own
	done        chan struct{}
	tailInDoubt bool // for the header of the next log file
}

// Recovery is what Open found.
type Recovery struct {
	Records   int
	Files     int
	Bytes     int64
	InDoubt   bool   // the tail of the log is not as it was left: the last batches may be missing
	Reason    string // what was wrong with it
	Removed   []string
	Created   bool // there was no store before
	Snapshot  uint64
	DiskError error // why no log file could be begun, where that may pass: until it does, every batch fails
	TookMS    float64
}

// transientErrors are errors of a disk, or of the system, that may be gone by the next try.
var transientErrors = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM, syscall.EMFILE,
	syscall.ENFILE}

func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(one error) bool { return errors.Is(err, one) })
}

// Open opens the store in a folder, or creates one. Where the disk takes nothing just then, the store opens all the same and its
// batches fail until it does. Each record that is still there is handed to keep in the order of writing, with a nil value where
// one was deleted: of one key the last counts.
func Open(fs vfs.FS, options Options, keep func(Key, int64, []byte)) (*Store, Recovery, error) {
	began := time.Now()
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("store: %w", err)
	}
	s := &Store{
		fs: fs, options: options.withDefaults(), lock: lock,
		files: map[uint32]vfs.File{}, fileBytes: map[uint32]int64{}, done: make(chan struct{}),
	}
	s.wake, s.snapshotChanged = sync.NewCond(&s.mu), sync.NewCond(&s.mu)
	recovery, err := s.recover(keep)
	if err == nil {
		recovery.DiskError, err = s.beginLog(recovery.InDoubt)
	}
	if err != nil {
		s.closeFiles()
		return nil, recovery, errors.Join(fmt.Errorf("store: %w", err), lock.Close())
	}
	recovery.TookMS = float64(time.Since(began)) / float64(time.Millisecond)
	go s.commitLoop()
	return s, recovery, nil
}

// beginLog begins the first log file after recovery. An error of the disk that may pass is returned apart: the first batch begins a file
// once that can be.
func (s *Store) beginLog(tailInDoubt bool) (diskError, err error) {
	s.tailInDoubt = tailInDoubt
	err = s.rotate()
	if isTransient(err) {
		s.active.failed = true
		return err, nil
	}
	return nil, err
}

// Get returns the value under a key, read from disk; nil if there is none.
func (s *Store) Get(key Key) ([]byte, error) {
	s.stateMu.RLock()
	defer s.stateMu.RUnlock()
	at := s.index.Get(key)
	if at == nil {
		return nil, nil
	}
	r, err := s.read(*at)
	return r.value, err
}

// read reads the record at a location; called with stateMu held.
func (s *Store) read(at location) (record, error) {
	b := make([]byte, at.size)
	if _, err := s.files[at.file].ReadAt(b, int64(at.offset)); err != nil {
		return record{}, err
	}
	if r, ok := decodeRecord(b, uint64(at.file), int64(at.offset)); ok {
		return r, nil
	}
	return record{}, fmt.Errorf("%w: the record at %d of file %x", ErrDamaged, at.offset, at.file&^snapshotBit)
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	waiting := len(s.queued.bytes)
	s.mu.Unlock()
	s.stateMu.RLock()
	defer s.stateMu.RUnlock()
	stats := s.stats
	stats.Live = s.index.Len()
	stats.LiveBytes, stats.DiskBytes = s.liveBytes, s.diskBytes()
	stats.Waiting = waiting
	return stats
}

func (s *Store) diskBytes() (sum int64) {
	for _, n := range s.fileBytes {
		sum += n
	}
	return sum
}

// Close writes the queue and closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.wake.Signal()
	s.snapshotChanged.Broadcast()
	s.mu.Unlock()
	<-s.done
	s.mu.Lock()
	for s.snapshotRunning {
		s.snapshotChanged.Wait()
	}
	s.mu.Unlock()
	s.closeFiles()
	return s.lock.Close()
}

func (s *Store) closeFiles() {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	for id, f := range s.files {
		_ = f.Close()
		delete(s.files, id)
	}
}
