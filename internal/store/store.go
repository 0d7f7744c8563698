// Package store is a crash-safe key-value store for small records under 16-byte keys. It consists of a write-ahead log
// in segment files, an index in memory, and snapshots that replace old segments. It does not interpret the records.
//
// Guarantees:
//   - After a batch was reported without an error, all of its records survive any crash of the process or the machine,
//     except records that a later one replaced and records that expired.
//   - A batch that was reported as failed is absent after recovery, unless the crash came before anything else was
//     written.
//   - A batch whose outcome was not yet reported is recovered as a whole or not at all.
//   - Batches take effect in the order in which they were appended.
//
// Recovery.InDoubt is set if the tail of the log is not in the state in which the store leaves it: the last batches may
// be missing. Damage before the tail makes Open fail with ErrDamaged until Repair was called.
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

// Key identifies a record. Its first eight bytes must be evenly distributed, as those of a hash are.
type Key = index.Key

// Options configures a Store. A zero field selects its default.
type Options struct {
	SegmentBytes   int64         // length of a log file
	MaxQueuedBytes int           // Append returns ErrFull beyond this
	FlushDelay     time.Duration // longest time that a batch without a notifier stays unwritten
	SnapshotRatio  float64       // ratio of disk bytes to live bytes above which a snapshot is due
}

const (
	defaultSegmentBytes   = 4 << 20
	defaultMaxQueuedBytes = 4 << 20
	defaultFlushDelay     = 50 * time.Millisecond

	// defaultSnapshotRatio leaves time to finish a snapshot before the files reach twice the live bytes.
	defaultSnapshotRatio = 1.8
	// snapshotSlackBytes is added to the limit by the ratio, so that a small store does not make snapshots continually.
	snapshotSlackBytes = 256 << 10
	// entriesPerCopy is the number of index entries that a snapshot copies while it holds the lock.
	entriesPerCopy = 256
)

func (o Options) withDefaults() Options {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.MaxQueuedBytes <= 0 {
		o.MaxQueuedBytes = defaultMaxQueuedBytes
	}
	if o.FlushDelay <= 0 {
		o.FlushDelay = defaultFlushDelay
	}
	if o.SnapshotRatio <= 1 {
		o.SnapshotRatio = defaultSnapshotRatio
	}
	return o
}

// Stats holds the counters and sizes of a store.
type Stats struct {
	Records, Batches, Commits, Syncs uint64
	BatchesFailed                    uint64 // batches reported as failed
	Rotations, Snapshots             uint64
	SnapshotsFailed                  uint64
	Expired                          uint64 // records removed because their time was over
	LiveRecords                      int    // records in the index
	LiveBytes, DiskBytes             int64  // valid bytes, without the zeros allocated ahead
	QueuedBytes                      int    // bytes queued but not yet taken for a commit
}

// Store is an open store. A goroutine commits the queue to the log until Close is called.
type Store struct {
	fs      vfs.FS
	options Options
	lock    io.Closer

	mu              sync.Mutex // guards the fields up to snapshotChanged
	wake            *sync.Cond // signals that the commit loop has work
	queued          queue
	flushWanted     bool  // the queue is to be written now
	now             int64 // latest time given by a caller, in ms
	closed          bool
	snapshotWanted  bool
	snapshotRunning bool
	snapshotChanged *sync.Cond // signals a change of snapshotWanted, snapshotRunning or closed

	stateMu    sync.RWMutex // guards the fields up to stats
	index      index.Table[location]
	files      map[uint32]vfs.File // by location.file
	fileBytes  map[uint32]int64    // valid bytes of each file
	active     segment             // written by the commit loop alone
	lastFileID uint64              // highest number of any file
	liveBytes  int64
	stats      Stats

	writing     queue         // batches of the current commit; used by the commit loop only
	done        chan struct{} // closed when the commit loop has ended
	tailInDoubt bool          // to be recorded in the header of the next log file; used by the commit loop only
}

// Recovery describes what Open found.
type Recovery struct {
	Records   int // live records
	Files     int
	Bytes     int64    // bytes of valid content in the files
	InDoubt   bool     // the last batches may be missing, because the tail of the log is not as the store left it
	Reason    string   // why InDoubt is set
	Removed   []string // files that were not part of the store and were removed
	Created   bool     // there was no store before
	Snapshot  uint64   // number of the snapshot that was read, 0 if there is none
	DiskError error    // transient error that prevented creating a log file; batches fail until one can be created
	TookMS    float64
}

// transientErrors lists errors of the disk or the system after which a later attempt may succeed.
var transientErrors = []error{
	syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM, syscall.EMFILE,
	syscall.ENFILE,
}

func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// Open opens the store in a directory, or creates one. If the disk currently takes no writes, the store opens
// nevertheless, and its batches fail until the disk recovers. Open passes each record that is still on disk to visit
// (key, expiry time in ms, value) in the order of writing, with a nil value for a deletion; the last call for a key has
// its current state.
func Open(fs vfs.FS, options Options, visit func(Key, int64, []byte)) (*Store, Recovery, error) {
	started := time.Now()
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("store: %w", err)
	}
	s := &Store{
		fs: fs, options: options.withDefaults(), lock: lock,
		files: map[uint32]vfs.File{}, fileBytes: map[uint32]int64{}, done: make(chan struct{}),
	}
	s.wake, s.snapshotChanged = sync.NewCond(&s.mu), sync.NewCond(&s.mu)
	recovery, err := s.recover(visit)
	if err == nil {
		recovery.DiskError, err = s.startLog(recovery.InDoubt)
	}
	if err != nil {
		s.closeFiles()
		return nil, recovery, errors.Join(fmt.Errorf("store: %w", err), lock.Close())
	}
	recovery.TookMS = float64(time.Since(started)) / float64(time.Millisecond)
	go s.commitLoop()
	return s, recovery, nil
}

// startLog creates the first log file after recovery. It returns a transient error as diskError, not as err: the next
// commit then tries to create the file.
func (s *Store) startLog(tailInDoubt bool) (diskError, err error) {
	s.tailInDoubt = tailInDoubt
	err = s.rotate()
	if isTransient(err) {
		s.active.failed = true
		return err, nil
	}
	return nil, err
}

// Get reads the value of a key from disk. It returns nil if there is no such record.
func (s *Store) Get(key Key) ([]byte, error) {
	s.stateMu.RLock()
	defer s.stateMu.RUnlock()
	loc := s.index.Get(key)
	if loc == nil {
		return nil, nil
	}
	r, err := s.read(*loc)
	return r.value, err
}

// read reads the record at a location. The caller holds stateMu.
func (s *Store) read(loc location) (record, error) {
	b := make([]byte, loc.size)
	if _, err := s.files[loc.file].ReadAt(b, int64(loc.offset)); err != nil {
		return record{}, err
	}
	if r, ok := decodeRecord(b, uint64(loc.file), int64(loc.offset)); ok {
		return r, nil
	}
	return record{}, fmt.Errorf("%w: no valid record at offset %d of file %x",
		ErrDamaged, loc.offset, loc.file&^snapshotBit)
}

// Stats returns the current counters and sizes.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	queuedBytes := len(s.queued.bytes)
	s.mu.Unlock()
	s.stateMu.RLock()
	defer s.stateMu.RUnlock()
	stats := s.stats
	stats.LiveRecords = s.index.Len()
	stats.LiveBytes, stats.DiskBytes = s.liveBytes, s.diskBytes()
	stats.QueuedBytes = queuedBytes
	return stats
}

// diskBytes returns the valid bytes of all files. The caller holds stateMu.
func (s *Store) diskBytes() (sum int64) {
	for _, n := range s.fileBytes {
		sum += n
	}
	return sum
}

// Close commits the queued batches, waits for a running snapshot, and closes the store. Further calls do nothing.
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
	for id, file := range s.files {
		_ = file.Close()
		delete(s.files, id)
	}
}
