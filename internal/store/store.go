// Package store keeps small records under 16-byte keys through crashes: a log in segments, an index in memory, snapshots
// that take the place of old segments. It knows nothing of searches.
//
// What it promises: once Append has reported no error for a batch, the whole batch is there after any crash of the
// program or the machine, unless a later record of the same key took its place or its time came. A batch that was
// reported as failed is not there, unless the crash came before anything else was written. A batch that was not yet
// reported on is there whole or not at all. Batches take effect in the order in which they were appended. Where the log's
// end is not as it was left, Found says so (Doubt): then the last batches may be missing. What is wrong before the
// end refuses to open, as ErrDamaged, until Repair has been asked for.
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

// Options are the figures that a Store keeps to. Zero means the usual one.
type Options struct {
	SegmentBytes  int64         // bytes of a log file
	MaxWaiting    int           // bytes that may wait to be written
	FlushDelay    time.Duration // the longest that a batch which nobody waits for stays unwritten
	SnapshotRatio float64       // bytes on disk for a live one past which a snapshot is made
}

const (
	usualSegment = 4 << 20
	usualWaiting = 4 << 20
	usualLag     = 50 * time.Millisecond
	usualRatio   = 1.8 // below the two that are promised: a snapshot takes a while
	spareBytes   = 256 << 10
	copyStep     = 256 // entries copied to a snapshot between two releases of the lock
	closeMost    = 2 * time.Second
)

func (b Options) filled() Options {
	if b.SegmentBytes <= 0 {
		b.SegmentBytes = usualSegment
	}
	if b.MaxWaiting <= 0 {
		b.MaxWaiting = usualWaiting
	}
	if b.FlushDelay <= 0 {
		b.FlushDelay = usualLag
	}
	if b.SnapshotRatio <= 1 {
		b.SnapshotRatio = usualRatio
	}
	return b
}

// Notifier is told what became of a batch, from the store's goroutine. It must not wait.
type Notifier interface{ Stored(token uint64, err error) }

// place is where a record stands.
type place struct {
	file uint32 // number of the file; the highest bit is set for a snapshot
	at   uint32
	size uint32
}

const ofSnapshot = 1 << 31

// Batch is records that take effect together. It may be used again after Append.
type Batch struct {
	bytes []byte
	ends  []int // behind each record
}

// Reset empties a batch.
func (b *Batch) Reset() { b.bytes, b.ends = b.bytes[:0], b.ends[:0] }

// Len tells how many records there are.
func (b *Batch) Len() int { return len(b.ends) }

// Put adds a record that goes at a time in ms; 0: never.
func (b *Batch) Put(key Key, expires int64, value []byte) { b.add(putRecord, key, expires, value) }

// Delete adds the end of a record.
func (b *Batch) Delete(key Key) { b.add(deleteRecord, key, 0, nil) }

func (b *Batch) add(kind byte, key Key, expires int64, value []byte) {
	if n := len(b.ends); n > 0 { // the one before is not the last any more
		start := 0
		if n > 1 {
			start = b.ends[n-2]
		}
		b.bytes[start+8] |= more
	}
	b.bytes = appendRecord(b.bytes, kind, key, expires, value)
	b.ends = append(b.ends, len(b.bytes))
}

// line is what waits to be written: the bytes of batches, one behind the other.
type line struct {
	bytes   []byte
	ends    []int // behind each record
	batches []waiting
}

type waiting struct {
	records, bytes int // up to the end of this batch
	teller         Notifier
	token          uint64
}

func (l *line) reset() { l.bytes, l.ends, l.batches = l.bytes[:0], l.ends[:0], l.batches[:0] }

// segment is the log file that is written to.
type segment struct {
	id      uint64
	file    vfs.File
	at      int64 // where the next record goes
	trusted int64 // all before it is synced
	spoilt  bool  // a write or a sync failed: it gets nothing more, and is not believed past trusted
}

// Stats are counters of a store.
type Stats struct {
	Records, Batches, Commits, Syncs uint64
	Failed                           uint64 // batches reported as failed
	Rotations, Snapshots             uint64
	SnapshotsFailed                  uint64
	Expired                          uint64
	Live                             int   // records
	LiveBytes, DiskBytes             int64 // as used, without the zeros reserved ahead
	Waiting                          int   // bytes
}

// Store is an open store.
type Store struct {
	fs     vfs.FS
	bounds Options
	lock   io.Closer

	mu      sync.Mutex // of what waits
	wake    *sync.Cond
	in      line
	urgent  bool // somebody waits for what is lined up
	now     int64
	closed  bool
	compact bool // a snapshot was asked for
	busy    bool // one is being made
	idle    *sync.Cond

	state   sync.RWMutex // of all below
	table   index.Table[place]
	files   map[uint32]vfs.File
	used    map[uint32]int64 // bytes of each file that count
	active  segment
	next    uint64 // number of the next file
	live    int64
	figures Stats

	out    line // being written; the committer's own
	done   chan struct{}
	doubts bool // the head of the next log file says so
}

// Recovery is what Open found.
type Recovery struct {
	Records   int
	Files     int
	Bytes     int64
	InDoubt   bool   // the end of the log is not as it was left: the last batches may be missing
	Reason    string // what was wrong with it
	Removed   []string
	Began     bool // there was no store here before
	Snapshot  uint64
	DiskError error // why no log file could be begun, where that may pass: until it does, every batch fails
	TookMS    float64
}

// passing are the errors of a disk, or of the system, that may be gone by the next try.
var passing = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE}

func passes(err error) bool {
	return slices.ContainsFunc(passing, func(one error) bool { return errors.Is(err, one) })
}

// Open opens the store in a folder, or begins one. Where the disk takes nothing just then, the store opens all the same and its batches
// fail until it does. Each record that is still there is handed to keep in the order in which they were
// written, with no value where one was deleted: of one key the last counts.
func Open(fs vfs.FS, bounds Options, keep func(Key, int64, []byte)) (*Store, Recovery, error) {
	began := time.Now()
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("store: %w", err)
	}
	s := &Store{fs: fs, bounds: bounds.filled(), lock: lock, files: map[uint32]vfs.File{}, used: map[uint32]int64{},
		done: make(chan struct{})}
	s.wake, s.idle = sync.NewCond(&s.mu), sync.NewCond(&s.mu)
	found, err := s.recover(keep)
	if err == nil {
		s.doubts = found.InDoubt
		if err = s.rotate(); passes(err) {
			s.active.spoilt, found.DiskError, err = true, err, nil // the first batch begins a file, once that can be
		}
	}
	if err != nil {
		s.closeFiles()
		return nil, found, errors.Join(fmt.Errorf("store: %w", err), lock.Close())
	}
	found.TookMS = float64(time.Since(began)) / float64(time.Millisecond)
	go s.run()
	return s, found, nil
}

// Append lines up a batch at a time in ms and never waits for the disk. The teller, if there is one, hears what became
// of it; without one the batch is written within the lag. An error means that nothing was lined up.
func (s *Store) Append(now int64, b *Batch, teller Notifier, token uint64) error {
	if int64(len(b.bytes)) > s.bounds.SegmentBytes-headSize {
		return ErrTooLong
	}
	for k, start := 0, 0; k < len(b.ends); k++ {
		if b.ends[k]-start-recordHead > MaxValue {
			return ErrTooLong
		}
		start = b.ends[k]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	if len(s.in.bytes)+len(b.bytes) > s.bounds.MaxWaiting {
		return ErrFull
	}
	s.now = max(s.now, now)
	start := len(s.in.bytes)
	s.in.bytes = append(s.in.bytes, b.bytes...)
	for _, end := range b.ends {
		s.in.ends = append(s.in.ends, start+end)
	}
	s.in.batches = append(s.in.batches, waiting{len(s.in.ends), len(s.in.bytes), teller, token})
	if teller != nil && !s.urgent {
		s.urgent = true
		s.wake.Signal()
	}
	return nil
}

// Advance tells the time in ms, for what goes by itself.
func (s *Store) Advance(now int64) {
	s.mu.Lock()
	s.now = max(s.now, now)
	s.mu.Unlock()
}

type heard chan error

// Stored passes on what became of a batch.
func (h heard) Stored(_ uint64, err error) { h <- err }

// Write appends a batch and waits until it is lasting.
func (s *Store) Write(now int64, b *Batch) error {
	h := make(heard, 1)
	if err := s.Append(now, b, h, 0); err != nil {
		return err
	}
	return <-h
}

// Get gives the value under a key, read from disk; nil if there is none.
func (s *Store) Get(key Key) ([]byte, error) {
	s.state.RLock()
	defer s.state.RUnlock()
	p := s.table.Get(key)
	if p == nil {
		return nil, nil
	}
	r, err := s.read(*p, nil)
	return r.value, err
}

// read reads the record at a place, into room if that is enough; called under the state's lock.
func (s *Store) read(p place, room []byte) (record, error) {
	if cap(room) < int(p.size) {
		room = make([]byte, p.size)
	}
	b := room[:p.size]
	if _, err := s.files[p.file].ReadAt(b, int64(p.at)); err != nil {
		return record{}, err
	}
	if r, ok := recordAt(b, uint64(p.file), int64(p.at)); ok {
		return r, nil
	}
	return record{}, fmt.Errorf("%w: the record at %d of file %x", ErrDamaged, p.at, p.file&^ofSnapshot)
}

// Stats gives the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	waits := len(s.in.bytes)
	s.mu.Unlock()
	s.state.RLock()
	defer s.state.RUnlock()
	f := s.figures
	f.Live, f.LiveBytes, f.DiskBytes, f.Waiting = s.table.Len(), s.live, s.diskBytes(), waits
	return f
}

func (s *Store) diskBytes() (sum int64) {
	for _, n := range s.used {
		sum += n
	}
	return sum
}

// Snapshot asks for one and waits until it is made, or could not be.
func (s *Store) Snapshot() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	for s.busy && !s.closed {
		s.idle.Wait()
	}
	before := s.snapshotsFailed()
	s.compact = true
	s.wake.Signal()
	for (s.compact || s.busy) && !s.closed {
		s.idle.Wait()
	}
	if s.snapshotsFailed() > before {
		return errors.New("store: the snapshot could not be made")
	}
	return nil
}

func (s *Store) snapshotsFailed() uint64 {
	s.state.RLock()
	defer s.state.RUnlock()
	return s.figures.SnapshotsFailed
}

// Close writes what waits and closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.wake.Signal()
	s.idle.Broadcast()
	s.mu.Unlock()
	<-s.done
	s.mu.Lock()
	for s.busy {
		s.idle.Wait()
	}
	s.mu.Unlock()
	s.closeFiles()
	return s.lock.Close()
}

func (s *Store) closeFiles() {
	s.state.Lock()
	defer s.state.Unlock()
	for id, f := range s.files {
		_ = f.Close()
		delete(s.files, id)
	}
}
