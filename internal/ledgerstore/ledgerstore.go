// Package ledgerstore joins a ledger and a store: it carries the records that the ledger wants to persist to the store, and what
// became of them back to the event loop. It decides nothing and never waits; the store has a goroutine of its own.
package ledgerstore

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"liftshift/internal/ledger"
	"liftshift/internal/store"
	"liftshift/internal/vfs"
	"liftshift/scheduler"
)

// Store is a ledger whose records are kept by a store. Step and WantsExecutorViews belong to the event loop's goroutine.
type Store struct {
	store     *store.Store
	ledger    *ledger.Ledger
	now       func() float64
	onStored  func(ledger.Event)
	log       logrus.FieldLogger
	batch     store.Batch
	effects   []ledger.Effect
	restored  []scheduler.Event
	notes     []ledger.Effect
	unwritten atomic.Uint64 // records without a Sync for which the store had no room
	counts    atomic.Pointer[ledger.Counts]
}

// Open opens the store in a folder and closes the requests that were open at the last crash. The reports of the store go to
// onStored, from another goroutine; each must reach Step.
func Open(fs vfs.FS, options store.Options, settings ledger.Settings, now func() float64, onStored func(ledger.Event),
	log logrus.FieldLogger) (*Store, store.Recovery, error) {
	return OpenAt(fs, options, settings, now, ReadClocks(), onStored, log)
}

// OpenAt is Open with a given reading of the machine's clocks.
func OpenAt(fs vfs.FS, options store.Options, settings ledger.Settings, now func() float64, clocks ledger.Clocks,
	onStored func(ledger.Event), log logrus.FieldLogger) (*Store, store.Recovery, error) {
	s := &Store{ledger: ledger.New(settings), onStored: onStored, log: log, now: now}
	opened, recovery, err := store.Open(fs, options, func(key store.Key, expires int64, value []byte) {
		s.ledger.Step(0, &ledger.Event{Kind: ledger.RecordRead, Key: key, Expires: expires, Value: value})
	})
	if err != nil {
		return nil, recovery, err
	}
	s.store = opened
	for _, e := range s.Step(now(), &ledger.Event{Kind: ledger.RecoveryDone, Clocks: clocks, TailInDoubt: recovery.InDoubt}) {
		switch e.Kind {
		case ledger.RestoreState:
			s.restored = append(s.restored, e.SchedulerEvent)
		case ledger.OperatorNote:
			s.notes = append(s.notes, e)
		}
	}
	log.WithFields(logrus.Fields{"records": recovery.Records, "bytes": recovery.Bytes, "files": recovery.Files, "took_ms": recovery.TookMS,
		"in_doubt": recovery.Reason}).Info("store: opened")
	return s, recovery, nil
}

// RestoredEvents returns what the scheduler must learn before anything else.
func (s *Store) RestoredEvents() []scheduler.Event { return s.restored }

// OperatorNotes returns what operators set before the start.
func (s *Store) OperatorNotes() []ledger.Effect { return s.notes }

// WantsExecutorViews tells whether the next Ticked should carry the scheduler's view of the executors.
func (s *Store) WantsExecutorViews(now float64) bool { return s.ledger.WantsExecutorViews(now) }

// Step takes an event, appends the records that the ledger wants to persist to the store, and returns the other effects, which
// are valid until the next call.
func (s *Store) Step(now float64, ev *ledger.Event) []ledger.Effect {
	s.effects = s.effects[:0]
	s.step(now, ev)
	if ev.Kind == ledger.Ticked {
		s.store.Advance(s.ledger.LogTime(now))
		counts := s.ledger.Counts()
		s.counts.Store(&counts)
	}
	return s.effects
}

func (s *Store) step(now float64, ev *ledger.Event) {
	token := uint64(0)
	s.batch.Reset()
	for _, e := range s.ledger.Step(now, ev) {
		switch e.Kind {
		case ledger.Persist:
			s.batch.Put(e.Key, e.Expires, e.Value)
		case ledger.Delete:
			s.batch.Delete(e.Key)
		case ledger.Sync:
			token = e.Token
		case ledger.LogMessage:
			s.log.WithField("text", e.Text).Warn("ledger")
		default:
			s.effects = append(s.effects, e)
		}
	}
	if s.batch.Len() > 0 {
		s.append(now, token)
	}
}

// append hands the batch to the store. A token that is not zero gets a report, at once where the store takes nothing.
func (s *Store) append(now float64, token uint64) {
	notifier := store.Notifier(nil)
	if token != 0 {
		notifier = s
	}
	err := s.store.Append(s.ledger.LogTime(now), &s.batch, notifier, token)
	switch {
	case err == nil:
	case token != 0: // what follows from this report persists nothing with a Sync
		s.step(now, &ledger.Event{Kind: ledger.RecordsStored, Token: token})
	case s.unwritten.Add(1) == 1:
		s.log.WithField("error", err).Warn("store: a record could not be queued; further ones are counted")
	}
}

// Stored implements store.Notifier.
func (s *Store) Stored(token uint64, err error) {
	s.onStored(ledger.Event{Kind: ledger.RecordsStored, Token: token, OK: err == nil})
}

// Close records a planned shutdown and closes the store. The event loop must have ended.
func (s *Store) Close() error {
	s.Step(s.now(), &ledger.Event{Kind: ledger.ShutdownFinished})
	return s.store.Close()
}

// Fields returns the counters for the log.
func (s *Store) Fields() logrus.Fields {
	stats := s.store.Stats()
	counts := ledger.Counts{}
	if c := s.counts.Load(); c != nil {
		counts = *c
	}
	meanHeldMS := 0.0
	if counts.AttemptsHeld > 0 {
		meanHeldMS = counts.AttemptsHeldMS / float64(counts.AttemptsHeld)
	}
	return logrus.Fields{
		"records": stats.Records, "commits": stats.Commits, "syncs": stats.Syncs, "batches_failed": stats.BatchesFailed,
		"records_unwritten": s.unwritten.Load(), "rotations": stats.Rotations, "snapshots": stats.Snapshots,
		"snapshots_failed": stats.SnapshotsFailed, "live": stats.LiveRecords, "live_bytes": stats.LiveBytes, "disk_bytes": stats.DiskBytes,
		"waiting_bytes": stats.QueuedBytes, "attempts_held": counts.AttemptsHeld, "attempts_held_ms": meanHeldMS,
		"attempts_held_now": counts.AttemptsHeldNow, "attempts_failed": counts.AttemptsFailed, "requests_blocked": counts.RequestsBlocked,
		"answered_from_record": counts.AnsweredFromRecord, "keys_retried": counts.KeysRetried, "closed_at_start": counts.ClosedAtStart,
		"requests": counts.Requests, "idempotency_keys": counts.Keys, "disk_failing": counts.DiskFailing, "tail_in_doubt": counts.TailInDoubt,
	}
}
