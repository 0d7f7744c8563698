// Package ledgerstore carries what a ledger wants remembered to a store, and back to the desk what became of it. It decides
// nothing, and never waits: the store has a goroutine of its own.
package ledgerstore

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/ledger"
	"liftshift/internal/store"
	"liftshift/internal/vfs"
	"liftshift/scheduler"
)

// Store is a ledger with a store beneath. Step and WantsBeliefs belong to the desk's goroutine.
type Store struct {
	store  *store.Store
	ledger *ledger.Ledger
	back   func(ledger.Event)
	log    logrus.FieldLogger
	batch  store.Batch
	out    []ledger.Effect
	first  []scheduler.Event // for the module, as of the start
	notes  []ledger.Effect
	now    func() float64

	lost  atomic.Uint64 // records that nobody waited for and that could not be lined up
	count atomic.Pointer[ledger.Counts]
}

// Open opens the store, ends what was open at the last crash, and gives what was found. Back gets what is heard of the
// disk, from another goroutine; it must lead to Step.
func Open(fs vfs.FS, bounds store.Options, settings ledger.Settings, now func() float64, back func(ledger.Event),
	log logrus.FieldLogger) (*Store, store.Recovery, error) {
	return OpenAt(fs, bounds, settings, now, ReadClocks(), back, log)
}

// OpenAt is Open at a moment of the machine's clocks.
func OpenAt(fs vfs.FS, bounds store.Options, settings ledger.Settings, now func() float64, moment ledger.Clocks,
	back func(ledger.Event), log logrus.FieldLogger) (*Store, store.Recovery, error) {
	k := &Store{ledger: ledger.New(settings), back: back, log: log, now: now}
	s, found, err := store.Open(fs, bounds, func(key store.Key, expires int64, value []byte) {
		k.ledger.Step(0, &ledger.Event{Kind: ledger.RecordRead, Key: key, Expires: expires, Value: value})
	})
	if err != nil {
		return nil, found, err
	}
	k.store = s
	for _, e := range k.Step(now(), &ledger.Event{Kind: ledger.RecoveryDone, Clocks: moment, TailInDoubt: found.InDoubt}) {
		switch e.Kind {
		case ledger.RestoreState:
			k.first = append(k.first, e.SchedulerEvent)
		case ledger.OperatorNote:
			k.notes = append(k.notes, e)
		}
	}
	log.WithFields(logrus.Fields{"records": found.Records, "bytes": found.Bytes, "files": found.Files, "took_ms": found.TookMS,
		"doubt": found.Reason}).Info("store: opened")
	return k, found, nil
}

// RestoredEvents gives what the module is to be told before anything else.
func (k *Store) RestoredEvents() []scheduler.Event { return k.first }

// OperatorNotes gives what operators had set before the start.
func (k *Store) OperatorNotes() []ledger.Effect { return k.notes }

// WantsExecutorViews tells whether the ledger wants to hear what the module believes.
func (k *Store) WantsExecutorViews(now float64) bool { return k.ledger.WantsExecutorViews(now) }

// Step tells the ledger of an event, lines up what it wants kept, and gives the other effects.
func (k *Store) Step(now float64, ev *ledger.Event) []ledger.Effect {
	k.out = k.out[:0]
	k.step(now, ev)
	if ev.Kind == ledger.Ticked {
		k.store.Advance(k.ledger.LogTime(now))
		c := k.ledger.Counts()
		k.count.Store(&c)
	}
	return k.out
}

func (k *Store) step(now float64, ev *ledger.Event) {
	token := uint64(0)
	k.batch.Reset()
	for _, e := range k.ledger.Step(now, ev) {
		switch e.Kind {
		case ledger.Persist:
			k.batch.Put(e.Key, e.Expires, e.Value)
		case ledger.Delete:
			k.batch.Delete(e.Key)
		case ledger.Sync:
			token = e.Token
		case ledger.LogMessage:
			k.log.WithField("says", e.Text).Warn("ledger")
		default:
			k.out = append(k.out, e)
		}
	}
	if k.batch.Len() == 0 {
		return
	}
	teller := store.Notifier(nil)
	if token != 0 {
		teller = k
	}
	err := k.store.Append(k.ledger.LogTime(now), &k.batch, teller, token)
	switch {
	case err == nil:
	case token == 0:
		if k.lost.Add(1) == 1 {
			k.log.WithField("why", err).Warn("store: a record could not be lined up; further ones are counted")
		}
	default: // told at once; what follows from that keeps nothing that must last
		k.step(now, &ledger.Event{Kind: ledger.RecordsStored, Token: token})
	}
}

// Stored hears from the store what became of a batch.
func (k *Store) Stored(token uint64, err error) {
	k.back(ledger.Event{Kind: ledger.RecordsStored, Token: token, OK: err == nil})
}

// Close writes the end of a planned stop and closes the store. The desk must have ended.
func (k *Store) Close() error {
	k.Step(k.now(), &ledger.Event{Kind: ledger.ShutdownFinished})
	return k.store.Close()
}

// Fields are the counters for the log.
func (k *Store) Fields() logrus.Fields {
	f, c := k.store.Stats(), ledger.Counts{}
	if p := k.count.Load(); p != nil {
		c = *p
	}
	mean := 0.0
	if c.Held > 0 {
		mean = c.HeldMS / float64(c.Held)
	}
	return logrus.Fields{"records": f.Records, "commits": f.Commits, "syncs": f.Syncs, "failed": f.Failed, "lost": k.lost.Load(),
		"rotations": f.Rotations, "snapshots": f.Snapshots, "snapshots_failed": f.SnapshotsFailed, "live": f.Live,
		"live_bytes": f.LiveBytes, "disk_bytes": f.DiskBytes, "waiting": f.Waiting, "held": c.Held, "held_ms": mean,
		"held_now": c.HeldNow, "refused": c.Refused, "barred": c.Blocked, "told": c.AnsweredFromRecord, "again": c.Again, "closed_at_start": c.Closed,
		"searches": c.Requests, "marks": c.Keys, "sick": c.DiskFailing, "doubt": c.TailInDoubt}
}

// ReadClocks reads the clocks of the machine. Where the time since its start can't be read, that is left out, and windows are
// reckoned on the safe side.
func ReadClocks() ledger.Clocks {
	m := ledger.Clocks{WallMS: float64(time.Now().UnixMicro()) / 1000}
	up, err := os.ReadFile("/proc/uptime")
	boot, err2 := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err == nil && err2 == nil {
		text, _, _ := strings.Cut(string(up), " ")
		if s, err := strconv.ParseFloat(text, 64); err == nil {
			m.UpMS, m.Boot = s*1000, strings.TrimSpace(string(boot))
		}
	}
	return m
}
