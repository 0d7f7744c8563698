// Package ledgerstore connects a ledger to a store. It appends the records that the ledger persists to the store and
// reports to the event loop whether they were stored. It does not block: the store writes on a goroutine of its own.
package ledgerstore

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"liftshift/internal/ledger"
	"liftshift/internal/store"
	"liftshift/internal/vfs"
	"liftshift/scheduler"
)

// Store is a ledger whose records are kept in a store. Step and WantsExecutorViews may be called on the goroutine of
// the event loop only.
type Store struct {
	store            *store.Store
	ledger           *ledger.Ledger
	now              func() float64
	onStored         func(ledger.Event)
	log              logrus.FieldLogger
	batch            store.Batch     // records of the current step
	effects          []ledger.Effect // effects of the current step that the caller has to handle
	restoredEvents   []scheduler.Event
	operatorNotes    []ledger.Effect
	unwrittenBatches atomic.Uint64 // batches without a Sync that the store did not accept
	counts           atomic.Pointer[ledger.Counts]
}

// Open opens the store in a folder and closes the requests that were open at the last crash. It calls onStored on
// another goroutine once the records of a Sync are durable or have failed to be written; the caller must pass each of
// these events to Step.
func Open(fs vfs.FS, options store.Options, settings ledger.Settings, now func() float64, onStored func(ledger.Event),
	log logrus.FieldLogger) (*Store, store.Recovery, error) {
	return OpenAt(fs, options, settings, now, ReadClocks(), onStored, log)
}

// OpenAt is like Open, but takes the reading of the machine's clocks as an argument.
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
	recoveryDone := &ledger.Event{Kind: ledger.RecoveryDone, Clocks: clocks, TailInDoubt: recovery.InDoubt}
	for _, effect := range s.Step(now(), recoveryDone) {
		switch effect.Kind {
		case ledger.RestoreState:
			s.restoredEvents = append(s.restoredEvents, effect.SchedulerEvent)
		case ledger.OperatorNote:
			s.operatorNotes = append(s.operatorNotes, effect)
		}
	}
	log.WithFields(logrus.Fields{
		"records":  recovery.Records,
		"bytes":    recovery.Bytes,
		"files":    recovery.Files,
		"took_ms":  recovery.TookMS,
		"in_doubt": recovery.Reason,
	}).Info("store: opened")
	return s, recovery, nil
}

// RestoredEvents returns the events that restore the scheduler's state. They must be its first events.
func (s *Store) RestoredEvents() []scheduler.Event { return s.restoredEvents }

// OperatorNotes returns the notes that operators set before the start of this process.
func (s *Store) OperatorNotes() []ledger.Effect { return s.operatorNotes }

// WantsExecutorViews returns whether the next Ticked event has to carry the scheduler's executor views and estimates.
func (s *Store) WantsExecutorViews(now float64) bool { return s.ledger.WantsExecutorViews(now) }

// Step passes an event to the ledger, appends the records that the ledger persists to the store, and returns the other
// effects, which are valid until the next call.
func (s *Store) Step(now float64, event *ledger.Event) []ledger.Effect {
	s.effects = s.effects[:0]
	s.step(now, event)
	if event.Kind == ledger.Ticked {
		s.store.Advance(s.ledger.LogTime(now))
		counts := s.ledger.Counts()
		s.counts.Store(&counts)
	}
	return s.effects
}

// step passes an event to the ledger and adds the effects that the caller has to handle to s.effects.
func (s *Store) step(now float64, event *ledger.Event) {
	token := uint64(0)
	s.batch.Reset()
	for _, effect := range s.ledger.Step(now, event) {
		switch effect.Kind {
		case ledger.Persist:
			s.batch.Put(effect.Key, effect.Expires, effect.Value)
		case ledger.Delete:
			s.batch.Delete(effect.Key)
		case ledger.Sync:
			token = effect.Token
		case ledger.LogMessage:
			s.log.WithField("text", effect.Text).Warn("ledger")
		default:
			s.effects = append(s.effects, effect)
		}
	}
	if s.batch.Len() > 0 {
		s.append(now, token)
	}
}

// append appends the batch to the store. A token other than 0 is reported to the ledger once the batch is stored or has
// failed, and at once as failed if the store does not accept the batch.
func (s *Store) append(now float64, token uint64) {
	notifier := store.Notifier(nil)
	if token != 0 {
		notifier = s
	}
	err := s.store.Append(s.ledger.LogTime(now), &s.batch, notifier, token)
	switch {
	case err == nil:
	case token != 0: // the ledger emits no Sync in response to RecordsStored, so step does not recurse further
		s.step(now, &ledger.Event{Kind: ledger.RecordsStored, Token: token})
	case s.unwrittenBatches.Add(1) == 1:
		s.log.WithField("error", err).Warn("store: a record could not be queued; further ones are counted")
	}
}

// Stored implements store.Notifier.
func (s *Store) Stored(token uint64, err error) {
	s.onStored(ledger.Event{Kind: ledger.RecordsStored, Token: token, OK: err == nil})
}

// Close records a planned shutdown and closes the store. The event loop must have stopped before.
func (s *Store) Close() error {
	s.Step(s.now(), &ledger.Event{Kind: ledger.ShutdownFinished})
	return s.store.Close()
}

// Fields returns the counters of the store and the ledger as log fields.
func (s *Store) Fields() logrus.Fields {
	stats := s.store.Stats()
	counts := ledger.Counts{}
	if latest := s.counts.Load(); latest != nil {
		counts = *latest
	}
	meanHeldMS := 0.0
	if counts.AttemptsHeld > 0 {
		meanHeldMS = counts.AttemptsHeldMS / float64(counts.AttemptsHeld)
	}
	return logrus.Fields{
		"records":              stats.Records,
		"commits":              stats.Commits,
		"syncs":                stats.Syncs,
		"batches_failed":       stats.BatchesFailed,
		"records_unwritten":    s.unwrittenBatches.Load(),
		"rotations":            stats.Rotations,
		"snapshots":            stats.Snapshots,
		"snapshots_failed":     stats.SnapshotsFailed,
		"live":                 stats.LiveRecords,
		"live_bytes":           stats.LiveBytes,
		"disk_bytes":           stats.DiskBytes,
		"waiting_bytes":        stats.QueuedBytes,
		"attempts_held":        counts.AttemptsHeld,
		"attempts_held_ms":     meanHeldMS,
		"attempts_held_now":    counts.AttemptsHeldNow,
		"attempts_failed":      counts.AttemptsFailed,
		"requests_blocked":     counts.RequestsBlocked,
		"answered_from_record": counts.AnsweredFromRecord,
		"keys_retried":         counts.KeysRetried,
		"closed_at_start":      counts.ClosedAtStart,
		"requests":             counts.Requests,
		"idempotency_keys":     counts.Keys,
		"disk_failing":         counts.DiskFailing,
		"tail_in_doubt":        counts.TailInDoubt,
	}
}
